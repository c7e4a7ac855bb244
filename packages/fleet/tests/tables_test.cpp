/// Guards facts about upstreams and regions: leaving ones get no work, old ones are not used.

#include <CppUTest/TestHarness.h>
#include <support/test_world.hpp>

#include <property.hpp>

#include <algorithm>
#include <cstdint>

using namespace snipeplank;
using namespace snipeplank::fleet;
using namespace snipeplank::fleet::tests;

namespace
{

void add_two_regions(test_world& world)
{
    world.add_nodes("r1", "z1", 6);
    world.add_nodes("r2", "z2", 4);
    world.add_upstreams("r1", 8);
    world.publish(make_publication(1, 3, "first"));
    world.start_all();
    world.run(seconds{30});
}

core::address first_upstream(const test_world& world)
{
    return std::find_if(world.listed.hosts.begin(), world.listed.hosts.end(),
                        [](const host_entry& host) { return host.kind == host_kind::upstream; })
        ->address;
}

} // namespace

TEST_GROUP(tables){};

/// Guards requirement 7: one node's word reaches the region within 5 s, against a list that lags.
TEST(tables, a_leaving_upstream_is_known_to_the_whole_region_within_5_s)
{
    snipeplank::tests::check_property(
        "leaving facts spread",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            add_two_regions(world);
            world.faults.loss_percent = *rc::gen::inRange(0U, 15U);
            const core::address upstream = first_upstream(world);
            world.nodes[0].fleet->report_upstream_leaving(upstream, world.now());
            world.run(seconds{5});
            for (std::size_t i = 0; i < 6; ++i)
                RC_ASSERT(world.nodes[i].fleet->is_upstream_leaving(upstream, world.now()));
        });
}

/// Guards against a stale or reversed list that brings an address back too early.
TEST(tables, a_leaving_upstream_stays_leaving_for_60_s_whatever_the_list_says)
{
    load_table table;
    const core::time_point now{seconds{100}};
    CHECK_TRUE(table.report_leaving(7, now));
    CHECK_FALSE(table.report_leaving(7, now + seconds{1}));
    CHECK_TRUE(table.is_leaving(7, now + milliseconds{59'999}));
    CHECK_FALSE(table.is_leaving(7, now + seconds{60}));
}

/// Guards against gossip that keeps an old fact alive by passing it on.
TEST(tables, a_leaving_fact_keeps_its_age_on_its_way)
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

/// Guards against calls sent to a region that has not been heard of.
TEST(tables, summaries_of_a_lost_region_age_out)
{
    test_world world(2);
    add_two_regions(world);
    for (const auto& member : world.nodes)
        LONGS_EQUAL(1, member.fleet->region_summaries(world.now()).size());
    world.connected = [](const auto& a, const auto& b) { return a.region == b.region; };
    world.run(seconds{31});
    for (const auto& member : world.nodes)
        LONGS_EQUAL(0, member.fleet->region_summaries(world.now()).size());
}

/// Guards the cap that bounds control traffic.
TEST(tables, no_gossip_message_is_larger_than_the_cap)
{
    test_world world(3);
    world.record = true;
    world.add_nodes("r1", "z1", 30);
    world.add_nodes("r2", "z2", 4);
    world.add_upstreams("r1", 200);
    world.start_all();
    world.run(seconds{20});
    for (std::size_t i = 0; i < 10; ++i)
        world.crash(i);
    world.run(seconds{10});
    for (const auto& [from, sent] : world.recorded)
    {
        if (std::holds_alternative<gossip>(sent.body))
            CHECK_TRUE(estimated_size(sent.body) <= max_gossip_bytes);
    }
}
