#include <standins/platform/host_list.hpp>

#include <utility>

namespace snipeplank::standins
{

host_list::host_list()
{
    m_history.push_back({std::chrono::steady_clock::now(), nlohmann::json::array()});
}

void host_list::set(nlohmann::json hosts)
{
    const std::lock_guard lock(m_mutex);
    m_history.push_back({std::chrono::steady_clock::now(), std::move(hosts)});
}

void host_list::set_fault(const host_list_fault& fault)
{
    const std::lock_guard lock(m_mutex);
    if (fault.frozen && !m_fault.frozen)
    {
        m_frozen_position = m_history.size() - 1;
    }
    m_fault = fault;
}

nlohmann::json host_list::visible() const
{
    const std::lock_guard lock(m_mutex);
    const std::size_t position = visible_position();
    return {{"index", position}, {"hosts", m_history[position].hosts}};
}

nlohmann::json host_list::directory() const
{
    const nlohmann::json list = visible();
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& host : list["hosts"])
    {
        if (host.value("kind", "") == "entry" && host.value("state", "") == "live")
        {
            entries.push_back(host);
        }
    }
    return {{"index", list["index"]}, {"hosts", entries}};
}

std::size_t host_list::visible_position() const
{
    std::size_t position = m_fault.frozen ? m_frozen_position : m_history.size() - 1;
    const auto newest = std::chrono::steady_clock::now() - m_fault.lag;
    while (position > 0 && m_history[position].at > newest)
    {
        --position;
    }
    return m_fault.reversed && position > 0 ? position - 1 : position;
}

} // namespace snipeplank::standins
