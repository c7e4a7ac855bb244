#include <snipeplank/policy/retry_window.hpp>

#include <algorithm>

namespace snipeplank::policy
{

namespace
{

constexpr core::milliseconds step_time{250};

} // namespace

retry_window::step& retry_window::current(core::time_point now)
{
    while (!m_steps.empty() && m_steps.front().begin + m_bound.window + 2 * step_time < now)
    {
        m_steps.pop_front();
    }
    if (m_steps.empty() || now >= m_steps.back().begin + step_time)
        m_steps.push_back({now, 0, 0});
    return m_steps.back();
}

void retry_window::on_request(core::time_point now)
{
    current(now).requests += 1;
}

bool retry_window::take(std::size_t nodes, core::time_point now)
{
    step& latest = current(now);
    double requests = 0;
    double repeats = 0;
    for (const step& each : m_steps)
    {
        if (each.begin + m_bound.window / 2 >= now + step_time)
            requests += each.requests;
        if (each.begin + m_bound.window + step_time >= now)
            repeats += each.repeats;
    }
    const double part = m_bound.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    if (repeats + 1 > m_bound.ratio * requests + part)
        return false;
    latest.repeats += 1;
    return true;
}

} // namespace snipeplank::policy
