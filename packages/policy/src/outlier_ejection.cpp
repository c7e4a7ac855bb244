#include <snipeplank/policy/outlier_ejection.hpp>

#include <algorithm>
#include <cstddef>

namespace snipeplank::policy
{

void outlier_ejection::on_failure(const core::address& upstream, core::time_point now)
{
    entry& state = m_entries[upstream];
    ++state.failures;
    if (state.failures >= failures_to_eject && now >= state.until)
        eject(state, now);
}

void outlier_ejection::on_success(const core::address& upstream, core::time_point now)
{
    entry& state = m_entries[upstream];
    state.failures = 0;
    // A success one minute or more after the last ejection resets the ejection time.
    if (state.ejections > 0 && now >= state.until + max_ejection_time)
        state.ejections = 0;
}

bool outlier_ejection::on_delay(const core::address& upstream, double ms, double median_ms,
                                core::time_point now)
{
    if (median_ms <= 0 || ms <= slow_factor * median_ms + slow_slack_ms)
        return false;
    entry& state = m_entries[upstream];
    if (now < state.until)
        return false;
    eject(state, now);
    return true;
}

std::vector<bool> outlier_ejection::ejected(std::span<const core::address> upstreams,
                                            core::time_point now) const
{
    struct active
    {
        core::time_point until;
        std::size_t index;
    };
    std::vector<active> found;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        const auto entry = m_entries.find(upstreams[i]);
        if (entry == m_entries.end() || now >= entry->second.until)
            continue;
        found.push_back({entry->second.until, i});
    }
    // Above the limit, the upstreams whose ejections end first are reinstated early.
    std::sort(found.begin(), found.end(),
              [](const active& a, const active& b)
              { return a.until != b.until ? a.until > b.until : a.index < b.index; });
    found.resize(std::min(found.size(), upstreams.size() / 2));
    std::vector<bool> flags(upstreams.size(), false);
    for (const active& kept : found)
    {
        flags[kept.index] = true;
    }
    return flags;
}

bool outlier_ejection::take_reinstatement(const core::address& upstream, core::time_point now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.is_reinstated || now < found->second.until)
        return false;
    found->second.is_reinstated = true;
    return true;
}

void outlier_ejection::eject(entry& upstream, core::time_point now)
{
    constexpr unsigned max_doublings = 4;
    const auto time = initial_ejection_time * (1U << std::min(upstream.ejections, max_doublings));
    upstream.until = now + std::min<core::duration>(time, max_ejection_time);
    upstream.is_reinstated = false;
    ++upstream.ejections;
    // The first failure after the ejection ejects again.
    upstream.failures = failures_to_eject - 1;
}

} // namespace snipeplank::policy
