/// @file
/// Member updates that wait to travel with gossip.

#ifndef SNIPEPLANK_FLEET_DETAIL_UPDATE_QUEUE_HPP
#define SNIPEPLANK_FLEET_DETAIL_UPDATE_QUEUE_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/messages.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace snipeplank::fleet::detail
{

/// @brief Updates ordered for sending: least sent first, then newest.
class update_queue
{
  public:
    /// @brief Replaces what is queued about the same incarnation.
    void put(const member_update& update, core::time_point now);

    /// @brief Drops the queued suspicions, after this node's own link turned out to be at fault.
    void drop_suspicions();

    /// @brief Updates of at most `budget` bytes; each is forgotten after `max_sends` takes.
    std::vector<member_update> take(std::size_t budget, unsigned max_sends);

    std::size_t size() const { return m_slots.size(); }

  private:
    struct slot
    {
        member_update update;
        unsigned sent = 0;
        core::time_point changed;
    };

    std::map<core::node_id, slot> m_slots;
};

} // namespace snipeplank::fleet::detail

#endif
