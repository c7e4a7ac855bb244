/// @file
/// Assignment of roles to the nodes of a region, by rendezvous hashing over its live members.

#ifndef SNIPEPLANK_FLEET_ROLES_HPP
#define SNIPEPLANK_FLEET_ROLES_HPP

#include <snipeplank/core/ids.hpp>

#include <vector>

namespace snipeplank::fleet
{

constexpr std::size_t watchers_per_zone = 2;
constexpr std::size_t relays_per_region = 2;

/// @brief A live member that may get roles.
struct role_candidate
{
    core::address address;
    core::zone_id zone;

    friend bool operator==(const role_candidate&, const role_candidate&) = default;
};

/// @brief Roles that one node holds.
struct role_set
{
    bool watcher = false;              ///< keeps a blocking read open at the configuration service
    bool relay = false;                ///< exchanges summaries with other regions
    unsigned relay_rank = 0;           ///< 0 or 1 among the relays of the region
    std::vector<core::address> probes; ///< upstreams whose load this node samples
    std::vector<core::address> orders; ///< upstreams to which this node issues orders

    friend bool operator==(const role_set&, const role_set&) = default;
};

/// @brief Roles of the node `self` among the `live` members, which include it.
///
/// O(upstreams x members).
/// @code
/// role_set roles = assign_roles(self, live, upstreams);
/// @endcode
role_set assign_roles(const role_candidate& self, const std::vector<role_candidate>& live,
                      const std::vector<core::address>& upstreams);

/// @brief The watchers of all zones. O(members x members of a zone).
std::vector<core::address> watchers_among(const std::vector<role_candidate>& live);

} // namespace snipeplank::fleet

#endif
