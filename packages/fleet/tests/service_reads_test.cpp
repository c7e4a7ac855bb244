/// Tests that the whole fleet stays under the configuration service's 2,000 reads a second.

#include <CppUTest/TestHarness.h>
#include <support/fleet_simulation.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

using namespace snipeplank;
using namespace snipeplank::fleet;
using namespace snipeplank::fleet::tests;

namespace
{

constexpr std::size_t region_count = 21;
constexpr std::size_t zone_count = 48;
constexpr std::size_t node_count = 790;
constexpr std::size_t section_count = 135;
constexpr std::size_t served_per_second = 2'000;
constexpr milliseconds change_interval{15'158}; ///< 5,700 a day

void add_fleet(fleet_simulation& simulation)
{
    for (std::size_t zone = 0; zone < zone_count; ++zone)
    {
        const std::size_t count =
            (zone + 1) * node_count / zone_count - zone * node_count / zone_count;
        simulation.add_nodes("r" + std::to_string(zone % region_count), "z" + std::to_string(zone),
                             count);
    }
}

/// Maximum reads in one second and total reads, since virtual time `from`.
std::pair<std::size_t, std::size_t> reads_since(const fleet_simulation& simulation,
                                                core::time_point from)
{
    const auto first = std::chrono::duration_cast<seconds>(from.time_since_epoch()).count();
    std::size_t max_per_second = 0;
    std::size_t total = 0;
    for (auto entry = simulation.service.reads_in_second.lower_bound(first);
         entry != simulation.service.reads_in_second.end(); ++entry)
    {
        max_per_second = std::max(max_per_second, entry->second);
        total += entry->second;
    }
    return {max_per_second, total};
}

} // namespace

TEST_GROUP(service_reads){};

/// Guards against reads that overload the service in steady state or when a zone restarts.
TEST(service_reads, the_fleet_stays_under_its_shares_of_the_service)
{
    constexpr std::size_t steady_seconds = 45;
    fleet_simulation simulation(1);
    simulation.tick = milliseconds{250};
    add_fleet(simulation);
    std::uint64_t version = 1;
    simulation.publish(make_publication(version, section_count, "first"));
    simulation.start_all();
    simulation.run(seconds{35});

    const core::time_point steady = simulation.now();
    for (core::duration at{0}; at < seconds{steady_seconds}; at += change_interval)
    {
        ++version;
        simulation.at(at,
                      [&simulation, version] {
                          simulation.publish(
                              make_publication(version, section_count, std::to_string(version)));
                      });
    }
    simulation.run(seconds{steady_seconds});
    const auto [steady_max, steady_total] = reads_since(simulation, steady);
    std::printf("steady state: %zu reads in %zu s, at most %zu in one second\n", steady_total,
                steady_seconds, steady_max);
    CHECK_TRUE(steady_total < served_per_second * steady_seconds / 10);
    CHECK_TRUE(steady_max < served_per_second / 2);

    const core::time_point outage = simulation.now();
    std::size_t restarted = 0;
    for (std::size_t i = 0; i < simulation.nodes.size(); ++i)
    {
        if (simulation.nodes[i].zone.get() != "z0")
            continue;
        simulation.restart(i);
        ++restarted;
    }
    simulation.run(seconds{12});
    const auto [zone_max, zone_total] = reads_since(simulation, outage);
    std::printf("restart of a zone of %zu: %zu reads in 12 s, at most %zu in one second\n",
                restarted, zone_total, zone_max);
    CHECK_TRUE(zone_max < served_per_second / 2);
    CHECK_TRUE(std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                           [version](const auto& member)
                           { return member.fleet->version_in_force().version.get() == version; }));
}
