/// @file
/// Types for time, data sizes and data rates.

#ifndef SNIPEPLANK_CORE_UNITS_HPP
#define SNIPEPLANK_CORE_UNITS_HPP

#include <chrono>
#include <cstdint>

namespace snipeplank::core
{

/// Monotonic time. Modules without I/O take it as an argument and never read a clock.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief An amount of data.
struct bytes
{
    std::uint64_t count = 0;

    friend auto operator<=>(bytes, bytes) = default;
    friend bytes operator+(bytes a, bytes b) { return {a.count + b.count}; }
};

/// @brief A data rate.
struct bytes_per_second
{
    double rate = 0;
};

/// @brief Converts megabits per second (10^6 bits) to bytes per second.
constexpr bytes_per_second from_megabits(double megabits_per_second)
{
    constexpr double bytes_in_megabit = 125'000;
    return {megabits_per_second * bytes_in_megabit};
}

} // namespace snipeplank::core

#endif
