#include <snipeplank/policy/leaving_list.hpp>

#include <algorithm>

namespace snipeplank::policy
{

void leaving_list::mark(const core::address& upstream, core::time_point now)
{
    core::time_point& marked = m_marked[upstream];
    marked = std::max(marked, now);
}

bool leaving_list::is_leaving(const core::address& upstream, core::time_point now) const
{
    const auto found = m_marked.find(upstream);
    return found != m_marked.end() && now < found->second + mark_lifetime;
}

void leaving_list::expire(core::time_point now)
{
    std::erase_if(m_marked, [&](const auto& entry) { return now >= entry.second + mark_lifetime; });
}

} // namespace snipeplank::policy
