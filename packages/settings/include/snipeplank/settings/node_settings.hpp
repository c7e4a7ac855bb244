/// @file
/// Settings of one node, read from a YAML file at start.

#ifndef SNIPEPLANK_SETTINGS_NODE_SETTINGS_HPP
#define SNIPEPLANK_SETTINGS_NODE_SETTINGS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace snipeplank::settings
{

enum class log_format
{
    text,
    json,
};

/// @brief What a node needs before it has read any published configuration.
struct node_settings
{
    core::address caller_address; ///< HTTP for callers
    core::address peer_address;   ///< where other nodes send frames
    core::address peer_listen;    ///< where frames are accepted; differs behind address translation
    core::address admin_address;  ///< HTTP for operators
    core::region_id region;
    core::zone_id zone;

    std::vector<core::address> config_service; ///< replicas, tried in order
    core::address host_list;

    std::vector<std::string> fleet_keys; ///< one, or two while keys are being rotated

    std::size_t max_connections = 512;
    core::bytes max_body{1'048'576};

    log_format format = log_format::text;
    std::string log_level = "info";
};

/// @brief Parses and checks node settings.
/// @param text the YAML document
/// @param file name of the document, for error messages
/// @return the settings, or an error naming file, line, key and remedy
/// O(n) in the length of the text.
/// @code
/// auto loaded = parse_node_settings(text, "node.yaml");
/// @endcode
core::result<node_settings> parse_node_settings(const std::string& text, const std::string& file);

/// @brief Reads `path` and parses it.
core::result<node_settings> load_node_settings(const std::string& path);

} // namespace snipeplank::settings

#endif
