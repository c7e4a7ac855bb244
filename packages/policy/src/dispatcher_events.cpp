#include <algorithm>
#include <chrono>
#include <set>

#include "detail/dispatcher_state.hpp"

namespace snipeplank::policy
{

namespace
{

using detail::attempt_state;
using detail::service_state;
using detail::upstream_state;

/// Samples before an upstream's delay is compared with the others.
constexpr std::size_t samples_to_compare = 3;
/// Queueing cannot explain all of a delay; this part always counts as the upstream's own.
constexpr double least_own_part = 0.1;
/// A cancelled attempt that waited this many times its prediction counts as a slow one.
constexpr double censored_factor = 2;
/// Quantile of the delays without queueing that stands for a call with a cold prefix cache. It is
/// held to a multiple of the median, because under overload the queueing is not all predicted.
constexpr double cold_quantile = 0.9;
constexpr double most_typical_in_cold = 4;
/// A region that refused for load gets no spill for this long.
constexpr core::seconds refused_pause{2};

double ms_between(core::time_point from, core::time_point to)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(to - from).count());
}

double median_of(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void dispatcher::state::set_upstreams(const core::service_id& name,
                                      const std::vector<upstream_facts>& upstreams,
                                      core::time_point now)
{
    service_state& service = services[name];
    leaving.expire(now);
    std::set<core::address> listed;
    for (const upstream_facts& facts : upstreams)
    {
        if (facts.is_leaving)
            leaving.mark(facts.address, now);
        if (facts.region != self.region)
            continue;
        listed.insert(facts.address);
        const auto found = service.upstreams.find(facts.address);
        if (found != service.upstreams.end() && found->second.is_listed)
        {
            found->second.facts = facts;
            continue;
        }
        upstream_state fresh{.facts = facts,
                             .limit = concurrency_limit(service.config.calls_per_upstream),
                             .ramp = {},
                             .base = {},
                             .hold = {},
                             .waiting = {}};
        fresh.ramp.begin(slow_start::part_when_new, now);
        if (found != service.upstreams.end())
        {
            fresh.in_flight = found->second.in_flight;
            fresh.waiting = found->second.waiting;
        }
        service.upstreams.insert_or_assign(facts.address, std::move(fresh));
    }
    for (auto& [address, upstream] : service.upstreams)
    {
        upstream.is_listed = listed.contains(address);
        if (!upstream.is_listed)
            service.ejection.forget(address);
    }
    std::erase_if(service.upstreams, [](const auto& entry)
                  { return !entry.second.is_listed && entry.second.in_flight == 0; });
    service.has_list = true;
}

void dispatcher::state::on_load_report(const core::address& address, unsigned running,
                                       unsigned waiting, double kv_use, core::time_point now)
{
    for (auto& [name, service] : services)
    {
        const auto found = service.upstreams.find(address);
        if (found == service.upstreams.end())
            continue;
        upstream_state& upstream = found->second;
        upstream.has_report = true;
        upstream.limit.on_report(running, waiting, kv_use, upstream.in_flight, nodes.size(), now);
    }
}

void dispatcher::state::on_first_byte(attempt_id id, core::time_point now)
{
    const auto found = attempts.find(id.get());
    if (found == attempts.end() || found->second.first_byte)
        return;
    attempt_state& attempt = found->second;
    attempt.first_byte = now;
    upstream_state* upstream = find_upstream(attempt);
    if (upstream == nullptr)
        return;
    service_state& service = services[attempt.service];
    const double ms = ms_between(attempt.start, now);
    const double own = std::max(ms - attempt.wait_ms, ms * least_own_part);
    upstream->waiting.erase(id.get());
    upstream->base.add(own, now);
    upstream->limit.on_first_byte(ms, attempt.predicted_ms, upstream->in_flight, now);
    service.base.add(own, now);
    service.first_bytes.add(ms);
    service.own_times.add(own);
    service.typical_ms = service.own_times.quantile(0.5);
    service.cold_ms = std::min(service.own_times.quantile(cold_quantile),
                               most_typical_in_cold * service.typical_ms);
    check_delay(service, *upstream, now);
}

void dispatcher::state::on_finished(attempt_id id, attempt_outcome outcome, core::time_point now)
{
    if (outcome == attempt_outcome::answered)
        on_first_byte(id, now);
    const auto found = attempts.find(id.get());
    if (found == attempts.end())
        return;
    const attempt_state& attempt = found->second;
    service_state& service = services[attempt.service];
    upstream_state* upstream = find_upstream(attempt);
    if (upstream == nullptr)
    {
        if (attempt.upstream.get().empty() && outcome != attempt_outcome::answered &&
            outcome != attempt_outcome::caller_at_fault)
            service.spill[attempt.region].refused_until = now + refused_pause;
        close(id);
        return;
    }
    switch (outcome)
    {
    case attempt_outcome::answered:
        upstream->hold.add(ms_between(*attempt.first_byte, now), now);
        service.hold.add(ms_between(*attempt.first_byte, now), now);
        service.ejection.on_success(attempt.upstream, now);
        break;
    case attempt_outcome::timed_out:
        upstream->limit.on_pushback(upstream->in_flight, now);
        if (!attempt.first_byte)
        {
            upstream->base.add(ms_between(attempt.start, now), now);
            service.ejection.on_failure(attempt.upstream, now);
        }
        break;
    case attempt_outcome::failed:
        service.ejection.on_failure(attempt.upstream, now);
        break;
    case attempt_outcome::refused_busy:
        upstream->limit.on_pushback(upstream->in_flight, now);
        break;
    case attempt_outcome::caller_at_fault:
        break;
    }
    close(id);
}

void dispatcher::state::on_abandoned(attempt_id id, core::time_point now)
{
    const auto found = attempts.find(id.get());
    if (found == attempts.end())
        return;
    const attempt_state& attempt = found->second;
    upstream_state* upstream = find_upstream(attempt);
    const double ms = ms_between(attempt.start, now);
    // Without this, an upstream whose calls always lose to a hedge would never look slow.
    if (upstream != nullptr && !attempt.first_byte && ms > censored_factor * attempt.predicted_ms)
    {
        upstream->base.add(std::max(ms - attempt.wait_ms, ms * least_own_part), now);
        check_delay(services[attempt.service], *upstream, now);
    }
    close(id);
}

void dispatcher::state::resize_links()
{
    for (const auto& [region, link] : links)
    {
        budgets[region].resize(link.rate, link.spill_share, nodes.size(), link_share);
    }
    std::erase_if(budgets, [&](const auto& entry) { return !links.contains(entry.first); });
}

detail::upstream_state* dispatcher::state::find_upstream(const attempt_state& attempt)
{
    const auto service = services.find(attempt.service);
    if (service == services.end())
        return nullptr;
    const auto upstream = service->second.upstreams.find(attempt.upstream);
    return upstream == service->second.upstreams.end() ? nullptr : &upstream->second;
}

void dispatcher::state::close(attempt_id id)
{
    const auto found = attempts.find(id.get());
    if (upstream_state* upstream = find_upstream(found->second))
    {
        upstream->waiting.erase(id.get());
        --upstream->in_flight;
        if (!upstream->is_listed && upstream->in_flight == 0)
            services[found->second.service].upstreams.erase(found->second.upstream);
    }
    attempts.erase(found);
}

void dispatcher::state::check_delay(service_state& service, upstream_state& upstream,
                                    core::time_point now)
{
    if (upstream.base.samples() < samples_to_compare)
        return;
    std::vector<double> others;
    for (const auto& [address, other] : service.upstreams)
    {
        if (&other == &upstream || other.base.samples() < samples_to_compare)
            continue;
        others.push_back(other.base.value(now));
    }
    service.ejection.on_delay(upstream.facts.address, upstream.base.value(now),
                              median_of(std::move(others)), now);
}

} // namespace snipeplank::policy
