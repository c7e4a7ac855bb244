#include "load_model.hpp"

#include <algorithm>
#include <cmath>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace
{

/// Prefilling a prompt delays each running stream of the server. This fraction of the sum of the
/// delays is added to the cost of the request.
constexpr double interference_weight = 0.1;
/// Each decoding step reads the KV cache of all running requests. A full cache adds this much to
/// the cost.
constexpr double full_kv_cache_ms = 200;
/// Half-life of the measured excess of pauses while there is no new sample.
constexpr core::milliseconds pause_half_life{700};
/// A prompt that takes longer than this to prefill noticeably delays concurrent streams.
constexpr double long_prompt_ms = 60;
/// Extra cost for short prompts at the upstream where long prompts are concentrated.
constexpr double long_prompt_upstream_penalty_ms = 40;
/// Silence beyond this time adds to the cost of an upstream that has requests.
constexpr core::milliseconds normal_silence{400};

/// Moves an estimate of the minimum towards a sample, faster for samples below it.
void update_floor(double& floor, double sample, double weight_above = 0.01)
{
    constexpr double weight_below = 0.3;
    floor += (sample < floor ? weight_below : weight_above) * (sample - floor);
}

/// Exponential moving average.
void update_mean(double& mean, double sample)
{
    constexpr double weight = 0.05;
    mean += weight * (sample - mean);
}

/// Prompt tokens that other prompts may share: all parts but the last.
double shared_tokens(const caller_request& caller)
{
    double sum = 0;
    for (std::size_t i = 0; i + 1 < caller.prompt.size(); ++i)
    {
        sum += caller.prompt[i].tokens;
    }
    return sum;
}

} // namespace

core::duration load_model::silence(const upstream_state& known, core::time_point now) const
{
    if (known.own.running == 0)
        return core::duration{0};
    return now - std::max(known.last_received_at, known.busy_since);
}

const engine_size* load_model::engine_of(const core::service_id& name) const
{
    const service* offered = m_table ? m_table->find_service(name) : nullptr;
    return offered != nullptr && offered->engine ? &*offered->engine : nullptr;
}

peer_load load_model::total(const upstream_state& known) const
{
    peer_load sum{known.own.running, known.own.waiting};
    for (const auto& [peer, report] : m_peers)
    {
        const auto found = report.loads.find(known.key);
        if (found == report.loads.end())
            continue;
        sum.running += found->second.running;
        sum.waiting += found->second.waiting;
    }
    return sum;
}

double load_model::total_prefill_tokens(const upstream_state& known,
                                        const service_state& learned) const
{
    const double others_waiting = total(known).waiting - known.own.waiting;
    return known.own.prefill_tokens + others_waiting * learned.prefill_tokens;
}

double load_model::prefill_tokens(const upstream_state& known, const caller_request& caller) const
{
    double prefill = caller.prompt_tokens;
    if (known.info.id == m_affinity_owner)
        return std::max(0.0, prefill - shared_tokens(caller));
    for (std::size_t i = 0; i + 1 < caller.prompt.size(); ++i)
    {
        if (!known.prefixes.contains(caller.prompt[i].id))
            break;
        prefill -= caller.prompt[i].tokens;
    }
    return std::max(0.0, prefill);
}

double load_model::kv_cache_usage(const upstream_state& known, const placement_request& request)
{
    const engine_size* engine = engine_of(request.service);
    if (engine == nullptr || engine->cache_tokens <= 0)
        return 0;
    const double others = total(known).running - known.own.running;
    const double all = known.own.kv_cache_tokens +
                       others * service_of(request.service).kv_cache_tokens +
                       request.caller->prompt_tokens + request.caller->max_output_tokens;
    return all / engine->cache_tokens;
}

double load_model::predict(const upstream_state& known, const placement_request& request)
{
    const service_state& learned = service_of(request.service);
    const peer_load all = total(known);
    const engine_size* engine = engine_of(request.service);
    if (engine == nullptr)
    {
        const double slots = std::max(1U, known.info.slots);
        return learned.work_ms * std::max(1.0, (all.running + 1) / slots);
    }
    const double slots = std::max(1U, engine->slots);
    const double prefill =
        total_prefill_tokens(known, learned) + prefill_tokens(known, *request.caller);
    double ms = learned.base_ms + prefill * learned.ms_per_token;
    if (all.running >= slots)
        ms += (all.running - slots + 1) / slots * learned.duration_ms;
    const double cache_usage = kv_cache_usage(known, request);
    if (cache_usage > 1)
        ms += (cache_usage - 1) * learned.duration_ms;
    return ms;
}

double load_model::own_ms(const upstream_state& known, const placement_request& request)
{
    if (engine_of(request.service) == nullptr)
        return 0;
    return prefill_tokens(known, *request.caller) * service_of(request.service).ms_per_token;
}

double load_model::own_ms(const placement_request& request)
{
    if (engine_of(request.service) == nullptr)
        return 0;
    return request.caller->prompt_tokens * service_of(request.service).ms_per_token;
}

