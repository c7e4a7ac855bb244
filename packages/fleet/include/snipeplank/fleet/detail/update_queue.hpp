/// @file
/// Queue of member updates that are piggybacked on gossip messages.

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
    /// @brief Queues `update`; replaces a queued update of the same incarnation.
    void put(const member_update& update, core::time_point now);

    /// @brief Drops the queued suspicions, because this node's own link is suspected.
    void drop_suspicions();

    /// @brief Returns updates of at most `budget` bytes; removes those sent `max_sends` times.
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
