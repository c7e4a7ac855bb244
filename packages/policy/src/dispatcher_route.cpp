#include <snipeplank/policy/adaptive_policy.hpp>
#include <snipeplank/policy/residency.hpp>
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

/// Part of each limit that batch work may fill, so that it is refused before interactive work.
constexpr double batch_part = 0.7;
/// Batch work may use this part of its remaining time for queueing.
constexpr double batch_wait_part = 0.5;
/// A call that waits for its first byte is taken to cost this part of a cold one: some are warm.
constexpr double pending_part = 0.5;
/// An attempt without a first byte counts once it is this many times over its prediction.
constexpr double overdue_factor = 2;
constexpr double overdue_slack_ms = 50;
/// Summaries of other regions are aged out like the region table's (design page, section 3).
constexpr core::seconds summary_lifetime{30};
/// A call that does not state its size still costs headers and an answer.
constexpr core::bytes least_call_size{2'048};
constexpr core::milliseconds default_retry_after{500};
/// An idle upstream whose latest sample is older than this takes one call whatever was predicted:
/// after a stall, no other sample would ever correct the estimate.
constexpr core::seconds probe_interval{1};

constexpr std::string_view obstacle_leaving = "leaving";
constexpr std::string_view obstacle_tried = "tried";
constexpr std::string_view obstacle_ejected = "ejected";
constexpr std::string_view obstacle_concurrency = "concurrency";
constexpr std::string_view obstacle_queue = "deadline_queue";
constexpr std::string_view obstacle_deadline = "deadline";
constexpr std::string_view obstacle_link = "link_budget";
constexpr std::string_view obstacle_path = "path";
constexpr std::string_view obstacle_residency = "residency";
constexpr std::string_view obstacle_region_full = "region_full";

template <typename Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

core::bytes link_size(const call_view& call)
{
    return std::max(call.size, least_call_size);
}

double remaining_ms(const call_view& call)
{
    return static_cast<double>(call.remaining.count());
}

unsigned limit_for(const call_view& call, unsigned limit)
{
    if (call.priority == call_priority::interactive)
        return limit;
    return std::max(1U, static_cast<unsigned>(limit * batch_part));
}

/// Refusals for time: the answer must fit into what is left. Without queueing only the first byte
/// is compared, because the length of the answer is a guess.
std::string_view deadline_obstacle(const call_view& call, const option& candidate)
{
    if (candidate.is_probe)
        return {};
    const prediction& expected = candidate.expected;
    const double left = remaining_ms(call);
    if (expected.total_ms - expected.wait_ms > left)
        return obstacle_deadline;
    if (expected.wait_ms <= 0)
        return {};
    if (expected.total_ms + expected.hold_ms > left)
        return obstacle_queue;
    if (call.priority == call_priority::batch && expected.wait_ms > batch_wait_part * left)
        return obstacle_queue;
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
            .passed_over = std::string(entry.obstacle)};
}

