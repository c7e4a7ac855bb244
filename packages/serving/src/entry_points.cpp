#include "entry_points.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace snipeplank::serving
{

namespace
{

constexpr std::size_t max_entry_points = 64;

using address_list = std::vector<core::address>;

/// Routes of a host that only some regions may serve.
std::vector<const route*> bound_routes(const std::string& host, const routing_table* table)
{
    std::vector<const route*> bound;
    if (table == nullptr)
        return bound;
    for (const route& each : table->routes)
    {
        if (!each.allowed_regions.empty() && http::same_name(each.host, host))
            bound.push_back(&each);
    }
    return bound;
}

/// Number of these routes that may be served in a region.
std::size_t homes_in(const core::region_id& region, const std::vector<const route*>& bound)
{
    return static_cast<std::size_t>(std::count_if(bound.begin(), bound.end(),
                                                  [&](const route* each)
                                                  { return each->may_be_served_in(region); }));
}

/// Nodes of the regions where at least this many of the routes may be served, of those where most
/// may: live ones, else stopping ones.
address_list nodes_at_home(const std::vector<const route*>& bound, std::size_t min_homes,
                           const entry_view& view)
{
    std::map<std::size_t, address_list> live;
    for (const live_node& each : view.live)
    {
        live[homes_in(each.region, bound)].push_back(each.caller_address);
    }
    std::map<std::size_t, address_list> accepting;
    for (const auto& [region, stopping] : view.stopping)
    {
        address_list& nodes = accepting[homes_in(region, bound)];
        nodes.insert(nodes.end(), stopping.begin(), stopping.end());
    }
    for (const auto* nodes : {&live, &accepting})
    {
        for (auto each = nodes->rbegin(); each != nodes->rend() && each->first >= min_homes; ++each)
        {
            if (!each->second.empty())
                return each->second;
        }
    }
    return {};
}

address_list all_live(const entry_view& view)
{
    address_list nodes;
    for (const live_node& each : view.live)
    {
        nodes.push_back(each.caller_address);
    }
    return nodes;
}

address_list nodes_of(const core::region_id& region,
                      const std::map<core::region_id, address_list>& by_region)
{
    const auto found = by_region.find(region);
    return found == by_region.end() ? address_list{} : found->second;
}

/// Nodes of the client's region that accept requests.
entry_choice local_nodes(const control_request& asked, const entry_view& view)
{
    address_list same_zone;
    address_list same_region;
    for (const live_node& each : view.live)
    {
        if (each.zone == asked.zone)
            same_zone.push_back(each.caller_address);
        else if (each.region == asked.region)
            same_region.push_back(each.caller_address);
    }
    if (!same_zone.empty())
        return {entry_group::zone, std::move(same_zone)};
    if (!same_region.empty())
        return {entry_group::region, std::move(same_region)};
    return {entry_group::stopping, nodes_of(asked.region, view.stopping)};
}

/// Nodes for a client of a region that accepts nothing at the moment.
entry_choice remote_nodes(const control_request& asked, const entry_view& view)
{
    // The host may have bound routes.
    if (view.table == nullptr)
        return {};
    const std::vector<const route*> bound = bound_routes(asked.host, view.table);
    if (bound.empty())
        return {entry_group::other_region, all_live(view)};
    if (!view.has_current_homes)
        return {};
    if (address_list homes = nodes_at_home(bound, bound.size(), view); !homes.empty())
        return {entry_group::home, std::move(homes)};
    if (address_list back = nodes_of(asked.region, view.expected_back); !back.empty())
        return {entry_group::expected_back, std::move(back)};
    if (view.unknown_regions.contains(asked.region))
        return {};
    if (address_list homes = nodes_at_home(bound, 1, view); !homes.empty())
        return {entry_group::other_region, std::move(homes)};
    return {entry_group::other_region, all_live(view)};
}

} // namespace

std::string_view to_string(entry_group group)
{
    constexpr std::array<std::string_view, entry_group_count> names{
        "none", "zone", "region", "stopping", "home", "expected_back", "other_region"};
    return names.at(static_cast<std::size_t>(group));
}

entry_choice choose_entry_points(const control_request& asked, const entry_view& view)
{
    entry_choice chosen = local_nodes(asked, view);
    if (chosen.addresses.empty())
        chosen = remote_nodes(asked, view);
    if (chosen.addresses.empty())
        chosen.group = entry_group::none;
    chosen.addresses.resize(std::min(chosen.addresses.size(), max_entry_points));
    return chosen;
}

} // namespace snipeplank::serving
