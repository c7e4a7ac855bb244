#include "node_count_estimate.hpp"

#include <algorithm>
#include <utility>

namespace snipeplank::serving
{

namespace
{

/// Bounds count in steps, so that what was used leaves a window a little late.
constexpr core::seconds window_margin{1};

} // namespace

node_count_estimate::node_count_estimate(core::region_id region, core::duration longest_window)
    : m_region(std::move(region)),
      m_discovery_time(std::max<core::duration>(min_discovery_time, longest_window + window_margin))
{
}

void node_count_estimate::set_zones(core::zone_id own, std::size_t count)
{
    m_zone = std::move(own);
    m_zone_count = count;
}

void node_count_estimate::on_seen(const core::address& peer, const core::region_id& region,
                                  core::time_point now, const core::zone_id& zone)
{
    const auto [known, is_new] = m_seen.try_emplace(peer, seen_node{zone, region, now});
    known->second.at = now;
    if (!is_new)
        return;
    m_grown_at = now;
    if (region == m_region)
        ++m_seen_in_region;
}

void node_count_estimate::told_number::on_told(std::size_t told, core::time_point now)
{
    if (told < nodes && now - at <= told_lifetime)
        return;
    nodes = told;
    at = now;
}

void node_count_estimate::on_told(const core::region_id& sender_region, const node_count& told,
                                  core::time_point now)
{
    if (told.in_fleet == 0)
        return;
    m_told_in_fleet.on_told(told.in_fleet, now);
    if (sender_region == m_region)
        m_told_in_region.on_told(told.in_region, now);
}

void node_count_estimate::remove_expired(core::time_point now)
{
    std::erase_if(m_seen,
                  [&](const auto& each)
                  {
                      const bool is_expired = now - each.second.at > seen_lifetime;
                      if (is_expired && each.second.region == m_region)
                          --m_seen_in_region;
                      return is_expired;
                  });
    for (told_number* each : {&m_told_in_fleet, &m_told_in_region})
    {
        if (now - each->at > told_lifetime)
            *each = {};
    }
}

/// Whether nodes may run that this one has not heard of yet.
bool node_count_estimate::may_be_incomplete(core::time_point now) const
{
    return m_seen.empty() || is_discovering(now);
}

node_count node_count_estimate::counted() const
{
    return {1 + m_seen.size(), 1 + m_seen_in_region};
}

policy::node_share node_count_estimate::share_of_fleet(core::time_point now) const
{
    if (may_be_incomplete(now))
        return {};
    return policy::node_share{unknown_nodes + std::max(counted().in_fleet, m_told_in_fleet.nodes)};
}

policy::node_share node_count_estimate::share_of_region(core::time_point now) const
{
    if (may_be_incomplete(now))
        return {};
    return policy::node_share{unknown_nodes + known_in_region()};
}

policy::node_share node_count_estimate::share_of_quotas(bool is_alone, core::time_point now) const
{
    if (m_seen.empty())
        return is_alone ? policy::node_share{1} : policy::node_share{};
    const bool is_settling =
        now < m_started + min_quota_discovery || now < m_grown_at + quota_settling_time;
    if (is_discovering(now) && is_settling)
        return {};
    std::map<core::zone_id, std::size_t> by_zone{{m_zone, 1}};
    for (const auto& [peer, seen] : m_seen)
    {
        ++by_zone[seen.zone];
    }
    std::size_t largest = 1;
    for (const auto& [zone, count] : by_zone)
    {
        largest = std::max(largest, count);
    }
    const std::size_t unseen = m_zone_count - std::min(m_zone_count, by_zone.size());
    return policy::node_share{
        std::max(counted().in_fleet + unseen * largest, m_told_in_fleet.nodes)};
}

std::size_t node_count_estimate::known_in_region() const
{
    return std::max(counted().in_region, m_told_in_region.nodes);
}

node_count node_count_estimate::to_tell(core::time_point now) const
{
    return may_be_incomplete(now) ? node_count{} : counted();
}

std::vector<core::address> node_count_estimate::seen_in_region() const
{
    std::vector<core::address> nodes;
    for (const auto& [peer, seen] : m_seen)
    {
        if (seen.region == m_region)
            nodes.push_back(peer);
    }
    return nodes;
}

} // namespace snipeplank::serving
