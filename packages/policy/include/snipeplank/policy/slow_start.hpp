/// @file
/// Ramp of the work given to capacity that has just come.

#ifndef SNIPEPLANK_POLICY_SLOW_START_HPP
#define SNIPEPLANK_POLICY_SLOW_START_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::policy
{

/// @brief Part of its limit that an upstream gets while its caches are cold.
class slow_start
{
  public:
    static constexpr core::seconds ramp{10};
    /// Part at the start of the ramp for an upstream that is new.
    static constexpr double part_when_new = 0.25;
    /// After an ejection the fault may still be there, so a single call probes first.
    static constexpr double part_after_ejection = 0.05;

    /// @brief Starts the ramp.
    void begin(double first_part, core::time_point now)
    {
        m_first_part = first_part;
        m_begin = now;
        m_is_ramping = true;
    }

    /// @brief The limit under the ramp, at least 1.
    unsigned apply(unsigned limit, core::time_point now) const;

    /// @brief Whether the ramp is still going.
    bool is_ramping(core::time_point now) const { return m_is_ramping && now < m_begin + ramp; }

  private:
    double m_first_part = 1;
    core::time_point m_begin{};
    bool m_is_ramping = false;
};

} // namespace snipeplank::policy

#endif
