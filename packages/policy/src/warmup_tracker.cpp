#include <snipeplank/policy/warmup_tracker.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::policy
{

void warmup_tracker::on_report(const warmup_report& report, core::time_point now)
{
    if (report == m_last_report)
        return;
    if (std::exchange(m_last_report, report).started_ms != report.started_ms)
        m_may_have_restarted = false; // the report is of the run after the restart
    if (report.remaining.count() > 0)
        m_reported_until = now + report.remaining + margin;
    else
        m_reported_until = std::min(m_reported_until, now + margin);
}

void warmup_tracker::on_answer(core::milliseconds remaining, core::time_point now)
{
    if (remaining.count() > 0)
        m_observed_until = std::max(m_observed_until, now + remaining + margin);
}

void warmup_tracker::on_reachable(core::milliseconds warmup, core::time_point now)
{
    if (std::exchange(m_may_have_restarted, false))
        m_observed_until = std::max(m_observed_until, now + warmup + margin);
}

bool warmup_tracker::is_cold(core::time_point now) const
{
    return now < std::max(m_reported_until, m_observed_until);
}

} // namespace snipeplank::policy
