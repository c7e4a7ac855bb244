#include <snipeplank/policy/link_budget.hpp>

#include <algorithm>

namespace snipeplank::policy
{

void link_budget::resize(core::bytes_per_second rate, double spill_share, std::size_t live_nodes,
                         double instance_share)
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    const double total = rate.rate / nodes * instance_share;
    const double spill = total * spill_share;
    if (!m_is_sized)
    {
        m_total = token_bucket(total, total);
        m_spill = token_bucket(spill, spill);
        m_is_sized = true;
        return;
    }
    m_total.resize(total, total);
    m_spill.resize(spill, spill);
}

bool link_budget::has_for_spill(core::bytes size, core::time_point now)
{
    const auto amount = static_cast<double>(size.count);
    return m_spill.has(amount, now) && m_total.has(amount, now);
}

bool link_budget::take_for_spill(core::bytes size, core::time_point now)
{
    if (!has_for_spill(size, now))
        return false;
    const auto amount = static_cast<double>(size.count);
    return m_spill.take(amount, now) && m_total.take(amount, now);
}

bool link_budget::take_for_transfer(core::bytes size, core::time_point now)
{
    return m_total.take(static_cast<double>(size.count), now);
}

} // namespace snipeplank::policy
