/// @file
/// Outcome of a request.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_OUTCOME_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_OUTCOME_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/home_regions.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeplank::serving
{

/// @brief Who ended an answer that had begun.
enum class cut_cause
{
    none, ///< the answer is whole, or it had not begun
    upstream,
    region, ///< a node of another region
    deadline,
    silence, ///< this node gave up a silent upstream
    caller,
    stop, ///< this node stops
};

constexpr std::string_view to_string(cut_cause cause)
{
    constexpr std::array<std::string_view, 7> names{"none",    "upstream", "region", "deadline",
                                                    "silence", "caller",   "stop"};
    return names.at(static_cast<std::size_t>(cause));
}

/// @brief How a request ended, for its log line and the metrics.
struct call_outcome_line
{
    std::string request_id;
    std::string route;
    std::string service;
    std::string account;             ///< name of the client account; empty: none
    home_regions homes;              ///< where the request might be served
    std::uint64_t homes_version = 0; ///< newest configuration by which the homes were judged
    /// Time since that was confirmed, when the request was last judged; nothing: unknown.
    std::optional<core::milliseconds> confirmed_age;
    bool has_unknown_key = false; ///< names a key that no account holds
    std::uint64_t config_version = 0;
    std::string attempts;  ///< targets and their results in order
    std::string upstreams; ///< states of the candidates, when it was refused
    /// Of a stream that the caller takes up: its first attempt, its software version, how that is
    /// known.
    std::string stream_origin;
    std::string outcome; ///< answered, or the reason of the refusal
    int status = 0;
    std::string executed;
    cut_cause cut_by = cut_cause::none;
    double predicted_ms = 0;
    double remaining_ms = 0;
    double retry_after_ms = 0;
    double first_byte_ms = 0;    ///< from the request to the first byte forwarded
    double longest_pause_ms = 0; ///< between two events forwarded
    double prompt_tokens = 0;
    double total_ms = 0;
};

} // namespace snipeplank::serving

#endif
