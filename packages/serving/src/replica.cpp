#include <snipeplank/serving/replica.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace snipeplank::serving
{

namespace
{

replica_items items_of(const replica_changes& list)
{
    replica_items items;
    for (const replica_event& event : list.events)
    {
        if (event.value)
            items[event.key] = {*event.value, event.revision};
    }
    return items;
}

} // namespace

value_version replica::version_of(const std::string& key, const std::string& value) const
{
    return m_version_of ? m_version_of(key, value) : value_version{};
}

/// Takes over the list of a store that came back from an older copy, or of a node that did so.
bool replica::adopt_era(const replica_items& items, store_revision as_of, core::time_point now)
{
    m_era = as_of.era;
    m_as_of = as_of.revision;
    m_changed = as_of.revision;
    m_era_base = as_of.revision;
    bool changed = remove_held();
    forget_positions();
    for (auto& [key, item] : m_items)
    {
        item.revision = 0;
    }
    for (const auto& [key, item] : items)
    {
        changed = adopt_listed_item(key, item) || changed;
    }
    for (auto& [key, item] : m_items)
    {
        if (!items.contains(key))
            hold(key, {m_as_of, now + max_removal_delay, now + max_removal_delay});
    }
    for (auto& [key, removed] : m_removals)
    {
        const auto listed = items.find(key);
        removed.revision = listed == items.end() ? m_as_of : listed->second.revision;
    }
    return changed;
}

/// Removes what is held back: an entry that lives is written again with a newer version.
bool replica::remove_held()
{
    const auto held = std::exchange(m_held, {});
    for (const auto& [key, removal] : held)
    {
        if (m_items.contains(key))
            erase(key, removal.revision);
    }
    return !held.empty();
}

/// Decides between what is known of a key and what the new era lists: the newer version stands.
bool replica::adopt_listed_item(const std::string& key, const replica_item& item)
{
    const value_version listed = version_of(key, item.value);
    const auto removed = m_removals.find(key);
    // Nothing orders a value without a version and its removal: the list stands.
    const bool is_ordered = listed != value_version{};
    if (removed != m_removals.end() && is_ordered && listed <= removed->second.version)
        return false;
    const auto known = m_items.find(key);
    if (known != m_items.end() && listed <= version_of(key, known->second.value))
    {
        known->second.revision = std::max(known->second.revision, item.revision);
        return false;
    }
    m_items[key] = item;
    m_changed = std::max(m_changed, item.revision);
    m_removals.erase(key);
    m_positions[key] = ++m_position;
    return true;
}

/// Makes every follower ask for all items.
void replica::forget_positions()
{
    m_first_position = ++m_position;
}

/// Applies a removal that the store reported to this node.
bool replica::remove(const std::string& key, std::uint64_t revision, core::time_point now)
{
    if (now >= m_grace_until)
        return remove_now(key, revision);
    const auto found = m_items.find(key);
    if (found != m_items.end() && found->second.revision <= revision)
        hold(key, {revision, m_grace_until, now + max_removal_delay});
    return false;
}

bool replica::remove_now(const std::string& key, std::uint64_t revision)
{
    const auto found = m_items.find(key);
    if (found == m_items.end() || found->second.revision > revision)
        return false;
    m_held.erase(key);
    erase(key, revision);
    return true;
}

void replica::hold(const std::string& key, const held_removal& removal)
{
    const auto [held, is_new] = m_held.try_emplace(key, removal);
    if (is_new)
        return;
    held->second.revision = std::max(held->second.revision, removal.revision);
    held->second.at = std::min(held->second.at, removal.at);
    held->second.latest = std::min(held->second.latest, removal.latest);
}

bool replica::store(const std::string& key, const replica_item& item)
{
    if (const auto held = m_held.find(key);
        held != m_held.end() && held->second.revision < item.revision)
        m_held.erase(held);
    const auto before = m_items.find(key);
    if (before != m_items.end() && item.revision <= m_era_base)
        return adopt_listed_item(key, item);
    replica_item& known = m_items[key];
    if (known.revision >= item.revision)
        return false;
    known = item;
    m_changed = std::max(m_changed, item.revision);
    m_removals.erase(key);
    m_positions[key] = ++m_position;
    return true;
}

/// Stores an item of an answer that may be older than this state. An item that is not known here
/// although it was written before the revision of this state has been removed since.
bool replica::store_unless_removed(const std::string& key, const replica_item& item)
{
    return (m_items.contains(key) || item.revision > m_as_of) && store(key, item);
}

void replica::erase(const std::string& key, std::uint64_t revision)
{
    const auto erased = m_items.extract(key);
    m_changed = std::max(m_changed, revision);
    m_positions.erase(key);
    m_removals[key] = {revision, ++m_position, version_of(key, erased.mapped().value)};
    if (m_removals.size() <= max_removals)
        return;
    const auto oldest = std::min_element(m_removals.begin(), m_removals.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.second.position < b.second.position; });
    m_first_position = oldest->second.position;
    m_removals.erase(oldest);
}

