/// @file
/// System calls that a signal interrupts. Included by one file of a test program: it replaces
/// `poll`, `recv` and `send` of the C library.

#ifndef SNIPEPLANK_TESTS_SUPPORT_INTERRUPTED_CALLS_HPP
#define SNIPEPLANK_TESTS_SUPPORT_INTERRUPTED_CALLS_HPP

#include <sys/socket.h>
#include <sys/syscall.h>

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <ctime>

namespace snipeplank::tests
{

/// @brief Number of the next calls of this thread that fail with `EINTR`.
inline thread_local int interruptions = 0;
/// @brief Number of the calls before them, which do not fail.
inline thread_local int calls_before = 0;

inline bool is_interrupted()
{
    if (calls_before > 0)
    {
        --calls_before;
        return false;
    }
    if (interruptions == 0)
        return false;
    --interruptions;
    errno = EINTR;
    return true;
}

} // namespace snipeplank::tests

extern "C" int poll(pollfd* entries, nfds_t count, int timeout_ms)
{
    if (snipeplank::tests::is_interrupted())
        return -1;
    constexpr int ms_in_s = 1'000;
    constexpr long ns_in_ms = 1'000'000;
    const timespec limit{timeout_ms / ms_in_s, timeout_ms % ms_in_s * ns_in_ms};
    return ::ppoll(entries, count, timeout_ms < 0 ? nullptr : &limit, nullptr);
}

extern "C" ssize_t recv(int socket, void* data, std::size_t size, int flags)
{
    if (snipeplank::tests::is_interrupted())
        return -1;
    return ::syscall(SYS_recvfrom, socket, data, size, flags, nullptr, nullptr);
}

extern "C" ssize_t send(int socket, const void* data, std::size_t size, int flags)
{
    if (snipeplank::tests::is_interrupted())
        return -1;
    return ::syscall(SYS_sendto, socket, data, size, flags, nullptr, 0);
}

#endif
