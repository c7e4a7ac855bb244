#include <snipeplank/policy/prefix_memory.hpp>

namespace snipeplank::policy
{

void prefix_memory::set_capacity(double tokens)
{
    m_capacity = tokens;
    evict();
}

void prefix_memory::add(const std::string& part, double tokens)
{
    if (const auto known = m_index.find(part); known != m_index.end())
    {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front({part, tokens});
    m_index[part] = m_entries.begin();
    m_held += tokens;
    evict();
}

void prefix_memory::clear()
{
    m_entries.clear();
    m_index.clear();
    m_held = 0;
}

void prefix_memory::evict()
{
    while (m_held > m_capacity && !m_entries.empty())
    {
        m_held -= m_entries.back().tokens;
        m_index.erase(m_entries.back().part);
        m_entries.pop_back();
    }
}

} // namespace snipeplank::policy
