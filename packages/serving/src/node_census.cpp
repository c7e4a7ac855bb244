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

std::size_t node_census::with_unknown(std::size_t seen, core::time_point now) const
{
    const std::size_t known = 1 + unseen_nodes + seen;
    const bool may_know_too_few = m_sightings.empty() || is_settling(now);
    return may_know_too_few ? std::max(known, nodes_while_settling) : known;
}

std::size_t node_census::possible(core::time_point now) const
{
    return with_unknown(m_sightings.size(), now);
}

std::size_t node_census::possible_in(const core::region_id& region, core::time_point now) const
{
    const auto seen = static_cast<std::size_t>(
        std::count_if(m_sightings.begin(), m_sightings.end(),
                      [&](const auto& each) { return each.second.region == region; }));
    const std::size_t possible = with_unknown(seen, now);
    return now < m_started + joining_time ? std::max(possible, nodes_while_joining) : possible;
}

} // namespace snipeplank::serving
