#include "node_census.hpp"

#include <algorithm>

namespace snipeplank::serving
{

void node_census::on_seen(const core::address& peer, const core::region_id& region,
                          core::time_point now)
{
    m_sightings[peer] = {region, now};
}

void node_census::forget(core::time_point now)
{
    std::erase_if(m_sightings,
                  [&](const auto& each) { return now - each.second.at > sighting_lifetime; });
}

std::size_t node_census::possible(const std::optional<core::region_id>& region,
                                  core::time_point now) const
{
    const auto counts = [&](const auto& each) { return !region || each.second.region == *region; };
    const auto seen =
        static_cast<std::size_t>(std::count_if(m_sightings.begin(), m_sightings.end(), counts));
    const std::size_t known = 1 + unseen_nodes + seen;
    if (now < m_started + joining_time)
        return std::max(known, nodes_while_joining);
    if (m_sightings.empty() || is_settling(now))
        return std::max(known, nodes_while_settling);
    return known;
}

} // namespace snipeplank::serving
