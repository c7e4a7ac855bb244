#include <snipeplank/fleet/detail/service_reads.hpp>

#include <algorithm>

namespace snipeplank::fleet::detail
{

namespace
{

constexpr core::milliseconds max_start_delay{500};
/// A watcher reads again within this time after an outage. The bound of 11 s for a version to be in
/// force everywhere allows for it.
constexpr core::milliseconds max_watcher_retry{3'000};
constexpr core::milliseconds max_other_retry{16'000};
/// Limits each watcher to one read a second when the service answers blocking reads at once.
constexpr core::milliseconds min_watch_interval{1'000};
constexpr double section_read_burst = 8;

} // namespace

core::duration service_reads::random_delay(core::duration bound)
{
    return core::duration{static_cast<core::duration::rep>(m_random.below(
        static_cast<std::uint64_t>(std::max<core::duration::rep>(bound.count(), 1))))};
}

void service_reads::start(core::time_point now)
{
    m_next_read = now + random_delay(max_start_delay);
    m_refilled = now;
    m_retry = min_service_retry;
}

void service_reads::set_watcher(bool watcher, core::time_point now)
{
    if (watcher == m_watcher)
        return;
    m_watcher = watcher;
    if (watcher)
        m_next_read = std::min(m_next_read, now);
    else if (m_answered)
        m_next_read = now + random_delay(slow_poll_interval);
}

void service_reads::want_manifest(core::time_point now)
{
    m_next_read = std::min(m_next_read, now + random_delay(max_service_retry_delay));
}

void service_reads::on_answer(core::time_point now)
{
    m_outstanding = false;
    m_answered = true;
    m_retry = min_service_retry;
    m_next_read = m_watcher ? std::max(now, m_last_read + min_watch_interval)
                            : now + slow_poll_interval / 2 + random_delay(slow_poll_interval);
}

void service_reads::on_failure(core::time_point now)
{
    m_outstanding = false;
    m_next_read = now + m_retry + random_delay(max_service_retry_delay);
    const core::duration max_retry = m_watcher ? max_watcher_retry : max_other_retry;
    m_retry = std::min<core::duration>(m_retry * 2, max_retry);
}

std::optional<read_manifest> service_reads::take_due(core::time_point now)
{
    if (m_outstanding && now - m_last_read >= watch_timeout)
        on_failure(now);
    if (now < m_next_read || m_outstanding)
        return std::nullopt;
    m_outstanding = true;
    m_last_read = now;
    return read_manifest{m_watcher ? watch_wait : core::milliseconds{0}};
}

bool service_reads::take_section_read(core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilled).count();
    const double rate = m_watcher ? watcher_reads_per_second : other_reads_per_second;
    m_section_reads = std::min(m_section_reads + elapsed * rate, section_read_burst);
    m_refilled = now;
    if (m_section_reads < 1)
        return false;
    m_section_reads -= 1;
    return true;
}

} // namespace snipeplank::fleet::detail
