/// @file
/// Parses the request ids that appear in answers and log lines.

#ifndef SNIPEPLANK_CTL_REQUEST_ID_HPP
#define SNIPEPLANK_CTL_REQUEST_ID_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <string>

namespace snipeplank::ctl
{

/// @brief The parts of a request id that a command needs.
struct request_id
{
    core::address address; ///< admin address of the node that accepted the request
    std::string path;      ///< the id, percent-encoded as a segment of a URL path
};

/// @brief Parses `<address>-<incarnation>-<call number>`. O(n).
core::result<request_id> parse_request_id(const std::string& text);

/// @brief Replaces the port of an address.
core::result<core::address> with_port(const core::address& address, const std::string& port);

} // namespace snipeplank::ctl

#endif
