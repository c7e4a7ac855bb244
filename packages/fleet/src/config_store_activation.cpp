#include <snipeplank/fleet/config_store.hpp>

#include <algorithm>

namespace snipeplank::fleet
{

namespace
{

/// Number of former contents retained as bases of deltas, for peers that are a few versions behind.
constexpr std::size_t retained_versions = 8;
constexpr std::size_t items_per_request = 16;
constexpr std::size_t peers_asked_at_start = 3;
constexpr unsigned peer_tries = 2;

} // namespace

void config_store::drop_stale_candidates(core::time_point now)
{
    std::erase_if(m_candidates,
                  [now](const auto& entry)
                  {
                      const candidate& wanted = entry.second;
                      return wanted.config == nullptr && now - wanted.progress > candidate_lifetime;
                  });
}

bool config_store::has_start_sources(core::time_point now) const
{
    const bool peers = m_answered_peers.size() >= peers_asked_at_start;
    const bool any = !m_answered_peers.empty() || m_reads.answered();
    if (peers && m_reads.answered())
        return true;
    return any && now - m_started >= start_wait;
}

/// Considers complete contents only. A content in force at a peer wins, then the lower hash.
const config_store::candidate_key* config_store::best_of_version(core::config_version version) const
{
    const candidate_map::value_type* best = nullptr;
    for (const auto& entry : m_candidates)
    {
        if (entry.first.first != version || entry.second.config == nullptr)
            continue;
        if (best == nullptr || (entry.second.in_force_at_peer && !best->second.in_force_at_peer))
            best = &entry;
    }
    return best == nullptr ? nullptr : &best->first;
}

bool config_store::is_due_at_start(const candidate_key& key, core::time_point now) const
{
    if (!has_start_sources(now))
        return false;
    const core::config_version highest = m_candidates.rbegin()->first.first;
    if (key.first != highest && now - m_started < start_timeout)
        return false;
    return m_candidates.at(key).in_force_at_peer;
}

bool config_store::is_due(const candidate_key& key, core::time_point now) const
{
    if (m_config == nullptr)
    {
        if (is_due_at_start(key, now))
            return true;
        const core::config_version highest = m_candidates.rbegin()->first.first;
        const bool waits = key.first != highest && now - m_started < start_timeout;
        if (!has_start_sources(now) || waits)
            return false;
    }
    core::time_point seen = m_candidates.at(key).first_seen;
    for (const auto& [other, wanted] : m_candidates)
    {
        if (other.first == key.first)
            seen = std::min(seen, wanted.first_seen);
    }
    const core::time_point activation_time = seen + activation_delay;
    if (now < activation_time)
        return false;
    if (now >= activation_time + conflict_wait)
        return true;
    return std::none_of(m_candidates.begin(), m_candidates.end(),
                        [&](const auto& entry)
                        {
                            return entry.first.first == key.first &&
                                   entry.first.second < key.second &&
                                   entry.second.config == nullptr &&
                                   entry.second.first_seen < activation_time;
                        });
}

void config_store::activate_due_version(core::time_point now)
{
    std::set<core::config_version, std::greater<>> versions;
    for (const auto& [key, wanted] : m_candidates)
        versions.insert(key.first);
    for (const core::config_version version : versions)
    {
        const candidate_key* best = best_of_version(version);
        if (best == nullptr || !is_due(*best, now))
            continue;
        put_in_force(candidate_key{*best});
        return;
    }
}

void config_store::put_in_force(const candidate_key& key)
{
    const candidate chosen = m_candidates.at(key);
    m_in_force = {key.first, key.second, true};
    m_config = chosen.config;
    m_history.push_front(*chosen.index);
    if (m_history.size() > retained_versions)
        m_history.pop_back();
    std::erase_if(m_candidates, [&](const auto& entry) { return entry.first.first <= key.first; });
    m_conflicts.clear();
    m_answered_peers.clear();
    remove_unused_texts();
    m_actions.emplace_back(config_in_force{m_in_force, m_config});
}

void config_store::remove_unused_texts()
{
    std::set<std::string> used;
    const auto use = [&used](const settings::manifest& index)
    {
        for (const settings::section_ref& ref : index.sections)
            used.insert(ref.sha256);
    };
    for (const settings::manifest& index : m_history)
        use(index);
    for (const auto& [key, wanted] : m_candidates)
    {
        if (wanted.index)
            use(*wanted.index);
    }
    std::erase_if(m_sections, [&](const auto& entry) { return !used.contains(entry.first); });
    m_retained_manifests.push_front(m_in_force.manifest_hash);
    if (m_retained_manifests.size() > retained_versions)
        m_retained_manifests.pop_back();
    std::erase_if(m_manifests,
                  [&](const auto& entry)
                  {
                      const std::string& hash = entry.first;
                      const bool wanted =
                          std::any_of(m_candidates.begin(), m_candidates.end(),
                                      [&](const auto& item) { return item.first.second == hash; });
                      return !wanted &&
                             std::find(m_retained_manifests.begin(), m_retained_manifests.end(),
                                       hash) == m_retained_manifests.end();
                  });
}

void config_store::fetch_missing(core::time_point now)
{
    std::set<std::string> wanted_hashes;
    for (const auto& [key, wanted] : m_candidates)
    {
        if (wanted.config == nullptr)
            fetch_texts(key, wanted, now);
        for (const config_request::item& item : missing_items(key, wanted))
            wanted_hashes.insert(item.hash);
    }
    std::erase_if(m_fetches,
                  [&](const auto& entry) { return !wanted_hashes.contains(entry.first); });
}

std::vector<config_request::item> config_store::missing_items(const candidate_key& key,
                                                              const candidate& wanted) const
{
    std::vector<config_request::item> items;
    if (wanted.config != nullptr)
        return items;
    if (!wanted.index)
    {
        items.push_back({key.second, m_in_force.manifest_hash});
        return items;
    }
    for (const settings::section_ref& ref : wanted.index->sections)
    {
        if (!m_sections.contains(ref.sha256))
            items.push_back({ref.sha256, base_for(ref.name)});
    }
    return items;
}

std::string config_store::base_for(const std::string& section_name) const
{
    if (m_history.empty())
        return {};
    for (const settings::section_ref& ref : m_history.front().sections)
    {
        if (ref.name == section_name)
            return ref.sha256;
    }
    return {};
}

bool config_store::may_read_service(const candidate& wanted, const fetch& state,
                                    core::time_point now)
{
    // After `peer_tries`, peers and the service alternate, because either may stay unreachable.
    const bool peers_tried =
        wanted.sources.empty() || (state.tries >= peer_tries && state.tries % 2 == 0);
    const bool waited = m_reads.is_watcher() ? now >= wanted.service_after
                                             : now - wanted.first_seen >= service_fallback_delay;
    return peers_tried && waited && m_reads.take_section_read(now);
}

void config_store::fetch_texts(const candidate_key& key, const candidate& wanted,
                               core::time_point now)
{
    std::map<core::address, config_request> requests;
    std::size_t position = 0;
    for (const config_request::item& item : missing_items(key, wanted))
    {
        fetch& state = m_fetches[item.hash];
        if (now < state.until)
            continue;
        if (wanted.index && may_read_service(wanted, state, now))
        {
            state.until = now + fetch_timeout;
            m_actions.emplace_back(read_section{item.hash});
            ++state.tries;
            continue;
        }
        if (!wanted.index && state.tries > peer_tries &&
            now - wanted.first_seen >= service_fallback_delay)
            m_reads.want_manifest(now);
        if (wanted.sources.empty())
            continue;
        // Batches go to different peers, and every retry goes to the next peer.
        const std::size_t turn = position++ / items_per_request + state.tries;
        const core::address& peer = wanted.sources[turn % wanted.sources.size()].peer;
        state.until = now + fetch_timeout;
        state.asked = peer;
        ++state.tries;
        config_request& request = requests[peer];
        request.items.push_back(item);
        if (request.items.size() < items_per_request)
            continue;
        m_actions.emplace_back(send_message{peer, std::move(request)});
        requests.erase(peer);
    }
    for (auto& [peer, request] : requests)
        m_actions.emplace_back(send_message{peer, std::move(request)});
}

} // namespace snipeplank::fleet
