/// @file
/// Gradual increase of the work sent to a new or reinstated upstream.

#ifndef SNIPEPLANK_POLICY_SLOW_START_HPP
#define SNIPEPLANK_POLICY_SLOW_START_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::policy
{

/// @brief Reduces the limit of an upstream while its caches are cold.
class slow_start
{
  public:
    static constexpr core::seconds ramp{10};
    /// Initial fraction of the limit for a new upstream.
    static constexpr double new_upstream_fraction = 0.25;
    /// After an ejection the fault may persist, so the ramp begins with a single probing call.
    static constexpr double reinstated_fraction = 0.05;

    /// @brief Starts the ramp.
    void begin(double initial_fraction, core::time_point now)
    {
        m_initial_fraction = initial_fraction;
        m_begin = now;
        m_is_ramping = true;
    }

    /// @brief Returns the limit reduced by the ramp, at least 1.
    unsigned apply(unsigned limit, core::time_point now) const;

    /// @brief Whether the ramp is in progress.
    bool is_ramping(core::time_point now) const { return m_is_ramping && now < m_begin + ramp; }

  private:
    double m_initial_fraction = 1;
    core::time_point m_begin{};
    bool m_is_ramping = false;
};

} // namespace snipeplank::policy

#endif