double load_model::interference(const upstream_state& known, const placement_request& request,
                                const upstream_id& long_prompt_upstream)
{
    const service_state& learned = service_of(request.service);
    if (engine_of(request.service) == nullptr)
        return 0;
    const double prefill_ms = prefill_tokens(known, *request.caller) * learned.ms_per_token;
    const bool is_long = prefill_ms > long_prompt_ms;
    const double stream_delay_ms = total(known).running * prefill_ms * interference_weight;
    return stream_delay_ms + kv_cache_usage(known, request) * full_kv_cache_ms +
           (!is_long && known.info.id == long_prompt_upstream ? long_prompt_upstream_penalty_ms
                                                              : 0);
}

double load_model::silence_excess(const upstream_state& known, core::time_point now) const
{
    return std::max(0.0, to_ms(silence(known, now) - normal_silence));
}

double load_model::pause_excess(const upstream_state& known, const core::service_id& name,
                                core::time_point now)
{
    const double age = to_ms(now - known.pause_measured_at) / to_ms(pause_half_life);
    return std::max(0.0, known.pause_ms - service_of(name).baseline_pause_ms) * std::exp2(-age);
}

double load_model::region_interference(const region_load& load, const placement_request& request)
{
    const engine_size* engine = engine_of(request.service);
    if (engine == nullptr || engine->cache_tokens <= 0)
        return 0;
    const service_state& learned = service_of(request.service);
    const double running = load.running / load.upstreams;
    const double prefill_ms = request.caller->prompt_tokens * learned.ms_per_token;
    return running * prefill_ms * interference_weight +
           running * learned.kv_cache_tokens / engine->cache_tokens * full_kv_cache_ms;
}

double load_model::predict(const region_state& known, const region_load& load,
                           const placement_request& request)
{
    const service_state& learned = service_of(request.service);
    const auto found = known.own.find(request.service);
    const own_load sent = found == known.own.end() ? own_load{} : found->second;
    const double each = 1.0 / load.upstreams;
    const double running = (load.running + sent.running) * each;
    const double waiting = (load.waiting + sent.waiting) * each;
    const engine_size* engine = engine_of(request.service);
    if (engine == nullptr)
    {
        constexpr double assumed_slots = 4;
        return known.round_trip_ms + learned.work_ms * std::max(1.0, (running + 1) / assumed_slots);
    }
    const double slots = std::max(1U, engine->slots);
    double ms =
        known.round_trip_ms + learned.base_ms +
        (waiting * learned.prefill_tokens + request.caller->prompt_tokens) * learned.ms_per_token;
    if (running >= slots)
        ms += (running - slots + 1) / slots * learned.duration_ms;
    return ms;
}

void load_model::learn_first_byte(const open_attempt& attempt, double ms)
{
    service_state& learned = service_of(attempt.service);
    if (!attempt.region.get().empty())
    {
        update_floor(m_regions[attempt.region].round_trip_ms, ms);
        return;
    }
    if (!attempt.is_engine)
        return;
    constexpr double min_tokens = 500;
    constexpr double min_ms_per_token = 0.0005;
    constexpr double max_ms_per_token = 0.2;
    update_floor(learned.base_ms, ms);
    update_mean(learned.prefill_tokens, attempt.prefill_tokens);
    if (attempt.prefill_tokens_before < min_tokens)
        return;
    const double sample = std::max(0.0, ms - learned.base_ms) / attempt.prefill_tokens_before;
    update_mean(learned.ms_per_token, std::clamp(sample, min_ms_per_token, max_ms_per_token));
}

void load_model::learn_end(const open_attempt& attempt, service_state& learned, double ms)
{
    if (!attempt.region.get().empty())
        return;
    update_mean(learned.duration_ms, ms);
    update_mean(learned.kv_cache_tokens, attempt.kv_cache_tokens);
    const auto known = m_upstreams.find(attempt.target);
    if (attempt.is_engine || known == m_upstreams.end())
        return;
    const double slots = std::max(1U, known->second.info.slots);
    update_mean(learned.work_ms, ms / std::max(1.0, (attempt.running_before + 1) / slots));
}

service_state& load_model::service_of(const core::service_id& name)
{
    return m_services.try_emplace(name, m_retries).first->second;
}

void load_model::learn_pause(upstream_state& known, const core::service_id& name, double ms,
                             core::time_point now)
{
    service_state& learned = service_of(name);
    if (learned.baseline_pause_ms == 0)
        learned.baseline_pause_ms = ms;
    constexpr double pause_weight_above = 0.0005; // small, since each event gives a sample
    update_floor(learned.baseline_pause_ms, ms, pause_weight_above);
    known.pause_ms = learned.baseline_pause_ms + pause_excess(known, name, now);
    update_mean(known.pause_ms, ms);
    known.pause_measured_at = now;
}

} // namespace snipeplank::serving
