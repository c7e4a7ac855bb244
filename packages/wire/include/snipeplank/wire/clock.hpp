/// @file
/// Clock interface, so that tests control heartbeats and timeouts.

#ifndef SNIPEPLANK_WIRE_CLOCK_HPP
#define SNIPEPLANK_WIRE_CLOCK_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::wire
{

/// @brief Monotonic clock. `now` may be called from several threads.
class clock
{
  public:
    virtual ~clock() = default;

    /// @brief The current time.
    virtual core::time_point now() const = 0;
};

/// @brief The system's monotonic clock.
class system_clock final : public clock
{
  public:
    core::time_point now() const override { return core::time_point::clock::now(); }
};

} // namespace snipeplank::wire

#endif
