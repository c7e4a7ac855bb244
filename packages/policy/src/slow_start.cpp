#include <snipeplank/policy/slow_start.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::policy
{

unsigned slow_start::apply(unsigned limit, core::time_point now) const
{
    if (!is_ramping(now))
        return limit;
    const double passed = std::chrono::duration<double>(now - m_begin) / ramp;
    const double part = m_initial_fraction + (1 - m_initial_fraction) * std::max(passed, 0.0);
    return std::max(1U, static_cast<unsigned>(limit * part));
}

} // namespace snipeplank::policy
