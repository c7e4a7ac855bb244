#include "endpoint.hpp"

#include <snipeplank/core/interrupted_call.hpp>
#include <snipeplank/http/message.hpp>

#include <boost/asio/ip/address.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <poll.h>

namespace snipeplank::http
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// TCP keep-alive: idle time before the first probe, time between probes, and the number of
/// unanswered probes after which the connection is closed.
constexpr int probe_idle_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 3;
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
constexpr unsigned user_timeout_ms = 5'000;

template <typename Value>
void set_option(int socket, int level, int name, Value value)
{
    // A socket without the option still works, but a silent peer is detected later.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

/// The events of a socket that a reader would meet now, without waiting.
short pending_events(tcp::socket& socket)
{
    if (!socket.is_open())
        return POLLNVAL;
    pollfd entry{socket.native_handle(), POLLIN, 0};
    const int ready = core::retry_interrupted([&] { return ::poll(&entry, 1, 0); });
    return ready < 0 ? static_cast<short>(POLLERR) : entry.revents;
}

} // namespace

std::optional<tcp::endpoint> to_endpoint(const core::address& where)
{
    const std::string& text = where.get();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    const auto port = parse_number(std::string_view(text).substr(colon + 1));
    constexpr std::uint64_t max_port = 65'535;
    if (error || !port || *port > max_port)
        return std::nullopt;
    return tcp::endpoint(ip, static_cast<unsigned short>(*port));
}

core::address to_address(const tcp::endpoint& where)
{
    const std::string ip = where.address().to_string();
    const std::string port = std::to_string(where.port());
    return core::address{where.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port};
}

void set_connection_options(tcp::socket& socket)
{
    const int handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

bool is_quiet(tcp::socket& socket)
{
    return pending_events(socket) == 0;
}

bool has_arrived_bytes(tcp::socket& socket)
{
    const short events = pending_events(socket);
    if ((events & POLLIN) == 0 || (events & POLLERR) != 0)
        return false;
    char byte = 0;
    return core::retry_interrupted(
               [&]
               { return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); }) > 0;
}

} // namespace snipeplank::http
