#include <snipeplank/policy/residency.hpp>

#include <algorithm>
#include <chrono>

#include "detail/dispatcher_state.hpp"

namespace snipeplank::policy
{

namespace
{

using detail::prediction;
using detail::service_state;
using detail::upstream_state;

/// Assumed cost of a call that waits for its first byte, as a fraction of a cold call: some find a
/// warm cache.
constexpr double pending_fraction = 0.5;
/// An attempt without a first byte raises the prediction once its age exceeds this multiple of the
/// prediction plus the slack.
constexpr double overdue_factor = 2;
constexpr double overdue_slack_ms = 50;

} // namespace

prediction dispatcher::state::predict(const service_state& service, const upstream_state& upstream,
                                      core::time_point now) const
{
    const bool is_measured = upstream.base.samples() > 0;
    double base = upstream.base.value(now);
    if (!is_measured)
        base = service.base.value(now) + 2 * upstream.status.one_way_delay_ms;
    // Differences below the service's median delay come from the prompts, not from the upstream.
    // Using them would send every call to the upstream with the shortest recent prompts.
    base = std::max(base, service.median_unqueued_ms);
    prediction expected;
    expected.streaming_ms = upstream.streaming.samples() > 0 ? upstream.streaming.value(now)
                                                             : service.streaming.value(now);
    if (upstream.has_report)
    {
        const double slots = std::max(upstream.limit.slots(), 1.0);
        const double total = upstream.limit.others() + upstream.in_flight;
        const double queue = std::max(0.0, total + 1 - slots);
        expected.wait_ms = queue * (base + expected.streaming_ms) / slots;
    }
    // An engine runs prefills one after another, so each call that waits for its first byte delays
    // the next. Each of the other nodes is assumed to have as many such calls there as this one.
    const auto pending = static_cast<double>(upstream.waiting.size() * nodes.size());
    expected.wait_ms += pending * std::max(base, pending_fraction * service.cold_ms);
    expected.total_ms = base + expected.wait_ms;
    if (!upstream.waiting.empty())
    {
        const auto age = now - upstream.waiting.begin()->second;
        const double age_ms = std::chrono::duration<double, std::milli>(age).count();
        // A hung upstream yields no samples, so the age of the oldest waiting call is used instead.
        if (age_ms > overdue_factor * expected.total_ms + overdue_slack_ms)
        {
            expected.wait_ms += age_ms - expected.total_ms;
            expected.total_ms = age_ms;
        }
    }
    return expected;
}

bool dispatcher::state::has_alternative(const service_state& service, const call_view& call,
                                        core::time_point now, bool needs_spare_capacity) const
{
    for (const auto& [address, upstream] : service.upstreams)
    {
        if (!upstream.is_listed || is_leaving(upstream, now) ||
            std::find(call.tried.begin(), call.tried.end(), address) != call.tried.end())
            continue;
        const unsigned limit = upstream.ramp.apply(upstream.limit.limit(now), now);
        // A hedge would delay calls that wait for their first byte at the same upstream.
        if (!needs_spare_capacity || (upstream.waiting.empty() && 2 * upstream.in_flight < limit))
            return true;
    }
    return false;
}

bool dispatcher::state::is_leaving(const upstream_state& upstream, core::time_point now) const
{
    // The platform may publish the list only once, so a leaving entry outlasts the mark's 60 s.
    return upstream.status.is_leaving || leaving.is_leaving(upstream.status.address, now);
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

bool dispatcher::state::may_serve(const service_state& service, const call_view& call,
                                  const core::region_id& region) const
{
    const settings::residency binding = stricter_of(call.residency, service.config.residency);
    if (!may_be_served_in(binding, home_of(call), region))
        return false;
    return call.newest_home.get().empty() || may_be_served_in(binding, call.newest_home, region);
}

} // namespace snipeplank::policy
