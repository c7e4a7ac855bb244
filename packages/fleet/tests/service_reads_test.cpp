/// Guards the configuration service's rate of 2,000 reads a second against the whole fleet.

#include <CppUTest/TestHarness.h>
#include <support/test_world.hpp>

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

void add_fleet(test_world& world)
{
    for (std::size_t zone = 0; zone < zone_count; ++zone)
    {
        const std::size_t count =
            (zone + 1) * node_count / zone_count - zone * node_count / zone_count;
        world.add_nodes("r" + std::to_string(zone % region_count), "z" + std::to_string(zone),
                        count);
    }
}

/// Most reads in one second and reads in all, since virtual time `from`.
std::pair<std::size_t, std::size_t> reads_since(const test_world& world, core::time_point from)
{
    const auto first = std::chrono::duration_cast<seconds>(from.time_since_epoch()).count();
    std::size_t most = 0;
    std::size_t total = 0;
    for (auto entry = world.service.reads_in_second.lower_bound(first);
         entry != world.service.reads_in_second.end(); ++entry)
    {
        most = std::max(most, entry->second);
        total += entry->second;
    }
    return {most, total};
}

} // namespace

TEST_GROUP(service_reads){};

TEST(service_reads, the_fleet_stays_under_its_shares_of_the_service)
{
    constexpr std::size_t steady_seconds = 45;
    test_world world(1);
    world.tick = milliseconds{250};
    add_fleet(world);
    std::uint64_t version = 1;
    world.publish(make_publication(version, section_count, "first"));
    world.start_all();
    world.run(seconds{35});

    const core::time_point steady = world.now();
    for (core::duration at{0}; at < seconds{steady_seconds}; at += change_interval)
    {
        ++version;
        world.at(
            at, [&world, version]
            { world.publish(make_publication(version, section_count, std::to_string(version))); });
    }
    world.run(seconds{steady_seconds});
    const auto [steady_most, steady_total] = reads_since(world, steady);
    std::printf("steady state: %zu reads in %zu s, at most %zu in one second\n", steady_total,
                steady_seconds, steady_most);
    CHECK_TRUE(steady_total < served_per_second * steady_seconds / 10);
    CHECK_TRUE(steady_most < served_per_second / 2);

    const core::time_point outage = world.now();
    std::size_t restarted = 0;
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
    {
        if (world.nodes[i].zone.get() != "z0")
            continue;
        world.restart(i);
        ++restarted;
    }
    world.run(seconds{12});
    const auto [zone_most, zone_total] = reads_since(world, outage);
    std::printf("restart of a zone of %zu: %zu reads in 12 s, at most %zu in one second\n",
                restarted, zone_total, zone_most);
    CHECK_TRUE(zone_most < served_per_second / 2);
    CHECK_TRUE(std::all_of(world.nodes.begin(), world.nodes.end(),
                           [version](const auto& member)
                           { return member.fleet->version_in_force().version.get() == version; }));
}
