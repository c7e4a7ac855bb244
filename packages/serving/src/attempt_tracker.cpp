#include "attempt_tracker.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace
{

constexpr unsigned max_doublings = 2;

} // namespace

std::uint64_t attempt_tracker::on_sent(const placement_request& request, const upstream_id& target,
                                       core::time_point now)
{
    open_attempt attempt = begin_attempt(request, now);
    const auto found = m_upstreams.find(target);
    if (found == m_upstreams.end())
        return store(std::move(attempt));
    upstream_state& known = found->second;
    attempt.target = target;
    if (attempt.is_engine)
        attempt.prefill_tokens = prefill_tokens(known, *request.caller);
    attempt.prefill_tokens_before =
        total_prefill_tokens(known, service_of(request.service)) + attempt.prefill_tokens;
    attempt.running_before = total(known).running;
    if (known.own.running == 0)
        known.busy_since = now;
    add(known.own, attempt, 1);
    for (std::size_t i = 0; attempt.is_engine && i + 1 < request.caller->prompt.size(); ++i)
    {
        known.prefixes.add(request.caller->prompt[i].id, request.caller->prompt[i].tokens);
    }
    return store(std::move(attempt));
}

std::uint64_t attempt_tracker::on_sent(const placement_request& request,
                                       const core::region_id& target, core::time_point now)
{
    open_attempt attempt = begin_attempt(request, now);
    attempt.region = target;
    add(m_regions[target].own[request.service], attempt, 1);
    return store(std::move(attempt));
}

void attempt_tracker::on_first_byte(std::uint64_t number, core::time_point now)
{
    const auto found = m_open.find(number);
    if (found == m_open.end() || found->second.has_first_byte)
        return;
    open_attempt& attempt = found->second;
    attempt.has_first_byte = true;
    record_received(attempt, now);
    if (own_load* own = own_load_of(attempt))
    {
        own->waiting = std::max(0.0, own->waiting - 1);
        own->prefill_tokens = std::max(0.0, own->prefill_tokens - attempt.prefill_tokens);
    }
    learn_first_byte(attempt, to_ms(now - attempt.sent));
}

void attempt_tracker::on_pause(std::uint64_t number, double ms, core::time_point now)
{
    const auto found = m_open.find(number);
    if (found == m_open.end() || found->second.target.get().empty())
        return;
    record_received(found->second, now);
    const auto known = m_upstreams.find(found->second.target);
    if (known == m_upstreams.end())
        return;
    learn_pause(known->second, found->second.service, ms, now);
}

void attempt_tracker::on_ended(std::uint64_t number, attempt_end how, core::time_point now)
{
    const auto found = m_open.find(number);
    if (found == m_open.end())
        return;
    const open_attempt attempt = found->second;
    m_open.erase(found);
    if (own_load* own = own_load_of(attempt))
        add(*own, attempt, -1);
    service_state& learned = service_of(attempt.service);
    if (how == attempt_end::answered)
        learn_end(attempt, learned, to_ms(now - attempt.sent));
    if (attempt.target.get().empty())
        return;
    const auto known = m_upstreams.find(attempt.target);
    if (known == m_upstreams.end())
        return;
    const core::address& address = known->second.info.address;
    if (how == attempt_end::answered)
        learned.ejection.on_success(address, now);
    if (how == attempt_end::failed)
        learned.ejection.on_failure(address, now);
    if (how == attempt_end::closed)
    {
        known->second.warmup.on_closed();
        known->second.proof.on_may_have_ended();
    }
    if (how == attempt_end::unreachable || how == attempt_end::closed)
        avoid(known->second, now);
    else
        known->second.failed_connections = 0;
    if (how == attempt_end::answered)
        record_received(attempt, now);
    if (how == attempt_end::rejected)
        known->second.last_received_at = now;
}

void attempt_tracker::set_proven(std::uint64_t number, core::time_point now)
{
    const auto found = m_open.find(number);
    if (found != m_open.end())
        found->second.proven_at = now;
}

void attempt_tracker::avoid(upstream_state& known, core::time_point now)
{
    const unsigned doublings = std::min(known.failed_connections, max_doublings);
    known.avoid_until = now + unreachable_backoff * (1U << doublings);
    ++known.failed_connections;
}

void attempt_tracker::record_received(const open_attempt& attempt, core::time_point now)
{
    const auto found = m_upstreams.find(attempt.target);
    if (found == m_upstreams.end())
        return;
    found->second.last_received_at = now;
    m_pauses.check(now);
    if (attempt.proven_at)
        found->second.proof.on_received(*attempt.proven_at, m_pauses.resumed_at(), now);
}

open_attempt attempt_tracker::begin_attempt(const placement_request& request,
                                            core::time_point now) const
{
    open_attempt attempt;
    attempt.service = request.service;
    attempt.sent = now;
    attempt.is_engine = engine_of(request.service) != nullptr;
    attempt.prefill_tokens = request.caller->prompt_tokens;
    attempt.kv_cache_tokens = request.caller->prompt_tokens + request.caller->max_output_tokens;
    return attempt;
}

std::uint64_t attempt_tracker::store(open_attempt attempt)
{
    m_open[++m_last_number] = std::move(attempt);
    return m_last_number;
}

own_load* attempt_tracker::own_load_of(const open_attempt& attempt)
{
    if (!attempt.region.get().empty())
        return &m_regions[attempt.region].own[attempt.service];
    const auto found = m_upstreams.find(attempt.target);
    return found == m_upstreams.end() ? nullptr : &found->second.own;
}

void attempt_tracker::add(own_load& own, const open_attempt& attempt, double sign)
{
    // An upstream that was removed and added again starts at zero while older attempts still end.
    own.running = std::max(0.0, own.running + sign);
    own.kv_cache_tokens = std::max(0.0, own.kv_cache_tokens + sign * attempt.kv_cache_tokens);
    if (attempt.has_first_byte)
        return;
    own.waiting = std::max(0.0, own.waiting + sign);
    own.prefill_tokens = std::max(0.0, own.prefill_tokens + sign * attempt.prefill_tokens);
}

} // namespace snipeplank::serving
