/// @file
/// System calls that a signal may interrupt.

#ifndef SNIPEPLANK_CORE_INTERRUPTED_CALL_HPP
#define SNIPEPLANK_CORE_INTERRUPTED_CALL_HPP

#include <cerrno>

namespace snipeplank::core
{

/// @brief Makes a system call again while a signal interrupts it: a call that was interrupted has
/// done nothing and tells nothing.
/// @param call returns a negative value and sets `errno` when it fails
/// @return what the call returned that was not interrupted
template <typename Call>
auto retry_interrupted(const Call& call)
{
    auto result = call();
    while (result < 0 && errno == EINTR)
    {
        result = call();
    }
    return result;
}

} // namespace snipeplank::core

#endif
