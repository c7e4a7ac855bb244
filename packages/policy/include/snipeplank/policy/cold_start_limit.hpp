/// @file
/// This node's part of the requests that a cold upstream bears in any second.

#ifndef SNIPEPLANK_POLICY_COLD_START_LIMIT_HPP
#define SNIPEPLANK_POLICY_COLD_START_LIMIT_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <deque>

namespace snipeplank::policy
{

/// @brief Bound on what all nodes together send to one cold upstream in a second.
struct cold_start_bound
{
    double rate = 0;      ///< requests a second that the upstream bears
    double overshoot = 1; ///< factor that is tolerated
    double slack = 0;     ///< requests on top
};

/// @brief Admits requests to one cold upstream.
///
/// Each possible sender takes an equal, whole part of the bound. Requests are counted from the
/// moment of sending in windows a little longer than a second, because they arrive with some delay.
class cold_start_limit
{
  public:
    /// @brief Requests that one of `senders` nodes may send in one window.
    static std::size_t part(const cold_start_bound& bound, std::size_t senders);

    /// @brief Whether one more request may be sent now. O(part).
    /// @param senders largest number of nodes that may be sending
    bool allows(const cold_start_bound& bound, std::size_t senders, core::time_point now);

    /// @brief A request was sent, whether the upstream is cold or not. O(1) amortised.
    void on_sent(core::time_point now);

  private:
    std::deque<core::time_point> m_sent;
};

} // namespace snipeplank::policy

#endif
