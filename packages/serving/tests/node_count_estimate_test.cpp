/// Tests the node count by which shared limits are divided: nodes that start together or are cut
/// off.

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
    node_count_estimate subject;

    void setup() override
    {
        subject.start(start);
    }

    void see(int nodes, const core::region_id& region, core::seconds at)
    {
        for (int i = 0; i < nodes; ++i)
        {
            subject.on_seen(core::address{region.get() + std::to_string(i)}, region, start + at);
        }
    }
};

// Fails when nodes that start at the same time, without a whole member list yet, each take a share
// of a limit as if they knew all nodes of their region (kalkofen scale-2, and larger fleets).
TEST(node_count_estimate, nodes_that_start_together_use_high_estimates)
{
    struct row
    {
        const char* name;
        int known;
        core::seconds age;
        std::size_t possible;
    };
    constexpr std::size_t unknown = node_count_estimate::unknown_nodes_in_region;
    for (const row& each : {row{"just started", 0, core::seconds{1}, unknown},
                            row{"just started, some known", 5, core::seconds{2}, unknown},
                            row{"joined, few known", 1, core::seconds{4}, unknown},
                            row{"joined, many known", 29, core::seconds{14}, unknown},
                            row{"member list complete", 1, core::seconds{16}, 3},
                            row{"alone", 0, core::seconds{16}, unknown}})
    {
        subject = {};
        subject.start(start);
        see(each.known, home, each.age);
        UNSIGNED_LONGS_EQUAL_TEXT(each.possible, subject.possible_in(home, start + each.age),
                                  each.name);
    }
}

// Fails when a node that is no longer a member is not counted although it may still run.
TEST(node_count_estimate, former_members_count_for_a_while)
{
    see(3, home, core::seconds{20});
    subject.remove_expired(start + core::seconds{79});
    UNSIGNED_LONGS_EQUAL(5, subject.possible_in(home, start + core::seconds{79}));
    subject.remove_expired(start + core::seconds{81});
    UNSIGNED_LONGS_EQUAL(node_count_estimate::unknown_nodes_in_region,
                         subject.possible_in(home, start + core::seconds{81}));
}

// Fails when nodes of another region count for the limits of this region, or do not count for the
// limits of the whole fleet.
TEST(node_count_estimate, regions_are_counted_apart)
{
    see(2, home, core::seconds{20});
    see(4, remote, core::seconds{20});
    UNSIGNED_LONGS_EQUAL(4, subject.possible_in(home, start + core::seconds{20}));
    UNSIGNED_LONGS_EQUAL(8, subject.possible(start + core::seconds{20}));
}

// Fails when a node that has just started may hardly retry: the retry budget is a limit of the
// whole fleet whose breach makes no upstream fail, so it needs no high estimate.
TEST(node_count_estimate, repeats_are_not_cut_while_joining)
{
    UNSIGNED_LONGS_EQUAL(10, subject.possible(start + core::seconds{1}));
    UNSIGNED_LONGS_EQUAL(node_count_estimate::unknown_nodes_in_region,
                         subject.possible_in(home, start + core::seconds{1}));
}
