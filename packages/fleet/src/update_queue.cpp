#include <snipeplank/fleet/detail/update_queue.hpp>

#include <algorithm>

namespace snipeplank::fleet::detail
{

void update_queue::put(const member_update& update, core::time_point now)
{
    m_slots[update.id] = {update, 0, now};
}

void update_queue::drop_suspicions()
{
    std::erase_if(m_slots, [](const auto& entry)
                  { return entry.second.update.state == member_state::suspected; });
}

std::vector<member_update> update_queue::take(std::size_t budget, unsigned max_sends)
{
    std::vector<slot*> order;
    order.reserve(m_slots.size());
    for (auto& [id, waiting] : m_slots)
        order.push_back(&waiting);
    std::sort(order.begin(), order.end(),
              [](const slot* a, const slot* b)
              { return a->sent != b->sent ? a->sent < b->sent : a->changed > b->changed; });
    std::vector<member_update> taken;
    for (slot* waiting : order)
    {
        const std::size_t size = estimated_size(waiting->update);
        if (size > budget)
            break;
        budget -= size;
        ++waiting->sent;
        taken.push_back(waiting->update);
    }
    std::erase_if(m_slots,
                  [max_sends](const auto& entry) { return entry.second.sent >= max_sends; });
    return taken;
}

} // namespace snipeplank::fleet::detail
