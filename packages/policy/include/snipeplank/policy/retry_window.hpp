/// @file
/// This node's part of a bound on repeated requests in any window of time.

#ifndef SNIPEPLANK_POLICY_RETRY_WINDOW_HPP
#define SNIPEPLANK_POLICY_RETRY_WINDOW_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <deque>

namespace snipeplank::policy
{

/// @brief Bound on the repeats of all nodes together: `ratio` x requests + `slack` in any window.
struct retry_bound
{
    double ratio = 0.2;
    double slack = 0; ///< repeats of all nodes together
    core::milliseconds window{10'000};
};

/// @brief Admits repeats of one service under this node's part of the bound.
///
/// Each node takes `ratio` of its own requests and an equal part of the slack, so the parts of all
/// nodes add up to no more than the bound whatever the nodes know of each other, as long as
/// `nodes` is at least the number that run.
///
/// The requests of a window may be counted in it, in the window before, or half a window before.
/// Whatever the alignment, one of these holds the latest half window whole, so only its requests
/// earn repeats. Time is counted in steps, rounded to the safe side.
class retry_window
{
  public:
    explicit retry_window(retry_bound bound) : m_bound(bound) {}

    void set_bound(retry_bound bound) { m_bound = bound; }

    /// @brief A request for the service was received from a caller. O(1) amortised.
    void on_request(core::time_point now);

    /// @brief Takes one repeat if the bound allows it. O(steps in the window).
    /// @param nodes largest number of nodes that may be running
    bool take(std::size_t nodes, core::time_point now);

  private:
    struct step
    {
        core::time_point begin;
        double requests = 0;
        double repeats = 0;
    };

    step& current(core::time_point now);

    retry_bound m_bound;
    std::deque<step> m_steps;
};

} // namespace snipeplank::policy

#endif
