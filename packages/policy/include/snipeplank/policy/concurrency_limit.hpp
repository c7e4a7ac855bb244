/// @file
/// Limit on this node's calls in flight at one upstream.

#ifndef SNIPEPLANK_POLICY_CONCURRENCY_LIMIT_HPP
#define SNIPEPLANK_POLICY_CONCURRENCY_LIMIT_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>

namespace snipeplank::policy
{

/// @brief Adaptive limit from delayed load reports and from the node's own measurements.
///
/// A report gives the free capacity of the upstream. The limit is the node's own calls plus its
/// share of the free capacity, so that the limits of all nodes add up to about the capacity even
/// though reports are delayed. Without fresh reports the limit depends on the time to first byte
/// alone. The limit is at least 1.
class concurrency_limit
{
  public:
    /// Older reports are ignored, because they no longer show the free capacity.
    static constexpr core::seconds report_lifetime{3};

    /// @param initial_limit limit until the first report or answer
    explicit concurrency_limit(unsigned initial_limit);

    /// @brief Handles a load report. O(1).
    /// @param own this node's calls in flight at the upstream
    /// @param live_nodes nodes that share the upstream
    void on_report(unsigned running, unsigned waiting, double kv_use, unsigned own,
                   std::size_t live_nodes, core::time_point now);

    /// @brief Handles the first byte of an answer.
    /// @param expected_ms time to first byte that was predicted when the call was sent
    /// @param in_flight this node's calls at the upstream
    void on_first_byte(double ms, double expected_ms, unsigned in_flight, core::time_point now);

    /// @brief Lowers the limit: the upstream refused for load or did not answer in time.
    void on_pushback(unsigned in_flight, core::time_point now);

    /// @brief The limit. O(1).
    unsigned limit(core::time_point now) const;

    /// @brief Estimate of the calls that the upstream runs concurrently.
    double slots() const { return m_slots; }

    /// @brief Calls of other nodes at the upstream, by the last report.
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
