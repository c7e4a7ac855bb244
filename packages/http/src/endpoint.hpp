/// @file
/// Conversion between addresses and TCP endpoints, and socket options.

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

} // namespace snipeplank::http

#endif
