/// @file
/// The newest changes of the published state that other nodes have named. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_TOLD_CHANGES_HPP
#define SNIPEPLANK_SERVING_SRC_TOLD_CHANGES_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/state_kind.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace snipeplank::serving
{

/// @brief What each live node has named last. Not thread-safe.
///
/// Only what a live node names counts: it can be asked for what it has named. A change that nobody
/// has any more can't be read while the store is away, and would keep this node from serving.
class told_changes
{
  public:
    /// @brief Records what a node has named; an older change than before is ignored, unless the
    /// node has started anew: it may not have what its former process had.
    void on_told(const core::node_id& node, state_kind kind, store_revision change)
    {
        told& known = m_changes[{node.address, kind}];
        if (node.incarnation > known.by)
            known = {node.incarnation, change};
        else if (node.incarnation == known.by)
            known.change = std::max(known.change, change);
    }

    /// @brief Forgets what other nodes than these have named. O(changes).
    void keep(const std::set<core::address>& nodes)
    {
        std::erase_if(m_changes,
                      [&](const auto& each) { return !nodes.contains(each.first.first); });
    }

    /// @brief The newest change of a kind that a node has named. O(changes).
    store_revision newest(state_kind kind) const
    {
        store_revision newest;
        for (const auto& [source, known] : m_changes)
        {
            if (source.second == kind)
                newest = std::max(newest, known.change);
        }
        return newest;
    }

  private:
    struct told
    {
        core::incarnation by;
        store_revision change;
    };

    std::map<std::pair<core::address, state_kind>, told> m_changes;
};

} // namespace snipeplank::serving

#endif
