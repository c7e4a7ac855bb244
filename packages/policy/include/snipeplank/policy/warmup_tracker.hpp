/// @file
/// How long one upstream must be treated as cold. Pure.
///
/// An upstream publishes how long its warm-up still lasts, and may say so in an answer. Neither
/// arrives while it cannot reach the state source. A node that finds it closed and later open
/// again must expect that it has restarted, and count the warm-up from that contact.

#ifndef SNIPEPLANK_POLICY_WARMUP_TRACKER_HPP
#define SNIPEPLANK_POLICY_WARMUP_TRACKER_HPP

#include <snipeplank/core/units.hpp>

#include <cstdint>

namespace snipeplank::policy
{

/// @brief What an upstream publishes of its warm-up.
struct warmup_report
{
    std::uint64_t started_ms = 0; ///< Unix time of the upstream's start
    std::uint64_t number = 0;     ///< of the report; rises within one run
    core::milliseconds remaining{0};

    friend bool operator==(const warmup_report&, const warmup_report&) = default;
};

/// @brief Tracks the warm-up of one upstream. Not thread-safe.
class warmup_tracker
{
  public:
    /// Added to each warm-up time for differences in delay.
    static constexpr core::milliseconds margin{500};

    /// @brief Records a published report. One that was recorded before changes nothing.
    void on_report(const warmup_report& report, core::time_point now);

    /// @brief Records what the upstream said in an answer.
    void on_answer(core::milliseconds remaining, core::time_point now);

    /// @brief Records that the upstream refused a connection or has crashed. A connection that is
    /// not answered in time says nothing: the path may be cut, or this node may be slow.
    void on_closed() { m_may_have_restarted = true; }

    /// @brief Records that the upstream accepts connections.
    /// @param warmup how long an upstream of its service is cold after a start
    void on_reachable(core::milliseconds warmup, core::time_point now);

    bool is_cold(core::time_point now) const;

  private:
    warmup_report m_last_report;
    core::time_point m_reported_until{};
    core::time_point m_observed_until{}; ///< from its answers and connections
    bool m_may_have_restarted = false;
};

} // namespace snipeplank::policy

#endif
