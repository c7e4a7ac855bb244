/// Tests how many nodes share a bound: nodes that start together, are cut off, or know a part of
/// the others only.

#include <CppUTest/TestHarness.h>

#include "../src/node_count_estimate.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

namespace
{

const core::time_point start{std::chrono::hours{1}};
const core::region_id home{"home"};
const core::region_id remote{"away"};

} // namespace

TEST_GROUP(node_count_estimate)
{
    node_count_estimate subject{home};

    void setup() override
    {
        subject = node_count_estimate(home);
        subject.start(start);
    }

    void see(int nodes, const core::region_id& region, core::seconds at)
    {
        for (int i = 0; i < nodes; ++i)
        {
            subject.on_seen(core::address{region.get() + std::to_string(i)}, region, start + at);
        }
    }

    std::size_t in_region(core::seconds at) const
    {
        return subject.share_of_region(start + at).nodes();
    }

    std::size_t in_fleet(core::seconds at) const
    {
        return subject.share_of_fleet(start + at).nodes();
    }
};

// Fails when nodes that start at the same time, without a whole member list yet, take a share of a
// bound as if they knew all others (kalkofen scale-2; incident BUDGET): of the region or the fleet.
TEST(node_count_estimate, nodes_that_start_together_take_no_share)
{
    struct row
    {
        const char* name;
        int known;
        core::seconds age;
        std::size_t sharing; ///< 0: no share
    };
    for (const row& each : {row{"just started", 0, core::seconds{1}, 0},
                            row{"just started, some known", 5, core::seconds{2}, 0},
                            row{"joined, few known", 1, core::seconds{4}, 0},
                            row{"joined, many known", 29, core::seconds{14}, 0},
                            row{"member list complete", 1, core::seconds{16}, 3},
                            row{"alone", 0, core::seconds{16}, 0}})
    {
        setup();
        see(each.known, home, each.age);
        UNSIGNED_LONGS_EQUAL_TEXT(each.sharing, in_region(each.age), each.name);
        UNSIGNED_LONGS_EQUAL_TEXT(each.sharing, in_fleet(each.age), each.name);
        CHECK_EQUAL_TEXT(each.sharing > 0, subject.to_tell(start + each.age).in_fleet > 0,
                         each.name);
    }
}

// Fails when a node takes a share in a window in which its former process may have taken it
// (incident BUDGET).
TEST(node_count_estimate, the_first_window_after_a_start_has_no_share)
{
    subject = node_count_estimate(home, core::seconds{30});
    subject.start(start);
    see(3, home, core::seconds{20});
    UNSIGNED_LONGS_EQUAL(0, in_fleet(core::seconds{30}));
    UNSIGNED_LONGS_EQUAL(5, in_fleet(core::seconds{31}));
}

// Fails when a node that is no longer a member is not counted although it may still run.
TEST(node_count_estimate, former_members_count_for_a_while)
{
    see(3, home, core::seconds{20});
    subject.remove_expired(start + core::seconds{79});
    UNSIGNED_LONGS_EQUAL(5, in_region(core::seconds{79}));
    subject.remove_expired(start + core::seconds{81});
    UNSIGNED_LONGS_EQUAL(0, in_region(core::seconds{81}));
}

// Fails when nodes of another region count for the limits of this region, or do not count for the
// limits of the whole fleet.
TEST(node_count_estimate, regions_are_counted_apart)
{
    see(2, home, core::seconds{20});
    see(4, remote, core::seconds{20});
    UNSIGNED_LONGS_EQUAL(4, in_region(core::seconds{20}));
    UNSIGNED_LONGS_EQUAL(8, in_fleet(core::seconds{20}));
    CHECK_TRUE((node_count{7, 3}) == subject.to_tell(start + core::seconds{20}));
}

// Fails when a node whose list stays incomplete divides a bound by what it knows itself, although
// another node has told it of more (incident BUDGET).
TEST(node_count_estimate, the_highest_count_that_was_told_lately_counts)
{
    see(2, home, core::seconds{20});
    subject.on_told(home, {40, 10}, start + core::seconds{20});
    subject.on_told(home, {30, 8}, start + core::seconds{21});
    subject.on_told(remote, {50, 20}, start + core::seconds{22});
    UNSIGNED_LONGS_EQUAL(11, in_region(core::seconds{22}));
    UNSIGNED_LONGS_EQUAL(51, in_fleet(core::seconds{22}));
    // It tells what it counts itself, so that a number does not outlive those who counted it.
    CHECK_TRUE((node_count{3, 3}) == subject.to_tell(start + core::seconds{22}));
    see(2, home, core::seconds{82});
    subject.remove_expired(start + core::seconds{83});
    UNSIGNED_LONGS_EQUAL(4, in_region(core::seconds{83}));
    UNSIGNED_LONGS_EQUAL(4, in_fleet(core::seconds{83}));
}
