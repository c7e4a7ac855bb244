/// @file
/// Structured log: one JSON object per line, rate-limited, which waits for no reader.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_LOG_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_LOG_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/policy/token_bucket.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "call_outcome.hpp"

namespace snipeplank::serving
{

/// @brief Kinds of log line. Each has its own rate limit, so that one cannot displace another.
enum class line_kind
{
    lifecycle,    ///< start, stop, reload; loss and recovery of dependencies
    state_change, ///< a change of the known state of configuration, upstreams or peers
    failure,      ///< a request that was refused or failed
    success,
};

/// @brief Writes log lines. Used on the event loop only.
class call_log
{
  public:
    /// @param output outlives the log
    explicit call_log(std::string node, log::line_writer& output = log::standard_output());

    void event(line_kind kind, std::string_view what, const nlohmann::json& fields);
    void call_ended(const call_outcome_line& line);

    /// @brief Number of lines dropped by the rate limit or because the reader is too slow.
    std::uint64_t dropped() const { return m_dropped + m_output.dropped(); }

  private:
    static constexpr std::size_t kind_count = 4;

    bool take(line_kind kind, core::time_point now);
    void emit(std::string_view what, const nlohmann::json& fields);

    std::string m_node;
    log::line_writer& m_output;
    std::array<policy::token_bucket, kind_count> m_budgets;
    std::uint64_t m_dropped = 0; ///< by the rate limit
    std::uint64_t m_dropped_reported = 0;
};

} // namespace snipeplank::serving

#endif
