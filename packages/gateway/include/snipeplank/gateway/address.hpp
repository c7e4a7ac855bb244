/// @file
/// Host and port of an address.

#ifndef SNIPEPLANK_GATEWAY_ADDRESS_HPP
#define SNIPEPLANK_GATEWAY_ADDRESS_HPP

#include <snipeplank/core/ids.hpp>

#include <string>

namespace snipeplank::gateway
{

/// @brief Host and port parts of an address.
struct host_and_port
{
    std::string host;
    int port = 0;
};

/// @brief Splits a validated `IP:port`; without a colon the port is 0.
inline host_and_port split_host_port(const core::address& address)
{
    const std::string& text = address.get();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {text, 0};
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

} // namespace snipeplank::gateway

#endif
