/// @file
/// This node's share of the requests that a cold upstream can handle in any second.

#ifndef SNIPEPLANK_POLICY_COLD_START_LIMIT_HPP
#define SNIPEPLANK_POLICY_COLD_START_LIMIT_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/node_share.hpp>

#include <cstddef>
#include <deque>

namespace snipeplank::policy
{

/// @brief Bound on what all nodes together send to one cold upstream in a second.
struct cold_start_bound
{
    double rate = 0;      ///< requests per second that the upstream sustains
    double overshoot = 1; ///< tolerated factor on `rate`
    double slack = 0;     ///< additional requests
};

/// @brief Admits requests to one cold upstream.
///
/// Each possible sender gets an equal share of the bound, rounded down. Requests are counted by
/// their time of sending in a window of slightly more than a second, because their delays vary.
class cold_start_limit
{
  public:
    /// @brief Requests that this node may send in one window.
    static std::size_t share(const cold_start_bound& bound, node_share senders);

    /// @brief Whether one more request may be sent now. O(share).
    /// @param senders nodes that share the bound
    bool allows(const cold_start_bound& bound, node_share senders, core::time_point now);

    /// @brief Records a sent request, whether the upstream is cold or not. O(1) amortised.
    void on_sent(core::time_point now);

  private:
    std::deque<core::time_point> m_sent;
};

} // namespace snipeplank::policy

#endif
