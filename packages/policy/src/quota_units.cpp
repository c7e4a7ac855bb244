#include <snipeplank/policy/quota_units.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace snipeplank::policy
{

namespace
{

/// Batches closer than this are held as one, with the age of the older.
constexpr core::milliseconds batch_span{100};

double seconds_of(core::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void quota_units::add(aged_units added)
{
    if (!(added.amount > 0))
        return;
    m_sum += added.amount;
    const auto later = std::upper_bound(m_batches.begin(), m_batches.end(), added.filled_at,
                                        [](core::time_point at, const aged_units& each)
                                        { return at < each.filled_at; });
    if (later != m_batches.begin())
    {
        aged_units& before = *std::prev(later);
        if (added.filled_at - before.filled_at < batch_span)
        {
            before.amount += added.amount;
            return;
        }
    }
    m_batches.insert(later, added);
}

void quota_units::add(const std::vector<aged_units>& added)
{
    for (const aged_units& each : added)
    {
        add(each);
    }
}

double quota_units::available(core::time_point now)
{
    remove_void(now);
    return m_sum;
}

std::vector<aged_units> quota_units::take(double amount, core::time_point now)
{
    remove_void(now);
    std::vector<aged_units> taken;
    while (amount > 0 && !m_batches.empty())
    {
        aged_units& oldest = m_batches.front();
        const double part = std::min(amount, oldest.amount);
        taken.push_back({oldest.filled_at, part});
        amount -= part;
        oldest.amount -= part;
        m_sum -= part;
        if (oldest.amount <= 0)
            m_batches.pop_front();
    }
    return taken;
}

void quota_units::remove_void(core::time_point now)
{
    while (!m_batches.empty() && now - m_batches.front().filled_at > max_age)
    {
        m_batches.pop_front();
    }
    // Summed anew, so that no error of rounding remains.
    m_sum = std::accumulate(m_batches.begin(), m_batches.end(), 0.0,
                            [](double sum, const aged_units& each) { return sum + each.amount; });
}

double fill_rate(const quota_limit& limit, const quota_bound& bound)
{
    const double counted = seconds_of(bound.window + quota_units::max_age + max_charge_age);
    return std::min(limit.per_second, bound.of(limit) / counted);
}

void quota_fill::fill(quota_units& into, core::time_point now)
{
    core::time_point from = std::max(m_filled_until, now - quota_units::max_age);
    m_filled_until = std::max(m_filled_until, now);
    while (from < now)
    {
        const core::time_point until = std::min<core::time_point>(now, from + batch_span);
        into.add({from, m_per_second * seconds_of(until - from)});
        from = until;
    }
}

} // namespace snipeplank::policy
