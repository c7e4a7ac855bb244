#include "scenarios.hpp"

#include <cmath>
#include <numbers>

namespace snipeplank::bench
{

namespace
{

/// Weights for the two users of the design page: Hallstein favours tail latency, Tamarack low cost
/// and a small share of calls to other regions.
constexpr settings::routing_weights hallstein{1.0, 0.1, 0.05};

constexpr settings::routing_weights tamarack{1.0, 1.0, 0.3};

/// Calls per second at which the six engines of a region are about full with warm caches.
constexpr double region_capacity = 60;
constexpr double usual_load = 0.5 * region_capacity;

double usual_rate(std::size_t, double)
{
    return usual_load;
}

/// No fault; the reference for the other scenarios.
scenario steady()
{
    scenario plan;
    plan.name = "steady";
    plan.weights = hallstein;
    plan.rate = usual_rate;
    return plan;
}

scenario slow_engine()
{
    scenario plan;
    plan.name = "slow_engine";
    plan.weights = hallstein;
    plan.rate = usual_rate;
    plan.measure_from_ms = 15'000;
    plan.script = [](run& state)
    {
        constexpr double from_ms = 15'000;
        constexpr double factor = 10;
        state.time.after(from_ms, [&state] { state.engines[0].set_slowness(factor); });
    };
    return plan;
}

constexpr double step_from_ms = 20'000;
constexpr double step_to_ms = 40'000;

/// All regions at a multiple of their capacity for 20 s.
scenario load_step(const std::string& name, double times_capacity)
{
    scenario plan;
    plan.name = name;
    plan.weights = hallstein;
    plan.rate = [times_capacity](std::size_t, double now)
    {
        const bool is_step = now >= step_from_ms && now < step_to_ms;
        return is_step ? times_capacity * region_capacity : usual_load;
    };
    plan.measure_from_ms = step_from_ms;
    plan.measure_to_ms = step_to_ms;
    return plan;
}

/// Region 0 is cut off for 20 s and returns with empty caches; the backlog of its callers then
/// loads it to its capacity for 10 s.
scenario cold_return()
{
    scenario plan;
    plan.name = "cold_return";
    plan.weights = hallstein;
    plan.rate = [](std::size_t region, double now)
    {
        constexpr double backlog_ms = 10'000;
        const bool is_backlog = region == 0 && now >= step_to_ms && now < step_to_ms + backlog_ms;
        return is_backlog ? region_capacity : usual_load;
    };
    plan.end_ms = 70'000;
    plan.measure_from_ms = step_to_ms;
    plan.measure_to_ms = 60'000;
    plan.script = [](run& state)
    {
        state.time.after(step_from_ms, [&state] { state.is_cut_off[0] = true; });
        state.time.after(step_to_ms,
                         [&state]
                         {
                             state.is_cut_off[0] = false;
                             for (std::size_t i = 0; i < state.topology.engines_per_region; ++i)
                             {
                                 state.engines[i].drop_cache();
                             }
                         });
    };
    return plan;
}

/// Load reports repeat their last values for 10 s while the load doubles.
scenario frozen_reports()
{
    constexpr double frozen_from_ms = 20'000;
    constexpr double frozen_to_ms = 30'000;
    scenario plan;
    plan.name = "frozen_reports";
    plan.weights = hallstein;
    plan.rate = [](std::size_t, double now)
    {
        const bool is_step = now >= frozen_from_ms && now < frozen_to_ms;
        return is_step ? 2 * usual_load : usual_load;
    };
    plan.measure_from_ms = frozen_from_ms;
    plan.measure_to_ms = step_to_ms;
    plan.script = [](run& state)
    {
        state.time.after(frozen_from_ms, [&state] { state.are_reports_frozen = true; });
        state.time.after(frozen_to_ms, [&state] { state.are_reports_frozen = false; });
    };
    return plan;
}

/// Callers repeat a call 100 ms after a refusal and after 3 s without an answer, at 1.5 times the
/// capacity.
scenario eager_callers()
{
    constexpr double times_capacity = 1.5;
    scenario plan = load_step("eager_callers", times_capacity);
    plan.callers_retry_eagerly = true;
    return plan;
}

/// Two of the six engines of region 0 fail; the host list shows it 5 s later.
scenario third_lost()
{
    constexpr double list_lag_ms = 5'000;
    scenario plan;
    plan.name = "third_lost";
    plan.weights = hallstein;
    plan.rate = usual_rate;
    plan.measure_from_ms = step_from_ms;
    plan.measure_to_ms = step_to_ms;
    plan.script = [](run& state)
    {
        state.time.after(step_from_ms,
                         [&state]
                         {
                             state.engines[0].fail();
                             state.engines[1].fail();
                         });
        state.time.after(step_from_ms + list_lag_ms, [&state] { state.publish_engines(); });
    };
    return plan;
}

/// A day shortened to two minutes; the regions' peaks exceed their capacity one after the other.
scenario daily_peak()
{
    constexpr double day_ms = 120'000;
    constexpr double mean_load = 0.65 * region_capacity;
    constexpr double swing = 0.6;
    scenario plan;
    plan.name = "daily_peak";
    plan.weights = tamarack;
    plan.end_ms = 10'000 + day_ms;
    plan.measure_to_ms = plan.end_ms;
    plan.rate = [](std::size_t region, double now)
    {
        const double phase = now / day_ms + static_cast<double>(region) / 3;
        return mean_load * (1 + swing * std::sin(2 * std::numbers::pi * phase));
    };
    return plan;
}

} // namespace

std::vector<scenario> make_scenarios()
{
    constexpr double burst = 5;
    return {steady(),      slow_engine(),    load_step("capacity", 1), load_step("burst", burst),
            cold_return(), frozen_reports(), eager_callers(),          third_lost(),
            daily_peak()};
}

} // namespace snipeplank::bench
