#include <snipeplank/policy/adaptive_policy.hpp>
#include <snipeplank/policy/baselines.hpp>
#include <snipeplank/policy/retry_after.hpp>

#include <algorithm>

#include "detail/dispatcher_state.hpp"

namespace snipeplank::policy
{

namespace
{

/// Samples of the time to first byte that are needed before a hedge is considered.
constexpr std::size_t min_samples_to_hedge = 20;
/// A call is hedged when it waits longer than this quantile of the service's times to first byte
/// and longer than this multiple of their median. Hedging from the 0.95 quantile on sent 7% more
/// calls without a fault and made the tail longer, because the extra prefill delays other calls.
constexpr double hedge_quantile = 0.99;
constexpr double hedge_median_factor = 8;
constexpr double min_hedge_delay_ms = 20;

std::unique_ptr<routing_policy> make_policy(const settings::published_config& config)
{
    switch (config.routing)
    {
    case settings::routing_kind::round_robin:
        return make_round_robin();
    case settings::routing_kind::least_outstanding:
        return make_least_outstanding();
    case settings::routing_kind::random_of_two:
        return make_random_of_two();
    case settings::routing_kind::adaptive:
        break;
    }
    return make_adaptive(config.weights);
}

bool is_proven_not_run(retry_reason reason)
{
    return reason == retry_reason::connect_failed || reason == retry_reason::refused_before_run;
}

} // namespace

dispatcher::dispatcher(dispatcher_self self) : m_state(std::make_unique<state>(std::move(self)))
{
    set_nodes({m_state->self.node});
}

dispatcher::~dispatcher() = default;

void dispatcher::set_config(const settings::published_config& config)
{
    m_state->has_config = true;
    m_state->weights = config.weights;
    m_state->policy = make_policy(config);
    for (auto& [name, service] : m_state->services)
    {
        service.is_configured = false;
    }
    for (const auto& [name, service_config] : config.services)
    {
        detail::service_state& service = m_state->services[name];
        service.config = service_config;
        service.is_configured = true;
    }
    m_state->links.clear();
    for (const settings::link_config& link : config.links)
    {
        if (link.a == m_state->self.region)
            m_state->links[link.b] = link;
        else if (link.b == m_state->self.region)
            m_state->links[link.a] = link;
    }
    m_state->resize_links();
}

void dispatcher::set_nodes(std::vector<core::address> live_nodes)
{
    m_state->nodes = live_nodes;
    m_state->accounts.set_nodes(m_state->self.node, std::move(live_nodes));
    m_state->resize_links();
}

void dispatcher::set_link_share(double share)
{
    m_state->link_share = std::clamp(share, 0.0, 1.0);
    m_state->resize_links();
}

void dispatcher::set_upstreams(const core::service_id& service,
                               const std::vector<upstream_status>& upstreams, core::time_point now)
{
    m_state->set_upstreams(service, upstreams, now);
}

void dispatcher::set_regions(const std::vector<region_status>& regions, core::time_point now)
{
    m_state->regions = regions;
    m_state->regions_updated_at = now;
    for (auto& [name, service] : m_state->services)
    {
        for (auto& [region, spill] : service.spill)
        {
            spill.sent_since_summary = 0;
        }
    }
}

void dispatcher::on_load_report(const core::address& upstream, unsigned running, unsigned waiting,
                                double kv_use, core::time_point now)
{
    m_state->on_load_report(upstream, running, waiting, kv_use, now);
}

void dispatcher::on_leaving(const core::address& upstream, core::time_point now)
{
    m_state->leaving.mark(upstream, now);
}

decision dispatcher::route(const call_view& call, core::time_point now, core::random_source& random)
{
    return m_state->route(call, now, random);
}

void dispatcher::on_first_byte(attempt_id attempt, core::time_point now)
{
    m_state->on_first_byte(attempt, now);
}

void dispatcher::on_finished(attempt_id attempt, attempt_outcome outcome, core::time_point now)
{
    m_state->on_finished(attempt, outcome, now);
}

void dispatcher::on_abandoned(attempt_id attempt, core::time_point now)
{
    m_state->on_abandoned(attempt, now);
}

bool dispatcher::may_retry(const call_view& call, retry_reason reason, core::time_point now)
{
    const auto service = m_state->services.find(call.service);
    if (service == m_state->services.end() || call.remaining <= core::milliseconds{0})
        return false;
    if (!call.is_idempotent && !is_proven_not_run(reason))
        return false;
    // Only the sender in the call's entry region retries: retries in two regions would multiply.
    if (m_state->came_from_other_region(call))
        return false;
    // A retry would be refused here, and would have used up an extra attempt.
    if (!m_state->may_serve(service->second, call, m_state->self.region))
        return false;
    constexpr bool needs_spare_capacity = false;
    if (!m_state->has_alternative(service->second, call, now, needs_spare_capacity) &&
        !m_state->has_remote_alternative(service->second, call, now))
        return false;
    return m_state->extra.take_extra();
}

std::optional<core::milliseconds> dispatcher::hedge_delay(const call_view& call,
                                                          core::time_point now)
{
    const auto found = m_state->services.find(call.service);
    if (found == m_state->services.end() || !call.is_idempotent || call.tried.empty())
        return std::nullopt;
    if (call.kind != attempt_kind::first || m_state->came_from_other_region(call))
        return std::nullopt;
    const detail::service_state& service = found->second;
    constexpr bool needs_spare_capacity = true;
    if (service.first_bytes.size() < min_samples_to_hedge || !m_state->extra.has_extra() ||
        !m_state->has_alternative(service, call, now, needs_spare_capacity))
        return std::nullopt;
    const double hedge_threshold_ms =
        std::max({service.first_bytes.quantile(hedge_quantile),
                  hedge_median_factor * service.first_bytes.quantile(0.5), min_hedge_delay_ms});
    const core::milliseconds delay{static_cast<long>(hedge_threshold_ms) + 1};
    if (delay >= call.remaining)
        return std::nullopt;
    return delay;
}

bool dispatcher::take_hedge(core::time_point)
{
    return m_state->extra.take_extra();
}

std::optional<refusal> dispatcher::admit_account(const settings::account_config& account,
                                                 core::time_point now, core::random_source& random)
{
    const core::milliseconds wait = m_state->accounts.admit(account, now);
    if (wait == core::milliseconds{0})
        return std::nullopt;
    return refusal{refusal_reason::account_limit, execution::no,
                   "slow down, or use the entry points given for the account",
                   jittered_retry_after(wait, random)};
}

std::vector<core::address> dispatcher::entry_points(const settings::account_config* account,
                                                    core::random_source& random) const
{
    return m_state->accounts.entry_points(account, random);
}

bool dispatcher::take_link(const core::region_id& region, core::bytes size, core::time_point now)
{
    const auto budget = m_state->budgets.find(region);
    return budget != m_state->budgets.end() && budget->second.take_for_transfer(size, now);
}

double dispatcher::free_calls(const core::service_id& service, core::time_point now) const
{
    const auto found = m_state->services.find(service);
    if (found == m_state->services.end())
        return 0;
    double free = 0;
    for (const auto& [address, upstream] : found->second.upstreams)
    {
        if (!upstream.is_listed || m_state->is_leaving(upstream, now))
            continue;
        const double slots =
            upstream.ramp.apply(upstream.has_report ? static_cast<unsigned>(upstream.limit.slots())
                                                    : upstream.limit.limit(now),
                                now);
        free += std::max(0.0, slots - upstream.limit.others() - upstream.in_flight);
    }
    return free;
}

double dispatcher::latency_ms(const core::service_id& service) const
{
    const auto found = m_state->services.find(service);
    if (found == m_state->services.end() || found->second.first_bytes.size() == 0)
        return 0;
    return found->second.first_bytes.quantile(0.5);
}

extra_work dispatcher::work() const
{
    return m_state->counts;
}

} // namespace snipeplank::policy
