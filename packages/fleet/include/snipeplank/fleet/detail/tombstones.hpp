/// @file
/// Incarnations in a final state: leaving or dead.

#ifndef SNIPEPLANK_FLEET_DETAIL_TOMBSTONES_HPP
#define SNIPEPLANK_FLEET_DETAIL_TOMBSTONES_HPP

#include <snipeplank/core/ids.hpp>

#include <cstddef>
#include <deque>
#include <set>

namespace snipeplank::fleet::detail
{

/// @brief A bounded set of incarnations in a final state; the oldest is evicted first.
class tombstones
{
  public:
    /// A region of 38 nodes loses about 20 incarnations a day, so entries last for months.
    static constexpr std::size_t capacity = 4'096;

    /// @brief Adds `id`. O(log n).
    void add(const core::node_id& id)
    {
        if (!m_members.insert(id).second)
            return;
        m_order.push_back(id);
        if (m_order.size() <= capacity)
            return;
        m_members.erase(m_order.front());
        m_order.pop_front();
    }

    /// @brief Whether `id` is leaving or dead. O(log n).
    bool contains(const core::node_id& id) const { return m_members.contains(id); }

  private:
    std::set<core::node_id> m_members;
    std::deque<core::node_id> m_order;
};

} // namespace snipeplank::fleet::detail

#endif
