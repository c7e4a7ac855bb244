#include <snipeplank/policy/cold_start_limit.hpp>

#include <cmath>

namespace snipeplank::policy
{

namespace
{

/// One second plus the variation of the delay to the upstream.
constexpr core::milliseconds window{1'100};

} // namespace

std::size_t cold_start_limit::share(const cold_start_bound& bound, node_share senders)
{
    const double all = std::floor(bound.rate * bound.overshoot + bound.slack);
    return static_cast<std::size_t>(senders.of(all));
}

bool cold_start_limit::allows(const cold_start_bound& bound, node_share senders,
                              core::time_point now)
{
    while (!m_sent.empty() && m_sent.front() + window <= now)
    {
        m_sent.pop_front();
    }
    return m_sent.size() < share(bound, senders);
}

void cold_start_limit::on_sent(core::time_point now)
{
    constexpr std::size_t max_timestamps = 64;
    m_sent.push_back(now);
    if (m_sent.size() > max_timestamps)
        m_sent.pop_front();
}

} // namespace snipeplank::policy
