#include "node_count_estimate.hpp"

#include <algorithm>

namespace snipeplank::serving
{

void node_count_estimate::on_seen(const core::address& peer, const core::region_id& region,
                                  core::time_point now)
{
    m_seen[peer] = {region, now};
}

void node_count_estimate::remove_expired(core::time_point now)
{
    std::erase_if(m_seen, [&](const auto& each) { return now - each.second.at > seen_lifetime; });
}

/// Whether nodes may run that this one has not heard of yet.
bool node_count_estimate::may_be_incomplete(core::time_point now) const
{
    return m_seen.empty() || is_discovering(now);
}

std::size_t node_count_estimate::possible(core::time_point now) const
{
    const std::size_t known = 1 + unknown_nodes + m_seen.size();
    return may_be_incomplete(now) ? std::max(known, min_nodes_while_discovering) : known;
}

std::size_t node_count_estimate::possible_in(const core::region_id& region,
                                             core::time_point now) const
{
    if (may_be_incomplete(now))
        return unknown_nodes_in_region;
    return 1 + unknown_nodes +
           static_cast<std::size_t>(std::count_if(m_seen.begin(), m_seen.end(),
                                                  [&](const auto& each)
                                                  { return each.second.region == region; }));
}

std::vector<core::address> node_count_estimate::seen_in(const core::region_id& region) const
{
    std::vector<core::address> nodes;
    for (const auto& [peer, seen] : m_seen)
    {
        if (seen.region == region)
            nodes.push_back(peer);
    }
    return nodes;
}

} // namespace snipeplank::serving
