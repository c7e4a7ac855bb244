/// @file
/// Conversion between addresses and TCP endpoints, socket options, and looks at a socket.

#ifndef SNIPEPLANK_HTTP_SRC_ENDPOINT_HPP
#define SNIPEPLANK_HTTP_SRC_ENDPOINT_HPP

#include <snipeplank/core/ids.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace snipeplank::http
{

/// @brief Parses `IP:PORT`, where an IPv6 address may be in brackets, or returns nothing.
std::optional<boost::asio::ip::tcp::endpoint> to_endpoint(const core::address& where);

/// @brief The text `IP:PORT` of an endpoint.
core::address to_address(const boost::asio::ip::tcp::endpoint& where);

/// @brief Disables Nagle's algorithm and enables keep-alive probes that detect a silent peer.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

// A read with MSG_PEEK, or SO_ERROR, takes a pending error from the socket: the read that follows
// then meets a clean end of the stream. The functions below leave it there.

/// @brief Whether a read would wait: no byte, no end of the stream and no error is pending.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

/// @brief Whether bytes are waiting to be read, and the connection has not failed.
bool has_arrived_bytes(boost::asio::ip::tcp::socket& socket);

} // namespace snipeplank::http

#endif
