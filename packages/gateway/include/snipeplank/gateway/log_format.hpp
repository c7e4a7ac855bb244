/// @file
/// Format of log lines.

#ifndef SNIPEPLANK_GATEWAY_LOG_FORMAT_HPP
#define SNIPEPLANK_GATEWAY_LOG_FORMAT_HPP

#include <snipeplank/settings/node_settings.hpp>

#include <string>
#include <string_view>

namespace snipeplank::gateway
{

/// @brief Sets the format and level of the default logger.
void set_up_log(const settings::node_settings& settings);

/// @brief Escapes a text for use inside a JSON string, without the quotes. O(n).
std::string escape_json(std::string_view text);

} // namespace snipeplank::gateway

#endif
