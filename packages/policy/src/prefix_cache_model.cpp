#include <snipeplank/policy/prefix_cache_model.hpp>

namespace snipeplank::policy
{

void prefix_cache_model::set_capacity(double tokens)
{
    m_capacity = tokens;
    evict();
}

void prefix_cache_model::add(const std::string& part, double tokens)
{
    if (const auto known = m_index.find(part); known != m_index.end())
    {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front({part, tokens});
    m_index[part] = m_entries.begin();
    m_tokens += tokens;
    evict();
}

void prefix_cache_model::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

void prefix_cache_model::evict()
{
    while (m_tokens > m_capacity && !m_entries.empty())
    {
        m_tokens -= m_entries.back().tokens;
        m_index.erase(m_entries.back().part);
        m_entries.pop_back();
    }
}

} // namespace snipeplank::policy
