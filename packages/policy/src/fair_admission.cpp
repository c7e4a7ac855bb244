#include <snipeplank/policy/fair_admission.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipeplank::policy
{

namespace
{

/// An account whose share has fallen below this part of a request is forgotten.
constexpr double forgotten_units = 1e-3;

} // namespace

double fair_admission::current(const usage& of, core::time_point now)
{
    const double half_lives =
        std::chrono::duration<double>(now - of.at) / std::chrono::duration<double>(half_life);
    return of.units * std::exp2(-std::max(0.0, half_lives));
}

void fair_admission::on_admitted(const core::account_id& account, double units,
                                 core::time_point now)
{
    usage& known = m_usage[account];
    known = {current(known, now) + units, now};
}

double fair_admission::wait_limit(const core::account_id& account, core::time_point now)
{
    std::erase_if(m_usage,
                  [&](const auto& each) { return current(each.second, now) < forgotten_units; });
    double all = 0;
    for (const auto& [name, known] : m_usage)
    {
        all += current(known, now);
    }
    const auto found = m_usage.find(account);
    const double own = found == m_usage.end() ? 0 : current(found->second, now);
    const std::size_t accounts = m_usage.size() + (found == m_usage.end() ? 1 : 0);
    if (accounts < 2 || all <= 0)
        return usual_wait;
    const double share = own / all;
    const double fair = 1.0 / static_cast<double>(accounts);
    if (share <= fair)
        return longest_wait - (longest_wait - usual_wait) * share / fair;
    return usual_wait - (usual_wait - shortest_wait) * (share - fair) / (1 - fair);
}

} // namespace snipeplank::policy
