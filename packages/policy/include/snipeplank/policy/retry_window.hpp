/// @file
/// This node's share of a bound on retries in any time window.

#ifndef SNIPEPLANK_POLICY_RETRY_WINDOW_HPP
#define SNIPEPLANK_POLICY_RETRY_WINDOW_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/node_share.hpp>

#include <deque>

namespace snipeplank::policy
{

/// @brief Bound on the retries of all nodes: `ratio` x requests + `slack` in any window.
struct retry_bound
{
    double ratio = 0.2;
    double slack = 0; ///< additional retries of all nodes together
    core::milliseconds window{10'000};
};

/// @brief Admits retries of one service within this node's share of the bound.
///
/// A node's share is `ratio` of its own requests plus an equal share of the slack. The shares of
/// all nodes thus add up to at most the bound without any communication, as long as the slack is
/// shared by at least the running nodes. A node that has just started takes no slack: its former
/// process may have taken it in the same window.
///
/// The bound counts the requests of the window itself, of the window before it, or of the window
/// shifted back by half. Whatever the alignment, one of these contains the latest half window
/// completely, so only requests of the latest half window earn retries. Time is counted in steps,
/// rounded so that the bound still holds.
class retry_window
{
  public:
    explicit retry_window(retry_bound bound) : m_bound(bound) {}

    void set_bound(retry_bound bound) { m_bound = bound; }

    /// @brief Records a request for the service from a caller. O(1) amortised.
    void on_request(core::time_point now);

    /// @brief Takes one retry if the bound allows it. O(steps in the window).
    /// @param nodes nodes that share the slack
    bool take(node_share nodes, core::time_point now);

    /// @brief Retries taken in the latest window. O(steps in the window).
    double taken(core::time_point now) const;

  private:
    struct step
    {
        core::time_point begin;
        double requests = 0;
        double retries = 0;
    };

    step& current(core::time_point now);

    retry_bound m_bound;
    std::deque<step> m_steps;
};

} // namespace snipeplank::policy

#endif
