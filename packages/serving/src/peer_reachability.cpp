#include "peer_reachability.hpp"

#include <algorithm>

namespace snipeplank::serving
{

void peer_reachability::on_connection_lost(const core::address& peer, core::time_point now)
{
    m_unreachable.try_emplace(peer, now);
}

void peer_reachability::on_connect_failed(const core::address& peer, core::time_point now)
{
    m_unreachable.try_emplace(peer, now + probe_interval);
}

bool peer_reachability::on_received(const core::address& peer)
{
    return m_unreachable.erase(peer) > 0;
}

void peer_reachability::forget(const core::address& peer)
{
    m_unreachable.erase(peer);
}

std::vector<core::address> peer_reachability::unreachable() const
{
    std::vector<core::address> peers;
    peers.reserve(m_unreachable.size());
    for (const auto& [peer, next_probe] : m_unreachable)
    {
        peers.push_back(peer);
    }
    return peers;
}

std::vector<core::address> peer_reachability::take_due(core::time_point now)
{
    std::vector<std::map<core::address, core::time_point>::iterator> due;
    for (auto each = m_unreachable.begin(); each != m_unreachable.end(); ++each)
    {
        if (each->second <= now)
            due.push_back(each);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const auto& a, const auto& b) { return a->second < b->second; });
    due.resize(std::min(due.size(), max_probes_per_call));
    std::vector<core::address> peers;
    for (const auto& each : due)
    {
        each->second = now + probe_interval;
        peers.push_back(each->first);
    }
    return peers;
}

} // namespace snipeplank::serving