void describe_all(const std::vector<option>& found, const std::vector<std::size_t>& order,
                  const settings::routing_weights& weights, decision& result)
{
    for (const bool is_usable : {true, false})
    {
        for (const std::size_t index : order)
        {
            if (found[index].obstacle.empty() != is_usable)
                continue;
            result.candidates.push_back(describe(found[index], weights));
        }
    }
    for (const option& entry : found)
    {
        // Leaving upstreams are never ranked.
        if (entry.view.is_leaving)
            result.candidates.push_back(describe(entry, weights));
        std::string name(entry.obstacle);
        if (!name.empty() && !contains(result.limits_met, name))
            result.limits_met.push_back(std::move(name));
    }
}

} // namespace

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
    add_away_options(service, call, now, found);
    std::vector<upstream_view> views;
    views.reserve(found.size());
    for (const option& entry : found)
    {
        views.push_back(entry.view);
    }
    const std::vector<std::size_t> order = policy->rank(call, views, random);
    describe_all(found, order, weights, result);
    const auto is_usable = [&](std::size_t index) { return found[index].obstacle.empty(); };
    const auto chosen = std::find_if(order.begin(), order.end(), is_usable);
    if (chosen == order.end())
    {
        result.action = refuse_all(service, found, random);
        return result;
    }
    commit(service, call, found[*chosen], now, result);
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
    const core::region_id home = home_of(call);
    if (!may_be_served_in(call.residency, home, self.region))
        return make_final_refusal(refusal_reason::wrong_region,
                                  "use an entry point of the home region " + home.get());
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
        if (service.ejection.take_return(address, now))
        {
            upstream.base.forget();
            upstream.ramp.begin(slow_start::part_after_ejection, now);
        }
        option entry;
        entry.expected = predict(service, upstream, now);
        entry.view.address = address;
        entry.view.region = upstream.facts.region;
        entry.view.zone = upstream.facts.zone;
        entry.view.is_leaving = is_leaving(upstream, now);
        entry.view.in_flight = upstream.in_flight;
        entry.view.reported_load =
            static_cast<unsigned>(upstream.limit.others()) + upstream.in_flight;
        entry.view.limit = upstream.ramp.apply(upstream.limit.limit(now), now);
        entry.view.latency_ms = upstream.base.value(now);
        entry.view.one_way_delay_ms = upstream.facts.one_way_delay_ms;
        entry.view.cost = upstream.facts.cost;
        entry.view.predicted_ms = entry.expected.total_ms;
        entry.view.warm_saving_ms = service.cold_ms;
        entry.is_probe =
            upstream.in_flight == 0 && now - upstream.base.last_sample() > probe_interval;
        found.push_back(std::move(entry));
    }
    mark_ejected(service, now, found);
    for (option& entry : found)
    {
        entry.obstacle = obstacle_to_local(call, entry);
    }
    // Ejected upstreams are the last resort of a region: used when no other can take the call at
    // all, not when the others are merely busy.
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
        entry.obstacle = obstacle_to_local(call, entry);
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

std::string_view dispatcher::state::obstacle_to_local(const call_view& call,
                                                      const option& candidate) const
{
    if (candidate.view.is_leaving)
        return obstacle_leaving;
    if (contains(call.tried, candidate.view.address))
        return obstacle_tried;
    if (candidate.view.is_ejected)
        return obstacle_ejected;
    if (candidate.view.in_flight >= limit_for(call, candidate.view.limit))
        return obstacle_concurrency;
    return deadline_obstacle(call, candidate);
}

void dispatcher::state::add_away_options(service_state& service, const call_view& call,
                                         core::time_point now, options& found)
{
    const call_path path = call.path.with({self.region, self.zone, self.node});
    for (const region_facts& facts : regions)
    {
        const auto capacity = facts.services.find(call.service);
        if (facts.region == self.region || capacity == facts.services.end())
            continue;
        option entry;
        entry.away = &facts;
        for (const core::zone_id& zone : facts.zones)
        {
            if (path.may_enter(facts.region, zone))
                entry.zones.push_back(zone);
        }
        const double there =
            capacity->second.latency_ms > 0 ? capacity->second.latency_ms : service.base.value(now);
        entry.expected.total_ms = there + 2 * facts.one_way_delay_ms;
        entry.expected.hold_ms = service.hold.value(now);
        const auto live = static_cast<double>(std::max<std::size_t>(nodes.size(), 1));
        entry.view.region = facts.region;
        entry.view.is_away = true;
        entry.view.in_flight = service.spill[facts.region].sent_since_summary;
        entry.view.limit = static_cast<unsigned>(std::ceil(capacity->second.free_calls / live));
        entry.view.latency_ms = there;
        entry.view.one_way_delay_ms = facts.one_way_delay_ms;
        entry.view.cost = capacity->second.cost;
        entry.view.predicted_ms = entry.expected.total_ms;
        entry.obstacle = obstacle_to_region(service, call, entry, now);
        found.push_back(std::move(entry));
    }
}

std::string_view dispatcher::state::obstacle_to_region(const service_state& service,
                                                       const call_view& call,
                                                       const option& candidate,
                                                       core::time_point now)
{
    const core::region_id& region = candidate.view.region;
    if (!may_be_served_in(call.residency, home_of(call), region))
        return obstacle_residency;
    if (came_from_other_region(call) || !call.path.may_leave_region() || candidate.zones.empty())
        return obstacle_path;
    if (contains(call.tried_regions, region))
        return obstacle_tried;
    const auto spill = service.spill.find(region);
    const bool is_paused = spill != service.spill.end() && now < spill->second.refused_until;
    const bool is_aged = now - regions_at > summary_lifetime;
    if (is_paused || is_aged || candidate.view.in_flight >= candidate.view.limit)
        return obstacle_region_full;
    const auto budget = budgets.find(region);
    if (budget == budgets.end() || !budget->second.has_for_spill(link_size(call), now))
        return obstacle_link;
    return deadline_obstacle(call, candidate);
}

