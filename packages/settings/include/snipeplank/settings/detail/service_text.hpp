/// @file
/// Writing of values that occur in both the answers file and the generated files.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_SERVICE_TEXT_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_SERVICE_TEXT_HPP

#include <snipeplank/settings/detail/yaml_writer.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <string>
#include <vector>

namespace snipeplank::settings::detail
{

/// @brief Writes the keys of one service. With a `question` such as `services.booking.`, each value
/// is followed by a comment naming the answer; without one there are no comments.
void write_service(yaml_writer& yaml, const service_config& service, const std::string& question);

/// @brief An address; an IPv6 address is quoted, because its bracket would begin a YAML list.
std::string yaml_address(const core::address& address);

/// @brief A list of addresses.
std::string yaml_addresses(const std::vector<core::address>& addresses);

/// @brief A list of hexadecimal keys.
std::string yaml_keys(const std::vector<std::string>& keys);

} // namespace snipeplank::settings::detail

#endif
