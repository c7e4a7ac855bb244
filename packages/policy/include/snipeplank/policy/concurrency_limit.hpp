/// @file
/// How many calls this node keeps in flight at one upstream.

#ifndef SNIPEPLANK_POLICY_CONCURRENCY_LIMIT_HPP
#define SNIPEPLANK_POLICY_CONCURRENCY_LIMIT_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>

namespace snipeplank::policy
{

/// @brief Adaptive limit from lagged load reports and from the node's own measurements.
///
/// A report shows the room left at the upstream. The node takes its own calls plus its part of the
/// room, so that the limits of all nodes add up to about the room there is, whatever the lag.
/// Without fresh reports the limit follows the time to first byte alone. The limit is at least 1.
class concurrency_limit
{
  public:
    /// A report older than this says nothing about the room left.
    static constexpr core::seconds report_lifetime{3};

    /// @param start limit until something is known
    explicit concurrency_limit(unsigned start);

    /// @brief A load report. O(1).
    /// @param own calls of this node at the upstream
    /// @param live_nodes nodes that share the upstream
    void on_report(unsigned running, unsigned waiting, double kv_use, unsigned own,
                   std::size_t live_nodes, core::time_point now);

    /// @brief An answer began.
    /// @param expected_ms what was predicted when the call was sent
    /// @param in_flight own calls at the upstream
    void on_first_byte(double ms, double expected_ms, unsigned in_flight, core::time_point now);

    /// @brief The upstream refused for load, or did not answer in time.
    void on_pushback(unsigned in_flight, core::time_point now);

    /// @brief The limit. O(1).
    unsigned limit(core::time_point now) const;

    /// @brief Calls that the upstream seems to run side by side.
    double slots() const { return m_slots; }

    /// @brief Calls at the upstream that are not this node's, by the last report.
    double others() const { return m_others; }

    /// @brief Calls waiting and running at the last report.
    unsigned reported() const { return m_reported; }

  private:
    void decrease(unsigned in_flight, core::time_point now);

    double m_slots;
    double m_by_latency;
    double m_by_report;
    double m_others = 0;
    unsigned m_reported = 0;
    core::time_point m_last_report{};
    core::time_point m_last_decrease{};
};

} // namespace snipeplank::policy

#endif
