/// @file
/// Non-blocking TCP sockets.

#ifndef SNIPEPLANK_WIRE_SRC_SOCKET_HPP
#define SNIPEPLANK_WIRE_SRC_SOCKET_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <utility>

namespace snipeplank::wire
{

/// @brief Owns a file descriptor.
class unique_fd
{
  public:
    explicit unique_fd(int fd = -1) : m_fd(fd) {}
    ~unique_fd() { reset(); }
    unique_fd(unique_fd&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;

    int get() const { return m_fd; }
    void reset();

  private:
    int m_fd;
};

/// @brief Opens a listening socket. Fails with `invalid_address` or `connection_failed`.
core::result<unique_fd> listen_on(const core::address& where);

/// @brief Starts a non-blocking connect. Fails with `invalid_address` or `connection_failed`.
core::result<unique_fd> dial(const core::address& where);

/// @brief Accepts the next incoming connection and returns its remote address with it. The
/// descriptor is invalid when there is none.
std::pair<unique_fd, core::address> accept_from(int listener);

/// @brief Whether a non-blocking connect has succeeded. Call once the socket is writable.
bool is_connected(int fd);

/// @brief The address that a socket is bound to.
core::address bound_address(int fd);

} // namespace snipeplank::wire

#endif
