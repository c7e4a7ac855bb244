/// @file
/// A node's copy of the published items, updated from reads, watches and copies of other nodes.
/// Pure.

#ifndef SNIPEPLANK_SERVING_REPLICA_HPP
#define SNIPEPLANK_SERVING_REPLICA_HPP

#include <snipeplank/core/units.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::serving
{

/// @brief A published value with the revision of its last change.
struct replica_item
{
    std::string value;
    std::uint64_t revision = 0;

    friend bool operator==(const replica_item&, const replica_item&) = default;
};

using replica_items = std::map<std::string, replica_item>;

/// @brief Which state of the store a copy has. Revisions are given out again in each era: it begins
/// when the store comes back from an older copy of itself.
struct store_revision
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

/// @brief Order of the values that an owner wrote for one key, also across eras.
struct value_version
{
    std::uint64_t run = 0;    ///< start of the owner's process
    std::uint64_t number = 0; ///< rises with each value of a run

    friend auto operator<=>(const value_version&, const value_version&) = default;
};

/// @brief Reads the version of a value; the lowest one when it has none.
using version_reader =
    std::function<value_version(const std::string& key, const std::string& value)>;

/// @brief A change of one item; no value means that the item was removed.
struct replica_event
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// @brief A removal that is known but takes effect later.
struct pending_removal
{
    std::string key;
    std::uint64_t revision = 0;      ///< of the removal
    core::milliseconds remaining{0}; ///< until it takes effect
};

/// @brief Changes of a replica, for a replica that follows it.
struct replica_changes
{
    /// Every item, when the follower's position is not known any more.
    bool is_complete = false;
    std::vector<replica_event> events;
    std::uint64_t as_of = 0;    ///< revision of the store
    std::uint64_t position = 0; ///< where the next changes begin
    std::uint64_t era = 0;      ///< of the store
    /// Every pending removal, whatever the follower's position.
    std::vector<pending_removal> pending = {};
};

/// @brief Copy of the published items in which no item reverts to an older revision.
///
/// Items that disappear during an outage of the store, or shortly after, may only have expired
/// because their owners could not renew them. The owners write them again once they reach the
/// store, so such a removal takes effect after a grace time. It is bounded: reads that fail later
/// move it by `max_removal_delay` at most.
///
/// A store that comes back from an older copy has lost what was written since, until its owners
/// write it again. What this copy knows of a key, a value or its removal, stands until the store
/// has a newer version of it; what the store does not list is kept for `max_removal_delay`.
class replica
{
  public:
    /// Owners of live items renew them within 2 s after the store is reachable again.
    static constexpr core::milliseconds recovery_grace{2'200};
    /// Without an answer of the store for less than this, no live item expires: an item outlives
    /// two missed renewals, which are 1.2 s apart.
    static constexpr core::milliseconds min_outage{2'400};
    /// Longest time from the receipt of a removal until it takes effect.
    static constexpr core::milliseconds max_removal_delay{6'000};

    /// @param version_of reads the versions that order the values of different eras
    explicit replica(version_reader version_of = nullptr) : m_version_of(std::move(version_of)) {}

    /// @brief Applies a full read of the store as of a revision. Ignored when older than the
    /// current state.
    /// @return whether the items changed
    bool on_snapshot(const replica_items& items, std::uint64_t as_of, core::time_point now,
                     std::uint64_t era = 0);

    /// @brief Applies changes that the store reported in this state's era, up to a revision.
    /// @return whether the items changed
    bool on_events(const std::vector<replica_event>& events, std::uint64_t as_of,
                   core::time_point now);

    /// @brief Records that a read failed.
    void on_unreachable(core::time_point now);

    /// @brief Records that a read succeeded; called before its result is applied.
    void on_reachable(core::time_point now);

    /// @brief Records that the store answered another node at this time.
    void on_answered_elsewhere(core::time_point at);

    /// @brief Removes items whose grace time has passed.
    /// @return whether the items changed
    bool on_tick(core::time_point now);

    /// @brief Changes after a position that an earlier call returned; 0 for all items.
    /// O(items + removals kept).
    replica_changes changes_since(std::uint64_t position, core::time_point now) const;

    /// @brief Applies the changes of a replica that this one follows, older ones too. A removal
    /// takes effect when it does there.
    /// @return whether the items changed
    bool on_changes(const replica_changes& changes, core::time_point now);

    const replica_items& items() const { return m_items; }
    std::uint64_t as_of() const { return m_as_of; }
    store_revision revision() const { return {m_era, m_as_of}; }

    /// @brief The newest change that is known, which `revision` may be past.
    store_revision changed() const { return {m_era, m_changed}; }
    bool is_known() const { return m_is_known; }
    bool is_reachable() const { return m_is_reachable; }

  private:
    /// A removal that takes effect later, unless the item is written again.
    struct held_removal
    {
        std::uint64_t revision = 0;
        core::time_point at{};
        core::time_point latest{}; ///< limit for `at`
    };

    value_version version_of(const std::string& key, const std::string& value) const;
    bool adopt_era(const replica_items& items, store_revision as_of, core::time_point now);
    bool adopt_listed_item(const std::string& key, const replica_item& item);
    bool remove_held();
    void forget_positions();
    bool remove(const std::string& key, std::uint64_t revision, core::time_point now);
    bool remove_now(const std::string& key, std::uint64_t revision);
    void hold(const std::string& key, const held_removal& removal);
    bool store(const std::string& key, const replica_item& item);
    bool store_unless_removed(const std::string& key, const replica_item& item);
    bool remove_missing(const replica_changes& list);
    void erase(const std::string& key, std::uint64_t revision);
    bool is_outage(core::time_point now) const;

    /// Removals kept for followers; a follower that is further behind receives every item.
    static constexpr std::size_t max_removals = 1'024;

    struct removal
    {
        std::uint64_t revision = 0;
        std::uint64_t position = 0;
        value_version version; ///< of the value that was removed
    };

    version_reader m_version_of;
    replica_items m_items;
    std::map<std::string, std::uint64_t> m_positions; ///< of the last change of each item
    std::map<std::string, removal> m_removals;
    std::uint64_t m_position = 0;
    std::uint64_t m_first_position = 0; ///< removals up to here are not kept
    std::map<std::string, held_removal> m_held;
    std::uint64_t m_as_of = 0;
    std::uint64_t m_changed = 0; ///< revision of the newest change
    std::uint64_t m_era = 0;
    std::uint64_t m_era_base = 0;     ///< revision as of which this era's list was taken over
    core::time_point m_answered_at{}; ///< when the store last answered any node, as far as known
    core::time_point m_grace_until{}; ///< end of the grace time after an outage
    bool m_is_known = false;
    bool m_is_reachable = true;
};

} // namespace snipeplank::serving

#endif
