/// @file
/// A node's copy of the published items, updated from reads, watches and copies of other nodes.
/// Pure.

#ifndef SNIPEPLANK_SERVING_REPLICA_HPP
#define SNIPEPLANK_SERVING_REPLICA_HPP

#include <snipeplank/core/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
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

/// @brief A change of one item; no value means that the item was removed.
struct replica_event
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// @brief Changes of a replica, for a replica that follows it.
struct replica_changes
{
    /// Every item, when the follower's position is not known any more.
    bool is_complete = false;
    std::vector<replica_event> events;
    std::uint64_t as_of = 0;    ///< revision of the store
    std::uint64_t position = 0; ///< where the next changes begin
};

/// @brief Copy of the published items in which no item reverts to an older revision.
///
/// Items that disappear while the store is unreachable, or shortly after, may only have expired
/// because their owners could not renew them. The owners write them again once they reach the
/// store, so such a removal takes effect after a grace time.
class replica
{
  public:
    /// Owners of live items renew them within 2 s after the store is reachable again.
    static constexpr core::milliseconds recovery_grace{2'200};

    /// @brief Applies a full read as of a revision. Ignored when older than the current state.
    /// @return whether the items changed
    bool on_snapshot(const replica_items& items, std::uint64_t as_of, core::time_point now);

    /// @brief Applies changes up to a revision.
    /// @return whether the items changed
    bool on_events(const std::vector<replica_event>& events, std::uint64_t as_of,
                   core::time_point now);

    /// @brief Records that a read failed.
    void on_unreachable(core::time_point now);

    /// @brief Records that a read succeeded.
    void on_reachable(core::time_point now);

    /// @brief Removes items whose grace time has passed.
    /// @return whether the items changed
    bool on_tick(core::time_point now);

    /// @brief Changes after a position that an earlier call returned; 0 for all items.
    /// O(items + removals kept).
    replica_changes changes_since(std::uint64_t position) const;

    /// @brief Applies the changes of a replica that this one follows.
    /// @return whether the items changed
    bool on_changes(const replica_changes& changes, core::time_point now);

    const replica_items& items() const { return m_items; }
    std::uint64_t as_of() const { return m_as_of; }
    bool is_known() const { return m_is_known; }
    bool is_reachable() const { return m_is_reachable; }

    /// @brief When the store last became reachable again; the epoch when it never was unreachable.
    core::time_point recovered_at() const { return m_recovered_at; }

  private:
    bool remove(const std::string& key, std::uint64_t revision, core::time_point now);
    bool may_have_expired(core::time_point now) const;
    bool store(const std::string& key, const replica_item& item);
    void erase(const std::string& key, std::uint64_t revision);

    /// Removals kept for followers; a follower that is further behind receives every item.
    static constexpr std::size_t max_removals = 1'024;

    struct removal
    {
        std::uint64_t revision = 0;
        std::uint64_t position = 0;
    };

    replica_items m_items;
    std::map<std::string, std::uint64_t> m_positions; ///< of the last change of each item
    std::map<std::string, removal> m_removals;
    std::uint64_t m_position = 0;
    std::uint64_t m_first_position = 0; ///< removals up to here are not kept
    std::map<std::string, core::time_point> m_pending_removals; ///< when they take effect
    std::uint64_t m_as_of = 0;
    core::time_point m_recovered_at{};
    bool m_is_known = false;
    bool m_is_reachable = true;
};

} // namespace snipeplank::serving

#endif
