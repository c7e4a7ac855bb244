#include "scenes.hpp"

namespace snipeplank::bench
{

namespace
{

/// Weights in the spirit of the two users of the design page: tail latency, and cost and share
/// sent to another region.
constexpr settings::routing_weights hallstein{1.0, 0.1, 0.2};

/// Calls per second at which the six engines of a region are about full with warm caches.
constexpr double region_capacity = 60;
constexpr double usual_load = 0.5 * region_capacity;

double usual_rate(std::size_t, double)
{
    return usual_load;
}

/// No fault: the reference for the others.
scene steady()
{
    scene plan;
    plan.name = "steady";
    plan.weights = hallstein;
    plan.rate = usual_rate;
    return plan;
}

scene slow_engine()
{
    scene plan;
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

} // namespace

std::vector<scene> make_scenes()
{
    return {steady(), slow_engine()};
}

} // namespace snipeplank::bench
