#include "load_exchange.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipeplank::serving
{

namespace
{

constexpr std::size_t max_reported_upstreams = 48;
/// Limits, and leaving upstreams, in one message to another node.
constexpr std::size_t max_feedback_items = 20;
constexpr double millis_per_unit = 1'000;

std::uint16_t saturate(double value)
{
    constexpr double max_value = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, max_value));
}

} // namespace

load_exchange::load_exchange(core::region_id region, placement& places)
    : m_region(std::move(region)), m_placement(places)
{
}

void load_exchange::on_received(const fleet::gossip& received, const routing_table* table,
                                core::time_point now)
{
    if (received.sender_region == m_region)
    {
        on_own_region(received, now);
        return;
    }
    if (table == nullptr)
        return;
    for (const fleet::region_summary& summary : received.regions)
    {
        remote_region& known = m_regions[summary.region];
        known.last_received = now;
        known.services.clear();
        for (const auto& [name, offered] : table->services)
        {
            for (const fleet::service_load& each : summary.services)
            {
                if (each.service_key == fleet::service_key(name))
                    known.services[name] = {each.upstreams, static_cast<double>(each.running),
                                            static_cast<double>(each.waiting)};
            }
        }
    }
}

void load_exchange::on_own_region(const fleet::gossip& received, core::time_point now)
{
    std::map<std::uint64_t, peer_load> loads;
    for (const fleet::upstream_load& each : received.loads)
    {
        loads[each.upstream_key] = {static_cast<double>(each.running),
                                    static_cast<double>(each.waiting)};
    }
    m_placement.set_peer_loads(received.sender.id.incarnation.get(), std::move(loads), now);
}

void load_exchange::on_feedback(const fleet::gossip& received, core::time_point now)
{
    policy::told_feedback told;
    for (const fleet::upstream_leaving& each : received.leaving)
    {
        told.leaving.emplace_back(each.upstream_key);
    }
    for (const fleet::upstream_limit& each : received.limits)
    {
        std::optional<double> limit;
        if (each.limit_millis != fleet::upstream_limit::no_limit)
            limit = each.limit_millis / millis_per_unit;
        told.limits.push_back(
            {policy::upstream_run_key{each.upstream_key}, limit, core::milliseconds{each.age_ms}});
    }
    m_placement.on_told(told, now);
}

bool load_exchange::add_feedback(fleet::gossip& message, core::time_point now) const
{
    const policy::told_feedback told = m_placement.to_tell(max_feedback_items, now);
    for (const policy::upstream_run_key each : told.leaving)
    {
        message.leaving.push_back({each.get(), 0});
    }
    for (const policy::told_limit& each : told.limits)
    {
        constexpr double max_millis = fleet::upstream_limit::no_limit - 1.0;
        std::uint32_t millis = fleet::upstream_limit::no_limit;
        if (each.limit)
            millis =
                static_cast<std::uint32_t>(std::min(*each.limit * millis_per_unit, max_millis));
        message.limits.push_back(
            {each.upstream.get(), millis, static_cast<std::uint32_t>(each.age.count())});
    }
    return !told.is_empty();
}

void load_exchange::publish_regions(const std::set<core::region_id>& reachable)
{
    for (auto& [region, known] : m_regions)
    {
        known.is_reachable = reachable.contains(region);
        m_placement.set_region(region, known);
    }
}

std::vector<fleet::upstream_load> load_exchange::own_upstreams() const
{
    std::vector<fleet::upstream_load> loads;
    for (const auto& [key, load] : m_placement.own_loads())
    {
        if (loads.size() == max_reported_upstreams)
            break;
        fleet::upstream_load each;
        each.upstream_key = key;
        each.running = saturate(load.running);
        each.waiting = saturate(load.waiting);
        loads.push_back(each);
    }
    return loads;
}

fleet::region_summary load_exchange::own_region(core::incarnation self, core::time_point now) const
{
    fleet::region_summary summary;
    summary.region = m_region;
    summary.issuer = self.get();
    for (const auto& [name, load] : m_placement.region_loads(now))
    {
        fleet::service_load each;
        each.service_key = fleet::service_key(name);
        each.upstreams = static_cast<std::uint16_t>(load.upstreams);
        each.running = saturate(load.running);
        each.waiting = saturate(load.waiting);
        summary.services.push_back(each);
    }
    return summary;
}

} // namespace snipeplank::serving
