/// @file
/// From an address to a TCP endpoint.

#ifndef SNIPEPLANK_HTTP_SRC_ENDPOINT_HPP
#define SNIPEPLANK_HTTP_SRC_ENDPOINT_HPP

#include <snipeplank/core/ids.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace snipeplank::http
{

/// @brief The endpoint of `IP:PORT`, or nothing when the text is no such address.
std::optional<boost::asio::ip::tcp::endpoint> to_endpoint(const core::address& where);

/// @brief The text `IP:PORT` of an endpoint.
core::address to_address(const boost::asio::ip::tcp::endpoint& where);

/// @brief Options of every connection: no delay, and probes that notice a silent peer.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

} // namespace snipeplank::http

#endif