void dispatcher::state::commit(service_state& service, const call_view& call, const option& chosen,
                               core::time_point now, decision& result)
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
    if (chosen.away != nullptr)
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
        if (entry.view.is_away || entry.obstacle == obstacle_leaving ||
            entry.obstacle == obstacle_tried)
            continue;
        is_any_local = true;
        is_too_slow = is_too_slow || entry.obstacle == obstacle_deadline;
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

prediction dispatcher::state::predict(const service_state& service, const upstream_state& upstream,
                                      core::time_point now) const
{
    const bool is_measured = upstream.base.samples() > 0;
    double base = upstream.base.value(now);
    if (!is_measured)
        base = service.base.value(now) + 2 * upstream.facts.one_way_delay_ms;
    // Differences below the service's usual delay come from the prompts, not from the upstream;
    // following them sends every call to the upstream that was lucky last.
    base = std::max(base, service.typical_ms);
    prediction expected;
    expected.hold_ms =
        upstream.hold.samples() > 0 ? upstream.hold.value(now) : service.hold.value(now);
    if (upstream.has_report)
    {
        const double slots = std::max(upstream.limit.slots(), 1.0);
        const double total = upstream.limit.others() + upstream.in_flight;
        const double queue = std::max(0.0, total + 1 - slots);
        expected.wait_ms = queue * (base + expected.hold_ms) / slots;
    }
    // Prefill is serial in an engine: each call that waits for its first byte delays the next. The
    // other nodes are taken to have as many such calls there as this one.
    const auto pending = static_cast<double>(upstream.waiting.size() * nodes.size());
    expected.wait_ms += pending * std::max(base, pending_part * service.cold_ms);
    expected.total_ms = base + expected.wait_ms;
    if (!upstream.waiting.empty())
    {
        const auto age = now - upstream.waiting.begin()->second;
        const double age_ms = std::chrono::duration<double, std::milli>(age).count();
        // A hung upstream sends no samples; the oldest unanswered call shows it.
        if (age_ms > overdue_factor * expected.total_ms + overdue_slack_ms)
        {
            expected.wait_ms += age_ms - expected.total_ms;
            expected.total_ms = age_ms;
        }
    }
    return expected;
}

bool dispatcher::state::has_alternative(const service_state& service, const call_view& call,
                                        core::time_point now, bool needs_spare) const
{
    for (const auto& [address, upstream] : service.upstreams)
    {
        if (!upstream.is_listed || is_leaving(upstream, now) || contains(call.tried, address))
            continue;
        const unsigned limit = upstream.ramp.apply(upstream.limit.limit(now), now);
        // A hedge to an upstream with calls waiting for their first byte delays them.
        if (!needs_spare || (upstream.waiting.empty() && 2 * upstream.in_flight < limit))
            return true;
    }
    return false;
}

bool dispatcher::state::has_away_alternative(service_state& service, const call_view& call,
                                             core::time_point now)
{
    options found;
    add_away_options(service, call, now, found);
    return std::any_of(found.begin(), found.end(),
                       [](const option& entry) { return entry.obstacle.empty(); });
}

bool dispatcher::state::is_leaving(const upstream_state& upstream, core::time_point now) const
{
    // The list may be published once only, so its last word holds beyond the mark.
    return upstream.facts.is_leaving || leaving.is_leaving(upstream.facts.address, now);
}

bool dispatcher::state::came_from_other_region(const call_view& call) const
{
    return !call.path.empty() && call.path.hops().front().region != self.region;
}

core::region_id dispatcher::state::home_of(const call_view& call) const
{
    if (!call.home.get().empty())
        return call.home;
    // A call without a home belongs to the region where it entered.
    return call.path.empty() ? self.region : call.path.hops().front().region;
}

} // namespace snipeplank::policy
