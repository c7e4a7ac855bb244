/// @file
/// Actions that the fleet state machine returns to its driver.

#ifndef SNIPEPLANK_FLEET_ACTIONS_HPP
#define SNIPEPLANK_FLEET_ACTIONS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::fleet
{

/// @brief Send `body` to the node at peer address `to`; loss is allowed.
struct send_message
{
    core::address to;
    message body;
};

/// @brief Read the manifest from the configuration service.
///
/// The driver answers with `on_service_manifest` or `on_service_failure`.
struct read_manifest
{
    core::milliseconds wait{0}; ///< above zero: blocking read that returns when the value changes
};

/// @brief Read one section from the configuration service.
///
/// The driver answers with `on_section`. An unanswered read is repeated after `fetch_timeout`.
struct read_section
{
    std::string hash; ///< SHA-256, hexadecimal; the key is `snipeplank/sections/<hash>`
};

/// @brief A configuration was put in force: this node uses it from now on.
struct config_in_force
{
    config_digest digest;
    std::shared_ptr<const settings::published_config> config;
};

/// @brief The set of live, suspected or leaving members changed; query `node_fleet` for it.
struct members_changed
{
};

/// @brief The roles of this node changed; query `node_fleet::roles`.
struct roles_changed
{
};

/// @brief Peers declared this node's incarnation dead while it ran, so it took a new one.
///
/// Connections stay usable. This process still owns the tickets of the former incarnation.
struct incarnation_renewed
{
    core::incarnation former;
    core::incarnation current;
};

enum class alarm_kind
{
    config_invalid,  ///< a published document is not valid and was ignored
    config_conflict, ///< another content under the version in force was refused
    config_corrupt,  ///< a received text did not match its hash
    own_link,        ///< most members do not answer, so this node's own link is suspected
    paused,          ///< the process did not run for longer than `pause_threshold`
};

/// @brief A condition that the driver counts and logs for the operator.
struct alarm
{
    alarm_kind kind{};
    std::string message;
    std::string remedy;
};

using action = std::variant<send_message, read_manifest, read_section, config_in_force,
                            members_changed, roles_changed, incarnation_renewed, alarm>;

/// Actions in the order in which the driver performs them.
using action_list = std::vector<action>;

} // namespace snipeplank::fleet

#endif
