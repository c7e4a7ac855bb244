#include <snipeplank/settings/detail/sections.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace snipeplank::settings::detail
{

namespace
{

using core::error_code;

constexpr std::size_t max_zones = 64;
constexpr std::size_t max_links = 10'000;
constexpr std::uint64_t max_delay_ms = 10'000;
constexpr double max_megabits_per_second = 10'000'000;
constexpr double min_megabits_per_second = 0.001;
constexpr double max_weight = 1'000;

link_config read_link(const yaml_field& item, const published_config& config)
{
    item.expect_keys({"between", "delay_ms", "megabits_per_second", "spill_share"});
    link_config link;
    std::tie(link.a, link.b) = read_link_ends(item["between"], config.regions);
    link.one_way_delay = read_link_delay(item["delay_ms"]);
    link.rate = core::from_megabits(read_megabits(item["megabits_per_second"]));
    link.spill_share = item["spill_share"].decimal(0, 1, "parts of the link's rate");
    return link;
}

void read_links(const yaml_field& list, published_config& config)
{
    std::set<std::pair<core::region_id, core::region_id>> seen;
    for (const yaml_field& item : list.items(0, max_links))
    {
        const link_config link = read_link(item, config);
        if (!seen.insert(std::minmax(link.a, link.b)).second)
        {
            item.add_error(error_code::config_invalid,
                           "a link between these regions is listed twice",
                           "keep one entry for each pair; it applies to both directions");
        }
        config.links.push_back(link);
    }
}

void read_weight_store(const yaml_field& group, published_config& config)
{
    group.expect_keys({"region", "megabits_per_second"});
    config.weight_store_region = read_known_region(group["region"], config.regions);
    config.weight_store_rate = core::from_megabits(read_megabits(group["megabits_per_second"]));
}

void read_routing(const yaml_field& group, published_config& config)
{
    group.expect_keys({"policy", "weights"});
    config.routing = group["policy"].one_of<routing_kind>(
        {{"adaptive", routing_kind::adaptive},
         {"round_robin", routing_kind::round_robin},
         {"least_outstanding", routing_kind::least_outstanding},
         {"random_of_two", routing_kind::random_of_two}});
    const yaml_field weights = group["weights"];
    weights.expect_keys({"latency", "cost", "away"});
    config.weights.latency = weights["latency"].decimal(0, max_weight, "");
    config.weights.cost = weights["cost"].decimal(0, max_weight, "");
    config.weights.away = weights["away"].decimal(0, max_weight, "");
}

} // namespace

core::region_id read_known_region(const yaml_field& field, const region_map& regions)
{
    core::region_id region{field.name()};
    if (!regions.contains(region))
    {
        field.add_error(error_code::config_invalid, "region \"" + region.get() + "\" is not listed",
                        "name one of the regions listed under `regions`, or add it there");
    }
    return region;
}

region_map read_regions(const yaml_field& group)
{
    region_map regions;
    std::set<core::zone_id> seen;
    for (const auto& [name, zones] : group.members())
    {
        std::vector<core::zone_id>& listed = regions[core::region_id{name}];
        for (const yaml_field& item : zones.items(1, max_zones))
        {
            const core::zone_id zone{item.name()};
            if (!seen.insert(zone).second)
            {
                item.add_error(error_code::config_invalid, "availability zone listed twice",
                               "give every availability zone of the fleet a name of its own");
            }
            listed.push_back(zone);
        }
    }
    if (regions.empty())
    {
        group.add_error(error_code::config_invalid, "no region is listed",
                        "list at least one region with its availability zones");
    }
    return regions;
}

std::pair<core::region_id, core::region_id> read_link_ends(const yaml_field& between,
                                                           const region_map& regions)
{
    constexpr std::size_t ends = 2;
    const std::vector<yaml_field> items = between.items(ends, ends);
    if (items.size() != ends)
    {
        return {};
    }
    const core::region_id a = read_known_region(items.front(), regions);
    const core::region_id b = read_known_region(items.back(), regions);
    if (a == b)
    {
        between.add_error(error_code::config_invalid, "the link joins a region to itself",
                          "name two different regions under `between`");
    }
    return {a, b};
}

core::milliseconds read_link_delay(const yaml_field& field)
{
    return core::milliseconds{field.whole(0, max_delay_ms, "milliseconds, one way")};
}

double read_megabits(const yaml_field& field)
{
    return field.decimal(min_megabits_per_second, max_megabits_per_second,
                         "megabits per second, each way");
}

void read_fleet_section(const yaml_field& root, published_config& config)
{
    root.expect_keys({"regions", "links", "weight_store", "routing"});
    config.regions = read_regions(root["regions"]);
    read_links(root["links"], config);
    read_weight_store(root["weight_store"], config);
    read_routing(root["routing"], config);
}

} // namespace snipeplank::settings::detail
