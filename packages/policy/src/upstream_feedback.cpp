#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/policy/upstream_feedback.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace snipeplank::policy
{

namespace
{

double to_s(core::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void upstream_feedback::set_nodes(std::vector<core::address> nodes, core::address self,
                                  core::time_point now)
{
    m_nodes = std::move(nodes);
    m_self = std::move(self);
    for (auto& [upstream, known] : m_upstreams)
    {
        if (known.limit)
            set_rate(known, share_of(upstream, *known.limit), now);
    }
}

bool upstream_feedback::on_answer(upstream_run_key upstream, const upstream_statement& said,
                                  core::time_point now)
{
    const bool says_something = said.is_leaving || said.retry_after || said.limit;
    const auto found = m_upstreams.find(upstream);
    if (!says_something && found == m_upstreams.end())
        return false;
    state& known = m_upstreams[upstream];
    const bool is_news =
        said.retry_after || said.limit != known.limit || (said.is_leaving && !known.is_leaving);
    known.said_at = now;
    known.is_leaving = known.is_leaving || said.is_leaving;
    if (said.retry_after)
        known.quiet_until =
            std::max(known.quiet_until, now + std::min(*said.retry_after, max_retry_after));
    if (said.limit || known.limit)
        set_limit(upstream, known, said.limit, now, now);
    return is_news;
}

void upstream_feedback::on_told(const told_feedback& told, core::time_point now)
{
    for (const upstream_run_key each : told.leaving)
    {
        state& known = m_upstreams[each];
        if (!std::exchange(known.is_leaving, true))
            known.said_at = now;
    }
    for (const told_limit& each : told.limits)
    {
        const core::time_point at = now - each.age;
        state& known = m_upstreams[each.upstream];
        known.said_at = std::max(known.said_at, at);
        if (at > known.limit_said_at)
            set_limit(each.upstream, known, each.limit, at, now);
    }
}

bool upstream_feedback::allows(upstream_run_key upstream, core::time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return true;
    const state& known = found->second;
    return !known.is_leaving && known.quiet_until <= now &&
           (!known.limit || tokens_at(known, now) >= 1);
}

bool upstream_feedback::take(upstream_run_key upstream, core::time_point now)
{
    if (!allows(upstream, now))
        return false;
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.limit)
        return true;
    state& known = found->second;
    known.tokens = tokens_at(known, now) - 1;
    known.refilled_at = now;
    return true;
}

bool upstream_feedback::is_leaving(upstream_run_key upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && found->second.is_leaving;
}

std::optional<core::time_point> upstream_feedback::allowed_at(upstream_run_key upstream,
                                                              core::time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return now;
    const state& known = found->second;
    if (known.is_leaving || (known.limit && known.rate <= 0))
        return std::nullopt;
    core::time_point at = std::max(now, known.quiet_until);
    const double missing = known.limit ? 1 - tokens_at(known, now) : 0;
    if (missing > 0)
    {
        const std::chrono::duration<double> wait(missing / known.rate);
        at = std::max(at, now + std::chrono::duration_cast<core::duration>(wait));
    }
    return at;
}

told_feedback upstream_feedback::to_tell(std::size_t max_items, core::time_point now) const
{
    told_feedback told;
    for (const auto& [upstream, known] : m_upstreams)
    {
        if (now - known.said_at > telling_time)
            continue;
        if (known.is_leaving && told.leaving.size() < max_items)
            told.leaving.push_back(upstream);
        if (known.limit_said_at != core::time_point{})
            told.limits.push_back(
                {upstream, known.limit,
                 std::chrono::duration_cast<core::milliseconds>(now - known.limit_said_at)});
    }
    std::sort(told.limits.begin(), told.limits.end(),
              [](const told_limit& a, const told_limit& b) { return a.age < b.age; });
    if (told.limits.size() > max_items)
        told.limits.resize(max_items);
    return told;
}

void upstream_feedback::set_limit(upstream_run_key upstream, state& known,
                                  std::optional<double> limit, core::time_point at,
                                  core::time_point now)
{
    known.limit_said_at = at;
    if (known.limit == limit)
        return;
    if (limit)
        set_rate(known, share_of(upstream, *limit), now);
    known.limit = limit;
}

/// This node's part of a limit: an equal part of it for each of the nodes that rank highest for the
/// upstream, nothing for the others and for a node that does not know its rank.
double upstream_feedback::share_of(upstream_run_key upstream, double limit) const
{
    if (m_nodes.empty())
        return 0;
    const double shared = std::max(limit, min_limit);
    const auto whole =
        static_cast<std::size_t>(std::min(std::floor(shared), static_cast<double>(m_nodes.size())));
    const std::size_t senders = std::max(min_senders, whole);
    const std::string key = std::to_string(upstream.get());
    const auto own_score = core::rendezvous_score(key, m_self.get());
    const auto rank = std::count_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const core::address& node) {
                                        return core::rendezvous_score(key, node.get()) > own_score;
                                    });
    return static_cast<std::size_t>(rank) < senders ? shared / static_cast<double>(senders) : 0;
}

/// A node that sends nothing yet begins with no request saved up: those that it takes over from may
/// have sent theirs.
void upstream_feedback::set_rate(state& known, double rate, core::time_point now)
{
    known.tokens = known.limit ? tokens_at(known, now) : 0;
    known.refilled_at = now;
    known.rate = rate;
}

double upstream_feedback::tokens_at(const state& known, core::time_point now)
{
    const double max_tokens = known.rate > 0 ? std::max(1.0, known.rate * burst_s) : 0;
    return std::min(max_tokens, known.tokens + known.rate * to_s(now - known.refilled_at));
}

} // namespace snipeplank::policy
