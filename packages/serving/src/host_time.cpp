#include <snipeplank/serving/host_time.hpp>

#include <chrono>
#include <ctime>

namespace snipeplank::serving
{

namespace
{

core::duration read_clock(clockid_t clock)
{
    timespec time{};
    if (clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace

core::duration host_suspended_time()
{
    const core::duration running = read_clock(CLOCK_MONOTONIC);
    return read_clock(CLOCK_BOOTTIME) - running;
}

core::time_point host_time()
{
    return std::chrono::steady_clock::now() + host_suspended_time();
}

} // namespace snipeplank::serving
