/// @file
/// A node's copy of published items, kept from reads, watches and other nodes' copies. Pure.

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

/// @brief One item as it was written.
struct replica_item
{
    std::string value;
    std::uint64_t revision = 0; ///< of its last change

    friend bool operator==(const replica_item&, const replica_item&) = default;
};

using replica_items = std::map<std::string, replica_item>;

/// @brief One change; without a value the item was removed.
struct replica_event
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// @brief Keeps items so that nothing ever goes back to an older state.
///
/// Items that vanish while the store is away or just back may only have expired there: their
/// owners put them back once they reach the store, so a removal takes effect after a grace time.
class replica
{
  public:
    /// Owners of live items are back at the store within 2 s of its return.
    static constexpr core::milliseconds return_grace{2'200};

    /// @brief All items as of a revision. Ignored when older than what is known.
    /// @return whether the items changed
    bool on_snapshot(const replica_items& items, std::uint64_t as_of, core::time_point now);

    /// @brief Changes up to a revision.
    bool on_events(const std::vector<replica_event>& events, std::uint64_t as_of,
                   core::time_point now);

    /// @brief A read failed.
    void on_unreachable(core::time_point now);

    /// @brief A read succeeded.
    void on_reachable(core::time_point now);

    /// @brief Removes items whose grace time has passed.
    bool on_tick(core::time_point now);

    const replica_items& items() const { return m_items; }
    std::uint64_t as_of() const { return m_as_of; }
    bool is_known() const { return m_is_known; }
    bool is_reachable() const { return m_is_reachable; }

    /// @brief When the store came back; the epoch when it never was away.
    core::time_point returned_at() const { return m_returned; }

  private:
    bool remove(const std::string& key, std::uint64_t revision, core::time_point now);
    bool may_have_lapsed(core::time_point now) const;

    replica_items m_items;
    std::map<std::string, core::time_point> m_doomed; ///< when the removal takes effect
    std::uint64_t m_as_of = 0;
    core::time_point m_returned{};
    bool m_is_known = false;
    bool m_is_reachable = true;
};

} // namespace snipeplank::serving

#endif
