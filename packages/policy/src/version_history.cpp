#include <snipeplank/policy/stream_origins.hpp>
#include <snipeplank/policy/version_history.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::policy
{

static_assert(version_history::max_memory ==
              version_history::list_lag + stream_origins::max_lifetime);

void version_history::observe(const listed_versions& listed, core::time_point now)
{
    if (!m_began)
        m_began = now;
    for (auto& [service, versions] : m_seen)
    {
        for (auto& [version, seen] : versions)
        {
            if (!std::exchange(seen.is_listed, false))
                continue;
            seen.last = now;
        }
        std::erase_if(versions,
                      [&](const auto& each) { return !is_recent(each.second, max_memory, now); });
    }
    for (const auto& [service, versions] : listed)
    {
        auto& known = m_seen[service];
        const auto by_start = [](const auto& a, const auto& b) { return a.second < b.second; };
        const auto oldest = std::min_element(versions.begin(), versions.end(), by_start);
        const bool is_first_list = known.empty();
        for (const auto& [version, started_ms] : versions)
        {
            const auto [seen, is_new] = known.try_emplace(version);
            // One that comes back after a while is new to nodes that have forgotten it by then.
            const bool comes_back = !is_new && now - seen->second.last >= list_lag;
            const bool is_oldest = is_first_list && version == oldest->first;
            seen->second.is_listed = true;
            if (comes_back || (is_new && !is_oldest))
                seen->second.first = now;
        }
    }
    std::erase_if(m_seen, [](const auto& each) { return each.second.empty(); });
}

bool version_history::is_recent(const sighting& seen, core::milliseconds lifetime,
                                core::time_point now)
{
    return seen.is_listed || now - seen.last < lifetime + list_lag;
}

std::optional<software_version_key> version_history::only_version(service_key service,
                                                                  core::milliseconds lifetime,
                                                                  core::time_point now) const
{
    const auto found = m_seen.find(service);
    if (!m_began || now - *m_began < lifetime + list_lag || found == m_seen.end())
        return std::nullopt;
    std::optional<software_version_key> only;
    for (const auto& [version, seen] : found->second)
    {
        if (!is_recent(seen, lifetime, now))
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

bool version_history::is_known_for(service_key service, software_version_key version,
                                   core::milliseconds span, core::time_point now) const
{
    const auto found = m_seen.find(service);
    if (found == m_seen.end())
        return true;
    const auto seen = found->second.find(version);
    return seen == found->second.end() || !seen->second.first || now - *seen->second.first >= span;
}

bool version_history::has_several(service_key service, core::milliseconds lifetime,
                                  core::time_point now) const
{
    const auto found = m_seen.find(service);
    return found != m_seen.end() && std::count_if(found->second.begin(), found->second.end(),
                                                  [&](const auto& each) {
                                                      return is_recent(each.second, lifetime, now);
                                                  }) > 1;
}

bool version_history::has_other(service_key service, software_version_key than,
                                core::milliseconds lifetime, core::time_point now) const
{
    const auto found = m_seen.find(service);
    return found != m_seen.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& each)
                       { return each.first != than && is_recent(each.second, lifetime, now); });
}

} // namespace snipeplank::policy
