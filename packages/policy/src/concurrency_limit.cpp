#include <snipeplank/policy/concurrency_limit.hpp>

#include <algorithm>

namespace snipeplank::policy
{

namespace
{

/// Calls queued at the upstream per running call. A smaller queue refuses calls that could still be
/// answered (9% at capacity with 0.25); a larger one makes the tail longer than the baselines'.
constexpr double queue_per_slot = 1.0;
/// The slot estimate grows when at least this fraction of it is running.
constexpr double busy_fraction = 0.8;
constexpr double slot_growth = 1.25;
/// Above this use of the KV cache, more concurrent calls would evict each other's entries.
constexpr double kv_nearly_full = 0.95;
/// A time to first byte above this multiple of the prediction plus the slack indicates overload.
/// The slack covers several cold prompts in sequence.
constexpr double late_factor = 3;
constexpr double late_slack_ms = 500;
constexpr double decrease_factor = 0.8;
/// Minimum time between decreases, because one overload causes many late answers.
constexpr core::milliseconds decrease_interval{500};
constexpr double max_limit = 1'024;

} // namespace

concurrency_limit::concurrency_limit(unsigned initial_limit)
    : m_slots(std::max(initial_limit, 1U)), m_by_latency(m_slots), m_by_report(m_slots)
{
}

void concurrency_limit::on_report(unsigned running, unsigned waiting, double kv_use, unsigned own,
                                  std::size_t live_nodes, core::time_point now)
{
    if (waiting > 0)
        m_slots = std::max(1.0, (m_slots + running) / 2);
    else if (running >= busy_fraction * m_slots && kv_use < kv_nearly_full)
        m_slots = std::min(std::max<double>(m_slots, running) * slot_growth + 1, max_limit);
    m_reported = running + waiting;
    m_last_report = now;
    const double total = std::max(m_reported, 1U);
    const double target = m_slots * (1 + queue_per_slot) + 1;
    m_others = std::max(0.0, static_cast<double>(m_reported) - own);
    if (m_reported > target)
    {
        m_by_report = own * target / total;
        return;
    }
    const double equal_part = 1.0 / static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    const double part = std::clamp(own / total, equal_part, 1.0);
    m_by_report = own + part * (target - m_reported);
}

void concurrency_limit::on_first_byte(double ms, double expected_ms, unsigned in_flight,
                                      core::time_point now)
{
    if (expected_ms > 0 && ms > late_factor * expected_ms + late_slack_ms)
    {
        decrease(in_flight, now);
        return;
    }
    const bool is_used = 2 * in_flight >= m_by_latency;
    if (is_used)
        m_by_latency = std::min(m_by_latency + 1, max_limit);
}

void concurrency_limit::on_pushback(unsigned in_flight, core::time_point now)
{
    decrease(in_flight, now);
}

unsigned concurrency_limit::limit(core::time_point now) const
{
    const bool is_fresh =
        m_last_report != core::time_point{} && now - m_last_report <= report_lifetime;
    const double limit = is_fresh ? std::min(m_by_report, m_by_latency) : m_by_latency;
    return static_cast<unsigned>(std::max(limit, 1.0));
}

void concurrency_limit::decrease(unsigned in_flight, core::time_point now)
{
    const bool is_first = m_last_decrease == core::time_point{};
    if (!is_first && now - m_last_decrease < decrease_interval)
        return;
    m_last_decrease = now;
    const double used = std::min<double>(m_by_latency, std::max(in_flight, 1U));
    m_by_latency = std::max(1.0, used * decrease_factor);
}

} // namespace snipeplank::policy
