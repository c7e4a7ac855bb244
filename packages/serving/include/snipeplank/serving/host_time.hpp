/// @file
/// Time that also passes while the host is suspended.

#ifndef SNIPEPLANK_SERVING_HOST_TIME_HPP
#define SNIPEPLANK_SERVING_HOST_TIME_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::serving
{

/// @brief Time for which this host has been suspended since it was booted.
core::duration host_suspended_time();

/// @brief The steady clock plus the time for which the host was suspended. For leases, which end
/// for others while this host sleeps. Differs from the steady clock: not for timers.
core::time_point host_time();

} // namespace snipeplank::serving

#endif
