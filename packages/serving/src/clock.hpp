/// @file
/// Current time of the steady clock and conversion of durations.

#ifndef SNIPEPLANK_SERVING_SRC_CLOCK_HPP
#define SNIPEPLANK_SERVING_SRC_CLOCK_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::serving
{

inline core::time_point now()
{
    return std::chrono::steady_clock::now();
}

inline double to_ms(core::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace snipeplank::serving

#endif
