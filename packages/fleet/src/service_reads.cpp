#include <snipeplank/fleet/detail/service_reads.hpp>

#include <algorithm>

namespace snipeplank::fleet::detail
{

namespace
{

constexpr core::milliseconds start_spread{500};
/// A watcher comes back within this time after an outage, which the bound of 11 s allows for.
constexpr core::milliseconds watcher_retry_max{3'000};
constexpr core::milliseconds other_retry_max{16'000};
/// A service that answers blocking reads at once gets one read a second from each watcher.
constexpr core::milliseconds shortest_watch{1'000};
constexpr double section_read_burst = 8;

} // namespace

core::duration service_reads::spread(core::duration bound)
{
    return core::duration{static_cast<core::duration::rep>(m_random.below(
        static_cast<std::uint64_t>(std::max<core::duration::rep>(bound.count(), 1))))};
}

void service_reads::start(core::time_point now)
{
    m_next_read = now + spread(start_spread);
    m_refilled = now;
    m_retry = service_retry_min;
}

void service_reads::set_watcher(bool watcher, core::time_point now)
{
    if (watcher == m_watcher)
        return;
    m_watcher = watcher;
    if (watcher)
        m_next_read = std::min(m_next_read, now);
    else if (m_answered)
        m_next_read = now + spread(slow_poll);
}

void service_reads::want_manifest(core::time_point now)
{
    m_next_read = std::min(m_next_read, now + spread(service_retry_spread));
}

void service_reads::on_answer(core::time_point now)
{
    m_outstanding = false;
    m_answered = true;
    m_retry = service_retry_min;
    m_next_read = m_watcher ? std::max(now, m_last_read + shortest_watch)
                            : now + slow_poll / 2 + spread(slow_poll);
}

void service_reads::on_failure(core::time_point now)
{
    m_outstanding = false;
    m_next_read = now + m_retry + spread(service_retry_spread);
    const core::duration most = m_watcher ? watcher_retry_max : other_retry_max;
    m_retry = std::min<core::duration>(m_retry * 2, most);
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
