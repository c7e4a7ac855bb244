#include "network_fixture.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace snipeplank::wire::tests
{

namespace
{

sockaddr_in endpoint_of(const core::address& address)
{
    const std::string& text = address.get();
    const std::size_t colon = text.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<in_port_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &to.sin_addr);
    return to;
}

int connect_to(const core::address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in to = endpoint_of(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
    {
        ::close(fd);
        throw std::runtime_error("cannot connect to " + address.get());
    }
    return fd;
}

/// Copies available data from one socket to another. Returns false at the end of the stream.
bool forward(int from, int to)
{
    constexpr std::size_t buffer_bytes = 65'536;
    std::array<char, buffer_bytes> buffer;
    const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
    return count > 0 &&
           ::send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

} // namespace

raw_client::raw_client(const core::address& to) : m_fd(connect_to(to)) {}

raw_client::~raw_client()
{
    ::close(m_fd);
}

void raw_client::write(const std::string& bytes) const
{
    ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void raw_client::close_writing() const
{
    ::shutdown(m_fd, SHUT_WR);
}

std::string raw_client::read(std::size_t count) const
{
    constexpr std::size_t buffer_bytes = 4'096;
    std::array<char, buffer_bytes> buffer;
    std::string bytes;
    while (bytes.size() < count)
    {
        const ssize_t got =
            ::recv(m_fd, buffer.data(), std::min(buffer.size(), count - bytes.size()), 0);
        if (got <= 0)
        {
            break;
        }
        bytes.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return bytes;
}

struct silent_relay::pipe
{
    int client;
    int server;
    int silence_count_at_accept; ///< number of `silence` calls before the accept
    int cut_count_at_accept;     ///< number of `cut` calls before the accept
};

silent_relay::silent_relay() : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in local = endpoint_of(core::address{"127.0.0.1:0"});
    socklen_t size = sizeof(local);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&local), size) != 0)
    {
        throw std::runtime_error("the relay cannot bind a loopback port");
    }
    ::listen(m_listener, SOMAXCONN);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&local), &size);
    m_port = std::to_string(ntohs(local.sin_port));
    m_thread = std::thread([this] { run(); });
}

silent_relay::~silent_relay()
{
    m_is_stopping = true;
    m_thread.join();
    ::close(m_listener);
}

void silent_relay::run()
{
    std::vector<pipe> pipes;
    while (!m_is_stopping)
    {
        if (m_is_paused)
        {
            constexpr std::chrono::milliseconds pause{1};
            std::this_thread::sleep_for(pause);
            continue;
        }
        std::vector<pollfd> sockets{{m_listener, POLLIN, 0}};
        for (const pipe& one : pipes)
        {
            const short events = one.silence_count_at_accept == m_silence_count ? POLLIN : 0;
            sockets.push_back({events == 0 ? -1 : one.client, events, 0});
            sockets.push_back({events == 0 ? -1 : one.server, events, 0});
        }
        constexpr int turn_ms = 5;
        ::poll(sockets.data(), sockets.size(), turn_ms);
        std::vector<pipe> open_pipes;
        for (std::size_t i = 0; i < pipes.size(); ++i)
        {
            const pipe& one = pipes[i];
            const bool is_open =
                one.cut_count_at_accept == m_cut_count &&
                (sockets[1 + 2 * i].revents == 0 || forward(one.client, one.server)) &&
                (sockets[2 + 2 * i].revents == 0 || forward(one.server, one.client));
            if (is_open)
            {
                open_pipes.push_back(one);
                continue;
            }
            ::close(one.client);
            ::close(one.server);
        }
        pipes = std::move(open_pipes);
        if (sockets[0].revents != 0)
        {
            const int client = ::accept(m_listener, nullptr, nullptr);
            pipes.push_back({client, connect_to(target()), m_silence_count, m_cut_count});
        }
    }
    for (const pipe& one : pipes)
    {
        ::close(one.client);
        ::close(one.server);
    }
}

} // namespace snipeplank::wire::tests
