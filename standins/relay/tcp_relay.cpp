#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <standins/relay/tcp_relay.hpp>
#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <stdexcept>
#include <utility>

namespace snipeplank::standins
{
namespace
{

using steady = std::chrono::steady_clock;

constexpr int poll_interval_ms = 10;

sockaddr_in socket_address(const host_port& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(where.port));
    ::inet_pton(AF_INET, where.host.c_str(), &address.sin_addr);
    return address;
}

void disable_nagle(int socket)
{
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

int connect_to(const host_port& target)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socket_address(target);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    {
        ::close(socket);
        return -1;
    }
    disable_nagle(socket);
    return socket;
}

/// Forwards the bytes of one direction of one connection.
class byte_forwarder
{
  public:
    byte_forwarder(link_state& link, direction way, int from, int to, std::uint64_t number)
        : m_link(link), m_direction(way), m_from(from), m_to(to), m_number(number)
    {
    }

    void run()
    {
        while (!m_link.stopping && m_number >= m_link.cut_before &&
               (m_reading || !m_chunks.empty()))
        {
            if (m_number < m_link.mute_before)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval_ms));
                continue;
            }
            read_some();
            if (!write_due())
            {
                break;
            }
        }
        // Forwards a half-close; the other direction may still transfer bytes.
        const bool ended_cleanly = !m_reading && m_chunks.empty();
        if (m_link.ends_by_reset && (m_has_lost_bytes || !ended_cleanly))
        {
            connection(m_to).reset();
            connection(m_from).reset();
            return;
        }
        ::shutdown(m_to, ended_cleanly ? SHUT_WR : SHUT_RDWR);
        if (!ended_cleanly)
        {
            ::shutdown(m_from, SHUT_RDWR);
        }
    }

  private:
    struct chunk
    {
        steady::time_point due;
        std::string bytes;
    };

    void read_some()
    {
        constexpr std::size_t max_chunks = 64;
        if (!m_reading || m_chunks.size() >= max_chunks)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            return;
        }
        pollfd entry{m_from, POLLIN, 0};
        if (::poll(&entry, 1, m_chunks.empty() ? poll_interval_ms : 1) <= 0)
        {
            return;
        }
        std::array<char, 16'384> buffer;
        const ssize_t count = ::recv(m_from, buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            m_reading = false;
            m_has_lost_bytes = m_has_lost_bytes || count < 0;
            return;
        }
        if (m_number >= m_link.mute_before)
        {
            queue_bytes({buffer.data(), static_cast<std::size_t>(count)});
        }
    }

    void queue_bytes(std::string bytes)
    {
        m_link.markers.search(m_tail, bytes);
        const bool to_target = m_direction == direction::to_target;
        (to_target ? m_link.bytes_to_target : m_link.bytes_to_client) += bytes.size();
        if (to_target ? m_link.drop_to_target : m_link.drop_to_client)
        {
            m_has_lost_bytes = true;
            return;
        }
        // TCP never goes on behind lost bytes.
        if (m_link.ends_by_reset && m_has_lost_bytes)
        {
            m_reading = false;
            return;
        }
        auto due = steady::now() + std::chrono::milliseconds(m_link.delay_ms);
        if (const std::uint64_t rate = m_link.rate; rate > 0)
        {
            constexpr std::uint64_t us_per_second = 1'000'000;
            due = std::max(due, m_last_due) +
                  std::chrono::microseconds(bytes.size() * us_per_second / rate);
        }
        // Keeps the byte order when the delay is lowered while chunks are queued.
        m_last_due = std::max(due, m_last_due);
        m_chunks.push_back({m_last_due, std::move(bytes)});
    }

    bool write_due()
    {
        while (!m_chunks.empty() && m_chunks.front().due <= steady::now())
        {
            std::string& bytes = m_chunks.front().bytes;
            pollfd entry{m_to, POLLOUT, 0};
            if (::poll(&entry, 1, poll_interval_ms) == 0)
            {
                return true;
            }
            const ssize_t sent =
                ::send(m_to, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent < 0)
            {
                return errno == EAGAIN;
            }
            bytes.erase(0, static_cast<std::size_t>(sent));
            if (!bytes.empty())
            {
                return true;
            }
            m_chunks.pop_front();
        }
        return true;
    }

    link_state& m_link;
    const direction m_direction;
    const int m_from;
    const int m_to;
    const std::uint64_t m_number;
    bool m_reading = true;
    bool m_has_lost_bytes = false;
    std::deque<chunk> m_chunks;
    steady::time_point m_last_due;
    std::string m_tail;
};

} // namespace

tcp_relay::tcp_relay(const host_port& listen, host_port target, bool ends_by_reset)
    : m_listen(listen), m_target(std::move(target))
{
    m_link.ends_by_reset = ends_by_reset;
    open_listener();
    if (m_listener < 0)
    {
        throw std::runtime_error("cannot listen on " + listen.host + ":" +
                                 std::to_string(listen.port) + "; choose a free port");
    }
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_listen.port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept_loop(); });
}

tcp_relay::~tcp_relay()
{
    m_link.stopping = true;
    m_acceptor.join();
    for (auto& connection : m_connections)
    {
        connection.join();
    }
    if (m_listener >= 0)
    {
        ::close(m_listener);
    }
}

void tcp_relay::open_listener()
{
    constexpr int backlog = 128;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = socket_address(m_listen);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(socket, backlog) != 0)
    {
        ::close(socket);
        return;
    }
    m_listener = socket;
}

void tcp_relay::accept_loop()
{
    while (!m_link.stopping)
    {
        if (m_link.refuse && m_listener >= 0)
        {
            ::close(m_listener);
            m_listener = -1;
        }
        if (!m_link.refuse && m_listener < 0)
        {
            open_listener();
        }
        if (m_listener < 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval_ms));
            continue;
        }
        pollfd entry{m_listener, POLLIN, 0};
        if (::poll(&entry, 1, poll_interval_ms) > 0 && !m_link.refuse)
        {
            accept_one();
        }
    }
}

void tcp_relay::accept_one()
{
    const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
    {
        return;
    }
    disable_nagle(client);
    const std::uint64_t number = m_link.connections++;
    m_connections.emplace_back([this, client, number] { relay_connection(client, number); });
}

void tcp_relay::relay_connection(int client, std::uint64_t number)
{
    const int target = connect_to(m_target);
    if (target < 0)
    {
        ++m_link.refused;
        ::close(client);
        return;
    }
    ++m_link.open;
    std::thread back(
        [&] { byte_forwarder(m_link, direction::to_client, target, client, number).run(); });
    byte_forwarder(m_link, direction::to_target, client, target, number).run();
    back.join();
    --m_link.open;
    ::close(client);
    ::close(target);
}

} // namespace snipeplank::standins
