#include "upstream_connection.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

namespace snipeplank::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t read_buffer_size = 4'096;

/// Reads and writes a socket within time limits, and shows the bytes that it reads to the framing.
class framed_stream final : public httplib::Stream
{
  public:
    framed_stream(int socket, milliseconds read_limit, milliseconds write_limit,
                  answer_framing& framing)
        : m_socket(socket), m_read_limit(read_limit), m_write_limit(write_limit), m_framing(framing)
    {
    }

    bool is_readable() const override { return waits_for(POLLIN, m_read_limit); }
    bool is_writable() const override { return waits_for(POLLOUT, m_write_limit); }

    ssize_t read(char* data, std::size_t size) override
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

    ssize_t write(const char* data, std::size_t size) override
    {
        return is_writable() ? ::send(m_socket, data, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        describe(::getpeername, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        describe(::getsockname, ip, port);
    }

    socket_t socket() const override { return m_socket; }

  private:
    using address_query = int (*)(int, sockaddr*, socklen_t*);

    void describe(address_query query, std::string& ip, int& port) const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        query(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        std::array<char, INET_ADDRSTRLEN> text{};
        ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        ip = text.data();
        port = ntohs(address.sin_port);
    }

    /// Returns the number of bytes, 0 at the end of the stream, or -1 if the answer cannot go on.
    ssize_t receive()
    {
        if (!is_readable())
            return -1;
        ssize_t count = 0;
        do
        {
            count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        } while (count < 0 && errno == EINTR);
        if (count <= 0)
            return count;
        m_unread = {m_buffer.data(), static_cast<std::size_t>(count)};
        return m_framing.add(m_unread) ? count : -1;
    }

    bool waits_for(short event, milliseconds limit) const
    {
        pollfd entry{m_socket, event, 0};
        int ready = 0;
        do
        {
            ready = ::poll(&entry, 1, static_cast<int>(limit.count()));
        } while (ready < 0 && errno == EINTR);
        return ready > 0;
    }

    int m_socket;
    milliseconds m_read_limit;
    milliseconds m_write_limit;
    answer_framing& m_framing;
    std::array<char, read_buffer_size> m_buffer{};
    std::string_view m_unread; ///< part of the buffer
};

milliseconds limit_of(time_t seconds, time_t microseconds)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{seconds} +
                                                    std::chrono::microseconds{microseconds});
}

} // namespace

upstream_connection::upstream_connection(const std::string& host, int port)
    : httplib::ClientImpl(host, port)
{
}

bool upstream_connection::process_socket(const Socket& socket,
                                         std::function<bool(httplib::Stream&)> callback)
{
    m_framing.emplace(m_is_head_request);
    framed_stream stream(socket.sock, limit_of(read_timeout_sec_, read_timeout_usec_),
                         limit_of(write_timeout_sec_, write_timeout_usec_), *m_framing);
    return callback(stream);
}

} // namespace snipeplank::gateway
