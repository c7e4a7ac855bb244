#include <snipeplank/policy/adaptive_policy.hpp>
#include <snipeplank/policy/retry_after.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "detail/dispatcher_state.hpp"

namespace snipeplank::policy
{

namespace
{

using detail::option;
using detail::prediction;
using detail::service_state;
using detail::upstream_state;

/// Fraction of each limit that batch calls may use, so that they are refused before interactive
/// calls.
constexpr double batch_fraction = 0.7;
/// Fraction of its remaining time that a batch call may spend queueing.
constexpr double batch_wait_fraction = 0.5;
/// Above this fraction of its limit an upstream takes only calls whose prefix it owns. Under
/// overload some calls are refused anyway, and calls with a warm cache cost the engine less.
constexpr double open_fraction = 0.75;
/// Lifetime of region summaries, the same as in the region table (design page, section 3).
constexpr core::seconds summary_lifetime{30};
/// Minimum size on the link, because a call without a stated size still has headers and an answer.
constexpr core::bytes min_call_size{2'048};
constexpr core::milliseconds default_retry_after{500};
/// An idle upstream whose latest sample is older than this gets one call regardless of its
/// prediction: after a stall, nothing else would correct the estimate.
constexpr core::seconds probe_interval{1};

constexpr std::string_view skip_leaving = "leaving";
constexpr std::string_view skip_tried = "tried";
constexpr std::string_view skip_ejected = "ejected";
constexpr std::string_view skip_concurrency = "concurrency";
constexpr std::string_view skip_queue = "deadline_queue";
constexpr std::string_view skip_deadline = "deadline";
constexpr std::string_view skip_link = "link_budget";
constexpr std::string_view skip_path = "path";
constexpr std::string_view skip_residency = "residency";
constexpr std::string_view skip_region_full = "region_full";

template <typename Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

core::bytes link_size(const call_view& call)
{
    return std::max(call.size, min_call_size);
}

double remaining_ms(const call_view& call)
{
    return static_cast<double>(call.remaining.count());
}

unsigned limit_for(const call_view& call, unsigned limit)
{
    if (call.priority == call_priority::interactive)
        return limit;
    return std::max(1U, static_cast<unsigned>(limit * batch_fraction));
}

/// Checks the prediction against the remaining time. Without queueing only the first byte must fit,
/// because the length of the answer is not known.
std::string_view deadline_skip_reason(const call_view& call, const option& candidate)
{
    if (candidate.is_probe)
        return {};
    const prediction& expected = candidate.expected;
    const double left = remaining_ms(call);
    if (expected.total_ms - expected.wait_ms > left)
        return skip_deadline;
    if (expected.wait_ms <= 0)
        return {};
    if (expected.total_ms + expected.streaming_ms > left)
        return skip_queue;
    if (call.priority == call_priority::batch && expected.wait_ms > batch_wait_fraction * left)
        return skip_queue;
    return {};
}

refusal make_refusal(refusal_reason reason, std::string remedy, core::milliseconds base,
                     core::random_source& random)
{
    return {reason, execution::no, std::move(remedy), jittered_retry_after(base, random)};
}

refusal make_final_refusal(refusal_reason reason, std::string remedy)
{
    return {reason, execution::no, std::move(remedy), core::milliseconds{0}};
}

candidate describe(const option& entry, const settings::routing_weights& weights)
{
    return {.address = entry.view.address,
            .region = entry.view.region,
            .score = routing_score(weights, entry.view),
            .predicted_ms = entry.view.predicted_ms,
            .in_flight = entry.view.in_flight,
            .limit = entry.view.limit,
            .passed_over = std::string(entry.skip_reason)};
}

void describe_all(const std::vector<option>& found, const std::vector<std::size_t>& order,
                  const settings::routing_weights& weights, decision& result)
{
    for (const bool is_usable : {true, false})
    {
        for (const std::size_t index : order)
        {
            if (found[index].skip_reason.empty() != is_usable)
                continue;
            result.candidates.push_back(describe(found[index], weights));
        }
    }
    for (const option& entry : found)
    {
        // Leaving upstreams are never ranked.
        if (entry.view.is_leaving)
            result.candidates.push_back(describe(entry, weights));
        std::string name(entry.skip_reason);
        if (!name.empty() && !contains(result.limits_met, name))
            result.limits_met.push_back(std::move(name));
    }
}

} // namespace

void dispatcher::state::reserve_for_prefix_owner(const call_view& call, options& found)
{
    if (call.prefix_hash == 0)
        return;
    const option* owner = nullptr;
    std::uint64_t best = 0;
    for (const option& entry : found)
    {
        const bool is_excluded =
            entry.view.is_remote || entry.view.is_leaving || entry.view.is_ejected;
        if (is_excluded || contains(call.tried, entry.view.address))
            continue;
        const std::uint64_t score = prefix_score(call.prefix_hash, entry.view.address);
        if (owner != nullptr && score <= best)
            continue;
        best = score;
        owner = &entry;
    }
    for (option& entry : found)
    {
        const bool is_open = entry.view.in_flight < open_fraction * entry.view.limit;
        if (entry.view.is_remote || &entry == owner || is_open || !entry.skip_reason.empty())
            continue;
        entry.skip_reason = skip_concurrency;
    }
}

decision dispatcher::state::route(const call_view& call, core::time_point now,
                                  core::random_source& random)
{
    decision result;
    if (std::optional<refusal> refused = refuse_before_ranking(call, random))
    {
        result.action = std::move(*refused);
        return result;
    }
    service_state& service = services[call.service];
    options found = local_options(service, call, now);
    reserve_for_prefix_owner(call, found);
    add_remote_options(service, call, now, found);
    std::vector<upstream_view> views;
    views.reserve(found.size());
    for (const option& entry : found)
    {
        views.push_back(entry.view);
    }
    const std::vector<std::size_t> order = policy->rank(call, views, random);
    describe_all(found, order, weights, result);
    const auto is_usable = [&](std::size_t index) { return found[index].skip_reason.empty(); };
    const auto chosen = std::find_if(order.begin(), order.end(), is_usable);
    if (chosen == order.end())
    {
        result.action = refuse_all(service, found, random);
        return result;
    }
    open_attempt(service, call, found[*chosen], now, result);
    return result;
}

std::optional<refusal> dispatcher::state::refuse_before_ranking(const call_view& call,
                                                                core::random_source& random) const
{
    const auto found = services.find(call.service);
    if (!has_config)
        return make_refusal(refusal_reason::not_ready, "retry when the node has its configuration",
                            default_retry_after, random);
    if (found == services.end() || !found->second.is_configured)
        return make_final_refusal(refusal_reason::unknown_service, "name a configured service");
    if (call.remaining <= core::milliseconds{0})
        return make_final_refusal(refusal_reason::deadline_passed, "allow more time");
    if (!may_serve(found->second, call, self.region))
    {
        const core::region_id home =
            call.newest_home.get().empty() ? home_of(call) : call.newest_home;
        return make_final_refusal(refusal_reason::wrong_region,
                                  "use an entry point of the home region " + home.get());
    }
    const path_hop here{self.region, self.zone, self.node};
    if (!call.path.empty() && !call.path.may_add(here))
        return make_final_refusal(refusal_reason::loop,
                                  "report the call's path; the fleet's views disagree");
    return std::nullopt;
}

dispatcher::state::options dispatcher::state::local_options(service_state& service,
                                                            const call_view& call,
                                                            core::time_point now) const
{
    options found;
    for (auto& [address, upstream] : service.upstreams)
    {
        if (!upstream.is_listed)
            continue;
        if (service.ejection.take_reinstatement(address, now))
        {
            upstream.base.forget();
            upstream.ramp.begin(slow_start::reinstated_fraction, now);
        }
        option entry;
        entry.expected = predict(service, upstream, now);
        entry.view.address = address;
        entry.view.region = upstream.status.region;
        entry.view.zone = upstream.status.zone;
        entry.view.is_leaving = is_leaving(upstream, now);
        entry.view.in_flight = upstream.in_flight;
        entry.view.reported_load =
            static_cast<unsigned>(upstream.limit.others()) + upstream.in_flight;
        entry.view.limit = upstream.ramp.apply(upstream.limit.limit(now), now);
        entry.view.latency_ms = upstream.base.value(now);
        entry.view.one_way_delay_ms = upstream.status.one_way_delay_ms;
        entry.view.cost = upstream.status.cost;
        entry.view.predicted_ms = entry.expected.total_ms;
        entry.view.warm_saving_ms = service.cold_ms;
        entry.is_probe =
            upstream.in_flight == 0 && now - upstream.base.last_sample() > probe_interval;
        found.push_back(std::move(entry));
    }
    mark_ejected(service, now, found);
    for (option& entry : found)
    {
        entry.skip_reason = local_skip_reason(call, entry);
    }
    // Ejected upstreams are used only when no other upstream is eligible, not when the others are
    // merely busy.
    const auto is_other = [&](const option& entry)
    {
        return !entry.view.is_leaving && !entry.view.is_ejected &&
               !contains(call.tried, entry.view.address);
    };
    if (std::any_of(found.begin(), found.end(), is_other))
        return found;
    for (option& entry : found)
    {
        entry.view.is_ejected = false;
        entry.skip_reason = local_skip_reason(call, entry);
    }
    return found;
}

void dispatcher::state::mark_ejected(service_state& service, core::time_point now,
                                     options& found) const
{
    std::vector<core::address> working;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < found.size(); ++i)
    {
        if (found[i].view.is_leaving)
            continue;
        working.push_back(found[i].view.address);
        indices.push_back(i);
    }
    const std::vector<bool> flags = service.ejection.ejected(working, now);
    for (std::size_t i = 0; i < indices.size(); ++i)
    {
        found[indices[i]].view.is_ejected = flags[i];
    }
}

std::string_view dispatcher::state::local_skip_reason(const call_view& call,
                                                      const option& candidate) const
{
    if (candidate.view.is_leaving)
        return skip_leaving;
    if (contains(call.tried, candidate.view.address))
        return skip_tried;
    if (candidate.view.is_ejected)
        return skip_ejected;
    if (candidate.view.in_flight >= limit_for(call, candidate.view.limit))
        return skip_concurrency;
    return deadline_skip_reason(call, candidate);
}

void dispatcher::state::add_remote_options(service_state& service, const call_view& call,
                                           core::time_point now, options& found)
{
    const call_path path = call.path.with({self.region, self.zone, self.node});
    for (const region_status& status : regions)
    {
        const auto capacity = status.services.find(call.service);
        if (status.region == self.region || capacity == status.services.end())
            continue;
        option entry;
        entry.remote = &status;
        for (const core::zone_id& zone : status.zones)
        {
            if (path.may_enter(status.region, zone))
                entry.zones.push_back(zone);
        }
        const double there =
            capacity->second.latency_ms > 0 ? capacity->second.latency_ms : service.base.value(now);
        entry.expected.total_ms = there + 2 * status.one_way_delay_ms;
        entry.expected.streaming_ms = service.streaming.value(now);
        const auto live = static_cast<double>(std::max<std::size_t>(nodes.size(), 1));
        entry.view.region = status.region;
        entry.view.is_remote = true;
        entry.view.in_flight = service.spill[status.region].sent_since_summary;
        entry.view.limit = static_cast<unsigned>(std::ceil(capacity->second.free_calls / live));
        entry.view.latency_ms = there;
        entry.view.one_way_delay_ms = status.one_way_delay_ms;
        entry.view.cost = capacity->second.cost;
        entry.view.predicted_ms = entry.expected.total_ms;
        entry.skip_reason = region_skip_reason(service, call, entry, now);
        found.push_back(std::move(entry));
    }
}

std::string_view dispatcher::state::region_skip_reason(const service_state& service,
                                                       const call_view& call,
                                                       const option& candidate,
                                                       core::time_point now)
{
    const core::region_id& region = candidate.view.region;
    if (!may_serve(service, call, region))
        return skip_residency;
    if (came_from_other_region(call) || !call.path.may_leave_region() || candidate.zones.empty())
        return skip_path;
    if (contains(call.tried_regions, region))
        return skip_tried;
    const auto spill = service.spill.find(region);
    const bool is_paused = spill != service.spill.end() && now < spill->second.refused_until;
    const bool is_stale = now - regions_updated_at > summary_lifetime;
    if (is_paused || is_stale || candidate.view.in_flight >= candidate.view.limit)
        return skip_region_full;
    const auto budget = budgets.find(region);
    if (budget == budgets.end() || !budget->second.has_for_spill(link_size(call), now))
        return skip_link;
    return deadline_skip_reason(call, candidate);
}

void dispatcher::state::open_attempt(service_state& service, const call_view& call,
                                     const option& chosen, core::time_point now, decision& result)
{
    const attempt_id id{next_attempt++};
    attempts[id.get()] = {.service = call.service,
                          .upstream = chosen.view.address,
                          .region = chosen.view.region,
                          .start = now,
                          .predicted_ms = chosen.expected.total_ms,
                          .wait_ms = chosen.expected.wait_ms,
                          .first_byte = std::nullopt};
    switch (call.kind)
    {
    case attempt_kind::first:
        ++counts.first_attempts;
        extra.on_first_attempt();
        break;
    case attempt_kind::retry:
        ++counts.retries;
        break;
    case attempt_kind::hedge:
        ++counts.hedges;
        break;
    }
    if (chosen.remote != nullptr)
    {
        budgets[chosen.view.region].take_for_spill(link_size(call), now);
        ++service.spill[chosen.view.region].sent_since_summary;
        result.action = send_to_region{id, chosen.view.region, chosen.zones};
        return;
    }
    upstream_state& upstream = service.upstreams.at(chosen.view.address);
    ++upstream.in_flight;
    upstream.waiting[id.get()] = now;
    result.action = use_upstream{id, chosen.view.address, chosen.view.zone};
}

refusal dispatcher::state::refuse_all(const service_state& service, const options& found,
                                      core::random_source& random) const
{
    bool is_any_local = false;
    bool is_too_slow = false;
    double shortest_wait_ms = 0;
    for (const option& entry : found)
    {
        if (entry.view.is_remote || entry.skip_reason == skip_leaving ||
            entry.skip_reason == skip_tried)
            continue;
        is_any_local = true;
        is_too_slow = is_too_slow || entry.skip_reason == skip_deadline;
        const double wait = entry.expected.wait_ms;
        shortest_wait_ms = shortest_wait_ms == 0 ? wait : std::min(shortest_wait_ms, wait);
    }
    if (!is_any_local)
        return make_refusal(refusal_reason::no_upstream,
                            "retry when an upstream of " + service.config.name.get() + " is back",
                            core::seconds{2}, random);
    const core::milliseconds wait{static_cast<long>(shortest_wait_ms)};
    if (is_too_slow)
        return make_refusal(refusal_reason::deadline_too_short, "allow more time",
                            std::max(wait, default_retry_after), random);
    return make_refusal(refusal_reason::overloaded, "retry after the given time",
                        std::max(wait, default_retry_after), random);
}

bool dispatcher::state::has_remote_alternative(service_state& service, const call_view& call,
                                               core::time_point now)
{
    options found;
    add_remote_options(service, call, now, found);
    return std::any_of(found.begin(), found.end(),
                       [](const option& entry) { return entry.skip_reason.empty(); });
}

} // namespace snipeplank::policy
