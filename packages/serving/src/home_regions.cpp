#include <snipeplank/serving/client_accounts.hpp>
#include <snipeplank/serving/home_regions.hpp>
#include <snipeplank/serving/routing_table.hpp>

#include <algorithm>

namespace snipeplank::serving
{

home_regions::home_regions(const route& chosen, const client_account* account)
{
    restrict_to(chosen.allowed_regions);
    if (account != nullptr)
        restrict_to(account->allowed_regions);
}

void home_regions::restrict_to(const std::vector<core::region_id>& listed)
{
    if (listed.empty())
        return;
    const std::set<core::region_id> allowed(listed.begin(), listed.end());
    if (!m_regions)
        m_regions = allowed;
    std::erase_if(*m_regions, [&](const auto& region) { return !allowed.contains(region); });
}

void home_regions::restrict_to(const home_regions& other)
{
    if (!other.m_regions)
        return;
    if (!m_regions)
        m_regions = other.m_regions;
    std::erase_if(*m_regions, [&](const auto& region) { return !other.contains(region); });
}

bool home_regions::contains(const core::region_id& region) const
{
    return !m_regions || m_regions->contains(region);
}

} // namespace snipeplank::serving
