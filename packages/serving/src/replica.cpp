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
    m_items.erase(found);
    return true;
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
        m_pending_removals.erase(key);
        replica_item& known = m_items[key];
        if (known.revision >= item.revision)
            continue;
        known = item;
        changed = true;
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
        m_pending_removals.erase(event.key);
        replica_item& known = m_items[event.key];
        if (known.revision >= event.revision)
            continue;
        known = {*event.value, event.revision};
        changed = true;
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
        changed = m_items.erase(each->first) > 0 || changed;
        each = m_pending_removals.erase(each);
    }
    return changed;
}

} // namespace snipeplank::serving
