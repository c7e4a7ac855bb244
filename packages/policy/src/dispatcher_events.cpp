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

/// Samples that are needed before an upstream's delay is compared with the others.
constexpr std::size_t min_samples_to_compare = 3;
/// At least this fraction of a delay counts as the upstream's own, whatever queueing was predicted.
constexpr double min_own_fraction = 0.1;
/// A cancelled attempt that waited this multiple of its prediction counts as a slow sample.
constexpr double censored_factor = 2;
/// Quantile of the delays without queueing that estimates a call with a cold prefix cache. It is
/// limited to a multiple of the median, because under overload not all queueing is predicted.
constexpr double cold_quantile = 0.9;
constexpr double max_cold_factor = 4;
/// Time without spill to a region that refused or failed a call.
constexpr core::seconds spill_backoff{2};

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
                                      const std::vector<upstream_status>& upstreams,
                                      core::time_point now)
{
    service_state& service = services[name];
    // After a start of this node, new upstreams cannot be distinguished from warm ones, so only
    // upstreams that are added to an existing list get a slow start.
    const bool is_first_list = service.upstreams.empty();
    leaving.expire(now);
    std::set<core::address> listed;
    for (const upstream_status& status : upstreams)
    {
        if (status.is_leaving)
            leaving.mark(status.address, now);
        if (status.region != self.region)
            continue;
        listed.insert(status.address);
        const auto found = service.upstreams.find(status.address);
        if (found != service.upstreams.end() && found->second.is_listed)
        {
            found->second.status = status;
            continue;
        }
        upstream_state fresh{.status = status,
                             .limit = concurrency_limit(service.config.calls_per_upstream),
                             .ramp = {},
                             .base = {},
                             .streaming = {},
                             .waiting = {}};
        if (!is_first_list)
            fresh.ramp.begin(slow_start::new_upstream_fraction, now);
        if (found != service.upstreams.end())
        {
            fresh.in_flight = found->second.in_flight;
            fresh.waiting = found->second.waiting;
        }
        service.upstreams.insert_or_assign(status.address, std::move(fresh));
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
    const double own = std::max(ms - attempt.wait_ms, ms * min_own_fraction);
    upstream->waiting.erase(id.get());
    upstream->base.add(own, now);
    upstream->limit.on_first_byte(ms, attempt.predicted_ms, upstream->in_flight, now);
    service.base.add(own, now);
    service.first_bytes.add(ms);
    service.unqueued_first_bytes.add(own);
    service.median_unqueued_ms = service.unqueued_first_bytes.quantile(0.5);
    service.cold_ms = std::min(service.unqueued_first_bytes.quantile(cold_quantile),
                               max_cold_factor * service.median_unqueued_ms);
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
            service.spill[attempt.region].refused_until = now + spill_backoff;
        close_attempt(id);
        return;
    }
    switch (outcome)
    {
    case attempt_outcome::answered:
        upstream->streaming.add(ms_between(*attempt.first_byte, now), now);
        service.streaming.add(ms_between(*attempt.first_byte, now), now);
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
    close_attempt(id);
}

void dispatcher::state::on_abandoned(attempt_id id, core::time_point now)
{
    const auto found = attempts.find(id.get());
    if (found == attempts.end())
        return;
    const attempt_state& attempt = found->second;
    upstream_state* upstream = find_upstream(attempt);
    const double ms = ms_between(attempt.start, now);
    // Otherwise an upstream whose calls always lose to a hedge would never appear slow.
    if (upstream != nullptr && !attempt.first_byte && ms > censored_factor * attempt.predicted_ms)
    {
        upstream->base.add(std::max(ms - attempt.wait_ms, ms * min_own_fraction), now);
        check_delay(services[attempt.service], *upstream, now);
    }
    close_attempt(id);
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

void dispatcher::state::close_attempt(attempt_id id)
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
    if (upstream.base.samples() < min_samples_to_compare)
        return;
    std::vector<double> others;
    for (const auto& [address, other] : service.upstreams)
    {
        if (&other == &upstream || other.base.samples() < min_samples_to_compare)
            continue;
        others.push_back(other.base.value(now));
    }
    service.ejection.on_delay(upstream.status.address, upstream.base.value(now),
                              median_of(std::move(others)), now);
}

} // namespace snipeplank::policy
