#include "socket.hpp"

#include <arpa/inet.h>
#include <boost/outcome/try.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <string>

namespace snipeplank::wire
{

namespace
{

struct endpoint
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

std::optional<in_port_t> parse_port(const std::string& text)
{
    in_port_t port = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool is_whole = code == std::errc() && end == text.data() + text.size();
    return is_whole ? std::optional(port) : std::nullopt;
}

/// Parses `IPv4:port` or `[IPv6]:port`.
core::result<endpoint> parse_endpoint(const core::address& where)
{
    const std::string& text = where.get();
    const std::size_t colon = text.rfind(':');
    const std::string host = text.substr(0, colon);
    const auto port = parse_port(colon == std::string::npos ? "" : text.substr(colon + 1));
    endpoint to;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&to.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&to.storage);
    if (port && inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(*port);
        to.size = sizeof(sockaddr_in);
        return to;
    }
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (port && is_bracketed &&
        inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(*port);
        to.size = sizeof(sockaddr_in6);
        return to;
    }
    return core::fail(core::error_code::invalid_address, "'" + text + "' is not an address",
                      "write IPv4:port or [IPv6]:port, without a host name");
}

core::address to_address(const endpoint& from)
{
    std::string host(INET6_ADDRSTRLEN, '\0');
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&from.storage);
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&from.storage);
    const bool is_v6 = from.storage.ss_family == AF_INET6;
    const void* number =
        is_v6 ? static_cast<const void*>(&v6->sin6_addr) : static_cast<const void*>(&v4->sin_addr);
    inet_ntop(from.storage.ss_family, number, host.data(), INET6_ADDRSTRLEN);
    host.resize(std::strlen(host.c_str()));
    const std::string port = std::to_string(ntohs(is_v6 ? v6->sin6_port : v4->sin_port));
    return core::address{is_v6 ? "[" + host + "]:" + port : host + ":" + port};
}

auto system_failure(const std::string& detail)
{
    return core::fail(core::error_code::connection_failed, detail + ": " + std::strerror(errno),
                      "check the address, the route and the limit of open files");
}

void disable_nagle(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

void unique_fd::reset()
{
    if (m_fd >= 0)
    {
        ::close(m_fd);
        m_fd = -1;
    }
}

core::result<unique_fd> listen_on(const core::address& where)
{
    BOOST_OUTCOME_TRY(local, parse_endpoint(where));
    unique_fd fd(socket(local.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd.get(), local.get(), local.size) != 0 || listen(fd.get(), SOMAXCONN) != 0)
    {
        return system_failure("cannot listen on " + where.get());
    }
    return fd;
}

core::result<unique_fd> dial(const core::address& where)
{
    BOOST_OUTCOME_TRY(remote, parse_endpoint(where));
    unique_fd fd(socket(remote.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (connect(fd.get(), remote.get(), remote.size) != 0 && errno != EINPROGRESS)
    {
        return system_failure("cannot connect to " + where.get());
    }
    disable_nagle(fd.get());
    return fd;
}

std::pair<unique_fd, core::address> accept_from(int listener)
{
    endpoint remote;
    remote.size = sizeof(remote.storage);
    unique_fd fd(accept4(listener, remote.get(), &remote.size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.get() < 0)
    {
        return std::pair<unique_fd, core::address>();
    }
    disable_nagle(fd.get());
    return {std::move(fd), to_address(remote)};
}

bool is_connected(int fd)
{
    int code = 0;
    socklen_t size = sizeof(code);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
    return code == 0;
}

core::address bound_address(int fd)
{
    endpoint local;
    local.size = sizeof(local.storage);
    getsockname(fd, local.get(), &local.size);
    return to_address(local);
}

} // namespace snipeplank::wire
