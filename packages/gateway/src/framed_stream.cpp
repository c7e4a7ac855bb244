#include "framed_stream.hpp"

#include <snipeplank/core/interrupted_call.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using std::chrono::milliseconds;
using address_query = int (*)(int, sockaddr*, socklen_t*);

void describe(int socket, address_query query, std::string& ip, int& port)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    query(socket, reinterpret_cast<sockaddr*>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

framed_stream::framed_stream(int socket, stream_limits limits, byte_check check)
    : m_socket(socket), m_limits(limits), m_check(std::move(check))
{
}

bool framed_stream::is_readable() const
{
    return waits_for_bytes(m_limits.read);
}

bool framed_stream::is_writable() const
{
    return waits_for(POLLOUT, m_limits.write);
}

ssize_t framed_stream::read(char* data, std::size_t size)
{
    if (m_unread.empty())
    {
        const ssize_t count = receive();
        if (count <= 0)
            return count;
    }
    const std::size_t taken = std::min(size, m_unread.size());
    std::copy_n(m_unread.data(), taken, data);
    m_unread.remove_prefix(taken);
    return static_cast<ssize_t>(taken);
}

ssize_t framed_stream::write(const char* data, std::size_t size)
{
    if (!is_writable())
        return -1;
    return core::retry_interrupted([&] { return ::send(m_socket, data, size, MSG_NOSIGNAL); });
}

void framed_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    describe(m_socket, ::getpeername, ip, port);
}

void framed_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    describe(m_socket, ::getsockname, ip, port);
}

bool framed_stream::waits_for_bytes(milliseconds limit) const
{
    return !m_unread.empty() || waits_for(POLLIN, limit);
}

/// Returns the number of bytes, 0 at the end of the stream, or -1 if nothing more may be read.
ssize_t framed_stream::receive()
{
    if (!is_readable())
        return -1;
    const ssize_t count = core::retry_interrupted(
        [&] { return ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0); });
    if (count <= 0)
        return count;
    m_unread = {m_buffer.data(), static_cast<std::size_t>(count)};
    if (m_check(m_unread))
        return count;
    m_unread = {};
    return -1;
}

bool framed_stream::waits_for(short event, milliseconds limit) const
{
    pollfd entry{m_socket, event, 0};
    return core::retry_interrupted(
               [&] { return ::poll(&entry, 1, static_cast<int>(limit.count())); }) > 0;
}

milliseconds to_limit(time_t seconds, time_t microseconds)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{seconds} +
                                                    std::chrono::microseconds{microseconds});
}

} // namespace snipeplank::gateway
