/// @file
/// Request ids as callers and logs show them.

#ifndef SNIPEPLANK_CTL_REQUEST_ID_HPP
#define SNIPEPLANK_CTL_REQUEST_ID_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <string>

namespace snipeplank::ctl
{

/// @brief A request id taken apart.
struct request_id
{
    core::address address; ///< of the node that took the request
    std::string path;      ///< the id as a segment of a URL path
};

/// @brief Parses `<address>-<incarnation>-<call number>`. O(n).
core::result<request_id> parse_request_id(const std::string& text);

/// @brief The address with another port.
core::result<core::address> with_port(const core::address& address, const std::string& port);

} // namespace snipeplank::ctl

#endif
