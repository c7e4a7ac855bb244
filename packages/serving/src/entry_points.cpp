#include "entry_points.hpp"

#include <algorithm>

namespace snipeplank::serving
{

namespace
{

constexpr std::size_t max_entry_points = 64;

using address_list = std::vector<core::address>;

/// Number of the host's region-bound routes that may be served in a region.
std::size_t homes_in(const core::region_id& region, const std::string& host,
                     const routing_table* table)
{
    if (table == nullptr)
        return 0;
    return static_cast<std::size_t>(std::count_if(table->routes.begin(), table->routes.end(),
                                                  [&](const route& each)
                                                  {
                                                      return !each.allowed_regions.empty() &&
                                                             http::same_name(each.host, host) &&
                                                             each.may_be_served_in(region);
                                                  }));
}

address_list remote_nodes(const std::string& host, const entry_view& view)
{
    std::map<std::size_t, address_list> by_homes;
    for (const live_node& each : view.live)
    {
        by_homes[homes_in(each.region, host, view.table)].push_back(each.caller_address);
    }
    if (!by_homes.empty() && by_homes.rbegin()->first > 0)
        return by_homes.rbegin()->second;
    for (const auto& [region, stopping] : view.stopping)
    {
        const std::size_t homes = homes_in(region, host, view.table);
        if (homes > 0 && !stopping.empty())
            by_homes[homes] = stopping;
    }
    return by_homes.empty() ? address_list{} : by_homes.rbegin()->second;
}

address_list local_nodes(const control_request& asked, const entry_view& view)
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
        return same_zone;
    if (!same_region.empty())
        return same_region;
    const auto stopping = view.stopping.find(asked.region);
    return stopping == view.stopping.end() ? address_list{} : stopping->second;
}

} // namespace

address_list choose_entry_points(const control_request& asked, const entry_view& view)
{
    address_list chosen = local_nodes(asked, view);
    if (chosen.empty())
        chosen = remote_nodes(asked.host, view);
    chosen.resize(std::min(chosen.size(), max_entry_points));
    return chosen;
}

} // namespace snipeplank::serving
