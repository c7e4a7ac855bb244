#include <snipeplank/serving/replica.hpp>

#include <algorithm>

namespace snipeplank::serving
{

bool replica::may_have_expired(core::time_point now) const
{
    return !m_is_reachable ||
           (m_recovered_at != core::time_point{} && now < m_recovered_at + recovery_grace);
}

bool replica::remove(const std::string& key, std::uint64_t revision, core::time_point now)
{
    const auto found = m_items.find(key);
    if (found == m_items.end() || found->second.revision > revision)
        return false;
    if (may_have_expired(now))
    {
        const core::time_point last_recovery = m_is_reachable ? m_recovered_at : now;
        m_pending_removals.try_emplace(key, last_recovery + recovery_grace);
        return false;
    }
    m_pending_removals.erase(key);
    erase(key, revision);
    return true;
}

bool replica::store(const std::string& key, const replica_item& item)
{
    m_pending_removals.erase(key);
    replica_item& known = m_items[key];
    if (known.revision >= item.revision)
        return false;
    known = item;
    m_removals.erase(key);
    m_positions[key] = ++m_position;
    return true;
}

void replica::erase(const std::string& key, std::uint64_t revision)
{
    m_items.erase(key);
    m_positions.erase(key);
    m_removals[key] = {revision, ++m_position};
    if (m_removals.size() <= max_removals)
        return;
    const auto oldest = std::min_element(m_removals.begin(), m_removals.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.second.position < b.second.position; });
    m_first_position = oldest->second.position;
    m_removals.erase(oldest);
}

replica_changes replica::changes_since(std::uint64_t position) const
{
    replica_changes changes;
    changes.is_complete = position == 0 || position < m_first_position;
    changes.as_of = m_as_of;
    changes.position = m_position;
    for (const auto& [key, item] : m_items)
    {
        if (changes.is_complete || m_positions.at(key) > position)
            changes.events.push_back({key, item.value, item.revision});
    }
    if (changes.is_complete)
        return changes;
    for (const auto& [key, removed] : m_removals)
    {
        if (removed.position > position)
            changes.events.push_back({key, std::nullopt, removed.revision});
    }
    return changes;
}

bool replica::on_changes(const replica_changes& changes, core::time_point now)
{
    if (!changes.is_complete)
        return on_events(changes.events, changes.as_of, now);
    replica_items items;
    for (const replica_event& event : changes.events)
    {
        if (event.value)
            items[event.key] = {*event.value, event.revision};
    }
    return on_snapshot(items, changes.as_of, now);
}

bool replica::on_snapshot(const replica_items& items, std::uint64_t as_of, core::time_point now)
{
    if (m_is_known && as_of < m_as_of)
        return false;
    bool changed = !m_is_known;
    m_is_known = true;
    m_as_of = as_of;
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items)
    {
        if (!items.contains(key))
            missing.push_back(key);
    }
    for (const std::string& key : missing)
    {
        changed = remove(key, as_of, now) || changed;
    }
    for (const auto& [key, item] : items)
    {
        changed = store(key, item) || changed;
    }
    return changed;
}

bool replica::on_events(const std::vector<replica_event>& events, std::uint64_t as_of,
                        core::time_point now)
{
    bool changed = false;
    for (const replica_event& event : events)
    {
        if (!event.value)
        {
            changed = remove(event.key, event.revision, now) || changed;
            continue;
        }
        changed = store(event.key, {*event.value, event.revision}) || changed;
    }
    m_as_of = std::max(m_as_of, as_of);
    return changed;
}

void replica::on_unreachable(core::time_point)
{
    m_is_reachable = false;
}

void replica::on_reachable(core::time_point now)
{
    if (m_is_reachable)
        return;
    m_is_reachable = true;
    m_recovered_at = now;
    for (auto& [key, until] : m_pending_removals)
    {
        until = now + recovery_grace;
    }
}

bool replica::on_tick(core::time_point now)
{
    if (!m_is_reachable)
        return false;
    bool changed = false;
    for (auto each = m_pending_removals.begin(); each != m_pending_removals.end();)
    {
        if (now < each->second)
        {
            ++each;
            continue;
        }
        if (m_items.contains(each->first))
        {
            erase(each->first, m_as_of);
            changed = true;
        }
        each = m_pending_removals.erase(each);
    }
    return changed;
}

} // namespace snipeplank::serving
