/// @file
/// Selection of the entry nodes that the directory returns to a client. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_ENTRY_POINTS_HPP
#define SNIPEPLANK_SERVING_SRC_ENTRY_POINTS_HPP

#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace snipeplank::serving
{

/// @brief A node that answers.
struct live_node
{
    core::address peer;
    core::address caller_address;
    core::zone_id zone;
    core::region_id region;
};

/// @brief State of the fleet from which entry points are chosen.
struct entry_view
{
    std::vector<live_node> live; ///< nodes that answer, have a configuration and do not stop
    /// Nodes that are stopping but still accept, by region.
    std::map<core::region_id, std::vector<core::address>> stopping;
    /// Nodes that stopped as planned a short while ago and are likely to be started again, by
    /// region.
    std::map<core::region_id, std::vector<core::address>> expected_back;
    /// Regions of which this node knows none, as it has just started.
    std::set<core::region_id> unknown_regions;
    const routing_table* table = nullptr; ///< null before the first configuration
    bool has_current_homes = true;        ///< whether the table's homes may be relied on
};

/// @brief Group from which entry points were chosen.
enum class entry_group
{
    none,
    zone,          ///< live nodes of the client's availability zone
    region,        ///< live nodes of its region
    stopping,      ///< nodes of its region that stop and still accept
    home,          ///< nodes of regions where all bound routes of the host may be served
    expected_back, ///< nodes of its region that stopped as planned a short while ago
    other_region,  ///< any, the regions first where most bound routes of the host may be served
};

constexpr std::size_t entry_group_count = static_cast<std::size_t>(entry_group::other_region) + 1;

std::string_view to_string(entry_group group);

/// @brief The entry nodes that the directory returns.
struct entry_choice
{
    entry_group group = entry_group::none;
    std::vector<core::address> addresses;
};

/// @brief Returns the first group that is not empty, in the order of `entry_group`.
///
/// A host with bound routes is not led to a region that is neither the client's own nor a home of
/// all of them while the client's region is about to be back, nor by a node that may not know that
/// region yet, has no configuration, or one whose homes may have moved; the client asks another
/// node then. It is led there when its region was lost without notice. O(nodes x routes).
entry_choice choose_entry_points(const control_request& asked, const entry_view& view);

} // namespace snipeplank::serving

#endif