replica_changes replica::changes_since(std::uint64_t position, core::time_point now) const
{
    replica_changes changes;
    changes.is_complete = position == 0 || position < m_first_position;
    changes.as_of = m_as_of;
    changes.position = m_position;
    changes.era = m_era;
    for (const auto& [key, item] : m_items)
    {
        if (changes.is_complete || m_positions.at(key) > position)
            changes.events.push_back({key, item.value, item.revision});
    }
    for (const auto& [key, held] : m_held)
    {
        const auto remaining = std::chrono::duration_cast<core::milliseconds>(held.at - now);
        changes.pending.push_back({key, held.revision, std::max(remaining, core::milliseconds{0})});
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
    if (changes.era < m_era || (changes.era > m_era && !changes.is_complete))
        return false;
    bool changed = false;
    if (changes.is_complete)
        changed = !std::exchange(m_is_known, true);
    if (changes.era > m_era)
        changed = adopt_era(items_of(changes), {changes.era, changes.as_of}, now) || changed;
    else if (changes.is_complete)
        changed = remove_missing(changes) || changed;
    for (const replica_event& event : changes.events)
    {
        const bool is_applied =
            event.value ? store_unless_removed(event.key, {*event.value, event.revision})
                        : remove_now(event.key, event.revision);
        changed = is_applied || changed;
    }
    for (const pending_removal& each : changes.pending)
    {
        const auto found = m_items.find(each.key);
        const core::time_point at = now + std::min(each.remaining, max_removal_delay);
        if (found != m_items.end() && found->second.revision <= each.revision)
            hold(each.key, {each.revision, at, at});
    }
    m_as_of = std::max(m_as_of, changes.as_of);
    return changed;
}

/// Removes the items that a complete list of another node lacks.
bool replica::remove_missing(const replica_changes& list)
{
    std::set<std::string_view> listed;
    for (const replica_event& event : list.events)
    {
        listed.insert(event.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items)
    {
        if (!listed.contains(key))
            missing.push_back(key);
    }
    bool changed = false;
    for (const std::string& key : missing)
    {
        changed = remove_now(key, list.as_of) || changed;
    }
    return changed;
}

bool replica::on_snapshot(const replica_items& items, std::uint64_t as_of, core::time_point now,
                          std::uint64_t era)
{
    if (m_is_known && store_revision{era, as_of} < revision())
        return false;
    bool changed = !std::exchange(m_is_known, true);
    if (era > m_era)
        return adopt_era(items, {era, as_of}, now) || changed;
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
        const auto removed = m_removals.find(key);
        const bool was_removed =
            removed != m_removals.end() && removed->second.revision >= item.revision;
        changed = (!was_removed && store(key, item)) || changed;
    }
    return changed;
}

bool replica::on_events(const std::vector<replica_event>& events, std::uint64_t as_of,
                        core::time_point now)
{
    bool changed = false;
    for (const replica_event& event : events)
    {
        const bool is_applied =
            event.value ? store_unless_removed(event.key, {*event.value, event.revision})
                        : remove(event.key, event.revision, now);
        changed = is_applied || changed;
    }
    m_as_of = std::max(m_as_of, as_of);
    return changed;
}

void replica::on_unreachable(core::time_point now)
{
    m_is_reachable = false;
    if (m_answered_at == core::time_point{})
        m_answered_at = now;
}

void replica::on_reachable(core::time_point now)
{
    const bool is_end_of_outage = is_outage(now);
    m_is_reachable = true;
    m_answered_at = std::max(m_answered_at, now);
    if (!is_end_of_outage)
        return;
    m_grace_until = now + recovery_grace;
    for (auto& [key, held] : m_held)
    {
        held.at = std::min(held.latest, std::max(held.at, m_grace_until));
    }
}

void replica::on_answered_elsewhere(core::time_point at)
{
    m_answered_at = std::max(m_answered_at, at);
}

/// Whether the store has not answered for so long that live items may have expired.
bool replica::is_outage(core::time_point now) const
{
    return !m_is_reachable && now - m_answered_at >= min_outage;
}

bool replica::on_tick(core::time_point now)
{
    const bool is_postponed = is_outage(now);
    std::vector<std::pair<std::string, std::uint64_t>> due;
    for (const auto& [key, held] : m_held)
    {
        if (now >= (is_postponed ? held.latest : held.at))
            due.emplace_back(key, held.revision);
    }
    bool changed = false;
    for (const auto& [key, revision] : due)
    {
        m_held.erase(key);
        changed = remove_now(key, revision) || changed;
    }
    return changed;
}

} // namespace snipeplank::serving
