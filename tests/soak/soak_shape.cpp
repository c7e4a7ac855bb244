#include "soak_shape.hpp"

#include <array>

namespace snipeplank::tests
{

namespace
{

constexpr std::uint64_t first_newer_seed = 5'000;
constexpr std::uint64_t first_release_seed = 90'000;
const std::array<std::string, 3> regions{home_region, "ennstal", "pinzgau"};

soak_shape classic_shape()
{
    const std::string& remote = regions[1];
    soak_shape made;
    made.regions = {home_region, home_region, remote};
    made.servers = {{"m1", "model", home_region}, {"m2", "model", home_region},
                    {"s1", "shop", home_region},  {"s2", "shop", home_region},
                    {"m3", "model", remote},      {"s3", "shop", remote}};
    made.callers = 12;
    return made;
}

/// Services of the servers in turn; `stall` takes over routes that move.
constexpr std::array services{"model", "shop", "model", "shop", "stall"};

/// Streams then take between one and five seconds, and some whole answers a quarter of one.
soak_shape shape_of(std::size_t nodes, std::size_t servers, std::size_t region_count)
{
    constexpr std::array work_ms{60, 250, 120};
    constexpr std::array event_ms{80, 160, 320};
    soak_shape made;
    made.kinds.with_newer = true;
    made.events = 14;
    made.max_attempts = 3;
    // A node must not need repeats for what sound servers do.
    made.retries = {retry_settings::usual_ratio, 3};
    for (std::size_t i = 0; i < nodes; ++i)
    {
        made.regions.push_back(regions.at(i % region_count));
    }
    for (std::size_t i = 0; i < servers; ++i)
    {
        const std::string& region = regions.at(i / services.size() % region_count);
        made.servers.push_back(
            {std::string(services[i % services.size()]).substr(0, 2) + std::to_string(i + 1),
             services[i % services.size()], region, work_ms[i % work_ms.size()],
             event_ms[i % event_ms.size()]});
    }
    made.callers = 24 + nodes;
    return made;
}

} // namespace

soak_shape make_soak_shape(std::uint64_t seed, bool may_be_large)
{
    constexpr std::uint64_t large_period = 5;
    const bool is_large = may_be_large && seed % large_period == 0;
    soak_shape made = classic_shape();
    const std::size_t growth = seed / large_period % 3 * 2;
    if (seed >= first_newer_seed)
        made = is_large ? shape_of(8 + growth, 12 + growth, 3) : shape_of(3, 10, 2);
    if (seed >= first_release_seed)
    {
        constexpr std::chrono::seconds warmup{3};
        made.kinds.with_releases = true;
        for (std::size_t i = 0; i < made.servers.size(); ++i)
        {
            made.servers[i].version = half_of(i) == 0 ? "v1" : "v2";
        }
        made.warmup = warmup;
        // Each node has a share of the bound then.
        made.warmup_rate = static_cast<double>(made.regions.size());
    }
    // Every third seed has planned operations only, for which the guarantees are stricter.
    made.kinds.planned_only = seed % 3 == 0;
    return made;
}

} // namespace snipeplank::tests
