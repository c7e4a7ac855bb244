/// @file
/// Parsing of addresses.

#ifndef SNIPEPLANK_SETTINGS_ADDRESS_HPP
#define SNIPEPLANK_SETTINGS_ADDRESS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <string>

namespace snipeplank::settings
{

/// @brief Parses `IP:port`; an IPv6 address is written in brackets.
/// @return the address in its canonical form, or `invalid_address`
///
/// An address identifies a node to its peers, so host names, the unspecified address and port 0 are
/// refused. O(n).
/// @code
/// auto admin = parse_address("127.0.0.1:9100");
/// @endcode
core::result<core::address> parse_address(const std::string& text);

} // namespace snipeplank::settings

#endif
