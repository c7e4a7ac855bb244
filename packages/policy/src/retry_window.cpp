#include <snipeplank/policy/retry_window.hpp>

#include <algorithm>

namespace snipeplank::policy
{

namespace
{

constexpr core::milliseconds step_length{250};

} // namespace

retry_window::step& retry_window::current(core::time_point now)
{
    while (!m_steps.empty() && m_steps.front().begin + m_bound.window + 2 * step_length < now)
    {
        m_steps.pop_front();
    }
    if (m_steps.empty() || now >= m_steps.back().begin + step_length)
        m_steps.push_back({now, 0, 0});
    return m_steps.back();
}

void retry_window::on_request(core::time_point now)
{
    current(now).requests += 1;
}

double retry_window::taken(core::time_point now) const
{
    double retries = 0;
    for (const step& each : m_steps)
    {
        if (each.begin + m_bound.window + step_length >= now)
            retries += each.retries;
    }
    return retries;
}

bool retry_window::take(node_share nodes, core::time_point now)
{
    step& latest = current(now);
    double requests = 0;
    for (const step& each : m_steps)
    {
        if (each.begin + m_bound.window / 2 >= now + step_length)
            requests += each.requests;
    }
    const double retries = taken(now);
    if (retries + 1 > m_bound.ratio * requests + nodes.of(m_bound.slack))
        return false;
    latest.retries += 1;
    return true;
}

} // namespace snipeplank::policy
