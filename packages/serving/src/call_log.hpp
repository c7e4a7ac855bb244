/// @file
/// Structured log of decisions: one JSON object a line, bounded in volume, never blocking.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_LOG_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_LOG_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/token_bucket.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "call_outcome.hpp"

namespace snipeplank::serving
{

/// @brief Kinds of line; each has a budget of its own, so that one cannot displace another.
enum class line_kind
{
    lifecycle, ///< start, stop, reload, lost and regained dependencies
    belief,    ///< what the process takes to be true has changed
    failure,   ///< a request that was refused or failed
    success,
};

/// @brief Writes lines to standard output. Lives on the event loop.
class call_log
{
  public:
    explicit call_log(std::string node);

    void event(line_kind kind, std::string_view what, const nlohmann::json& fields);
    void call_ended(const call_outcome_line& line);

    /// @brief Lines that were not written for want of budget or because the reader lags.
    std::uint64_t dropped() const { return m_dropped; }

  private:
    static constexpr std::size_t kind_count = 4;

    bool take(line_kind kind, core::time_point now);
    void emit(std::string_view what, const nlohmann::json& fields);
    void write(const std::string& line);

    std::string m_node;
    std::array<policy::token_bucket, kind_count> m_budgets;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_said = 0;
};

} // namespace snipeplank::serving

#endif
