#include <standins/engine/batch.hpp>

#include <chrono>

namespace snipeplank::standins
{

batch::slot batch::enter(int priority, const std::function<bool()>& is_cancelled)
{
    constexpr std::chrono::milliseconds poll_interval{5};
    std::unique_lock lock(m_mutex);
    const auto place = m_waiting.emplace(priority, m_arrivals++).first;
    m_changed(m_running, m_waiting.size());
    while (m_running >= m_slots || m_waiting.begin() != place)
    {
        m_freed.wait_for(lock, poll_interval);
        if (is_cancelled())
        {
            m_waiting.erase(place);
            m_changed(m_running, m_waiting.size());
            m_freed.notify_all();
            return nullptr;
        }
    }
    m_waiting.erase(place);
    ++m_running;
    m_changed(m_running, m_waiting.size());
    m_freed.notify_all();
    return {this, [](batch* owner) { owner->leave(); }};
}

void batch::leave()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_changed(m_running, m_waiting.size());
    m_freed.notify_all();
}

} // namespace snipeplank::standins
