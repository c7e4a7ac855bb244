/// @file
/// Bounded log of the routing decisions of each call, for `snipeplankctl explain`.

#ifndef SNIPEPLANK_GATEWAY_DECISION_LOG_HPP
#define SNIPEPLANK_GATEWAY_DECISION_LOG_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/dispatcher.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Decision and result of one attempt.
struct attempt_record
{
    std::string kind;   ///< first, retry, hedge or ticket
    std::string target; ///< address or region
    std::vector<policy::candidate> candidates;
    std::vector<std::string> limits_met;
    std::string result;    ///< status, or why it failed
    double started_ms = 0; ///< since the call was received
    double ended_ms = 0;
};

/// @brief Record of one call. Contains no body, key or customer text.
struct call_record
{
    std::string request_id;
    std::string service;
    std::string home;
    std::string residency;
    std::string path;
    std::uint64_t config_version = 0;
    std::vector<attempt_record> attempts;
    std::string result; ///< answered, a refusal's reason, or aborted
    std::string executed;
    double total_ms = 0;
};

/// @brief Ring buffer of the latest records. Thread-safe; adding is O(1).
class decision_log
{
  public:
    static constexpr std::size_t capacity = 4'096;

    /// @brief Adds a record; a full log evicts the oldest.
    void add(call_record record);

    /// @brief JSON of the record of a request, or nothing when there is none.
    std::optional<std::string> explain(const std::string& request_id) const;

  private:
    mutable std::mutex m_mutex;
    std::vector<call_record> m_records;
    std::unordered_map<std::string, std::size_t> m_index;
    std::size_t m_next = 0;
};

} // namespace snipeplank::gateway

#endif
