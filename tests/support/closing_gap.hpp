/// @file
/// A client that connects right before a listener closes, after its last accept. Included by one
/// file of a test program: it replaces `close` and `shutdown` of the C library.

#ifndef SNIPEPLANK_TESTS_SUPPORT_CLOSING_GAP_HPP
#define SNIPEPLANK_TESTS_SUPPORT_CLOSING_GAP_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <string>
#include <utility>

namespace snipeplank::tests
{

/// @brief Called once, before the next listening socket is closed or shut down.
inline std::function<void()> on_listener_closes;

inline void notify_of_close(int descriptor)
{
    int is_listening = 0;
    socklen_t size = sizeof(is_listening);
    if (!on_listener_closes ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 ||
        is_listening == 0)
        return;
    std::exchange(on_listener_closes, nullptr)();
}

/// @brief A connection to a server on 127.0.0.1 that is opened at once or not at all.
class hasty_client
{
  public:
    explicit hasty_client(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        constexpr int patience_ms = 200;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        pollfd opened{m_socket, POLLOUT, 0};
        if (::poll(&opened, 1, patience_ms) != 1)
            return;
        socklen_t size = sizeof(m_error);
        ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &m_error, &size);
        m_is_connected = m_error == 0;
    }

    ~hasty_client() { ::close(m_socket); }
    hasty_client(const hasty_client&) = delete;
    hasty_client& operator=(const hasty_client&) = delete;

    bool is_connected() const { return m_is_connected; }
    bool is_refused() const { return m_error == ECONNREFUSED; }

    void send(const std::string& bytes) const
    {
        static_cast<void>(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    /// @brief Reads until the server closes, or sends nothing for 5 s.
    std::string read_all() const
    {
        constexpr int patience_ms = 5'000;
        std::string text;
        std::array<char, 4096> part{};
        pollfd arrived{m_socket, POLLIN, 0};
        while (::poll(&arrived, 1, patience_ms) == 1)
        {
            const ssize_t count = ::recv(m_socket, part.data(), part.size(), 0);
            if (count <= 0)
                break;
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

  private:
    int m_socket;
    int m_error = 0;
    bool m_is_connected = false;
};

} // namespace snipeplank::tests

extern "C" int close(int descriptor)
{
    snipeplank::tests::notify_of_close(descriptor);
    return static_cast<int>(::syscall(SYS_close, descriptor));
}

extern "C" int shutdown(int descriptor, int how) noexcept
{
    snipeplank::tests::notify_of_close(descriptor);
    return static_cast<int>(::syscall(SYS_shutdown, descriptor, how));
}

#endif
