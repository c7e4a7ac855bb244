/// Tests of the load and region tables: leaving upstreams get no work, expired data is not used.

#include <CppUTest/TestHarness.h>
#include <support/fleet_simulation.hpp>

#include <property.hpp>

#include <algorithm>
#include <cstdint>

using namespace snipeplank;
using namespace snipeplank::fleet;
using namespace snipeplank::fleet::tests;

namespace
{

void add_two_regions(fleet_simulation& simulation)
{
    simulation.add_nodes("r1", "z1", 6);
    simulation.add_nodes("r2", "z2", 4);
    simulation.add_upstreams("r1", 8);
    simulation.publish(make_publication(1, 3, "first"));
    simulation.start_all();
    simulation.run(seconds{30});
}

core::address first_upstream(const fleet_simulation& simulation)
{
    return std::find_if(simulation.listed.hosts.begin(), simulation.listed.hosts.end(),
                        [](const host_entry& host) { return host.kind == host_kind::upstream; })
        ->address;
}

} // namespace

TEST_GROUP(tables){};

/// Guards requirement 7: a report of one node must reach its region within 5 s, although the
/// platform's list lags.
TEST(tables, a_leaving_upstream_is_known_to_the_whole_region_within_5_s)
{
    snipeplank::tests::check_property(
        "leaving facts spread",
        []
        {
            fleet_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
            add_two_regions(simulation);
            simulation.faults.loss_percent = *rc::gen::inRange(0U, 15U);
            const core::address upstream = first_upstream(simulation);
            simulation.nodes[0].fleet->report_upstream_leaving(upstream, simulation.now());
            simulation.run(seconds{5});
            for (std::size_t i = 0; i < 6; ++i)
                RC_ASSERT(
                    simulation.nodes[i].fleet->is_upstream_leaving(upstream, simulation.now()));
        });
}

/// Guards against a stale or reversed host list that makes a leaving upstream available too early.
TEST(tables, a_leaving_upstream_stays_leaving_for_60_s_whatever_the_list_says)
{
    load_table table;
    const core::time_point now{seconds{100}};
    CHECK_TRUE(table.report_leaving(7, now));
    CHECK_FALSE(table.report_leaving(7, now + seconds{1}));
    CHECK_TRUE(table.is_leaving(7, now + milliseconds{59'999}));
    CHECK_FALSE(table.is_leaving(7, now + seconds{60}));
}

/// Guards against leaving facts that never expire because each forwarding resets their age.
TEST(tables, a_forwarded_leaving_fact_keeps_its_age)
{
    load_table first;
    load_table second;
    const core::time_point now{seconds{100}};
    first.report_leaving(7, now);
    const auto sent = first.take_leaving(max_gossip_bytes, now + seconds{40});
    LONGS_EQUAL(1, sent.size());
    CHECK_TRUE(second.merge_leaving(sent.front(), now + seconds{40}));
    CHECK_FALSE(second.is_leaving(7, now + seconds{60}));
}

/// Guards against reordered reports that replace newer load data.
TEST(tables, an_older_report_does_not_replace_a_newer_one)
{
    load_table table;
    const core::time_point now{seconds{100}};
    table.merge({7, 1, 5, 50, 0, 0, 0}, now);
    table.merge({7, 1, 4, 40, 0, 0, 0}, now);
    LONGS_EQUAL(50, table.load_of(7, now)->running);
    table.merge({7, 2, 1, 60, 0, 0, 100}, now);
    LONGS_EQUAL(50, table.load_of(7, now)->running);
    CHECK_FALSE(table.load_of(7, now + load_lifetime).has_value());
}

/// Guards against calls to a region from which no summary has arrived for 30 s.
TEST(tables, summaries_of_a_lost_region_age_out)
{
    fleet_simulation simulation(2);
    add_two_regions(simulation);
    for (const auto& member : simulation.nodes)
        LONGS_EQUAL(1, member.fleet->region_summaries(simulation.now()).size());
    simulation.connected = [](const auto& a, const auto& b) { return a.region == b.region; };
    simulation.run(seconds{31});
    for (const auto& member : simulation.nodes)
        LONGS_EQUAL(0, member.fleet->region_summaries(simulation.now()).size());
}

/// Guards the maximum message size, which bounds control traffic.
TEST(tables, no_gossip_message_is_larger_than_the_cap)
{
    fleet_simulation simulation(3);
    simulation.record = true;
    simulation.add_nodes("r1", "z1", 30);
    simulation.add_nodes("r2", "z2", 4);
    simulation.add_upstreams("r1", 200);
    simulation.start_all();
    simulation.run(seconds{20});
    for (std::size_t i = 0; i < 10; ++i)
        simulation.crash(i);
    simulation.run(seconds{10});
    for (const auto& [from, sent] : simulation.recorded)
    {
        if (std::holds_alternative<gossip>(sent.body))
            CHECK_TRUE(estimated_size(sent.body) <= max_gossip_bytes);
    }
}
