/// Tests when a node counts as one that would hear of a newer configuration.

#include <CppUTest/TestHarness.h>

#include <chrono>

#include "../src/fleet_contact.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace std::chrono_literals;

namespace
{

const core::time_point begin = core::time_point{} + 1h;

} // namespace

TEST_GROUP(fleet_contact){};

// Fails when a node that is cut off with as many others as are on the other side, or with fewer,
// counts as in contact, or one that reaches most does not (issue 70, HOME).
TEST(fleet_contact, a_node_reaches_most_only_with_more_than_half)
{
    struct row
    {
        const char* name;
        std::size_t live;
        std::size_t known;
        bool reaches_most;
    };
    const row rows[] = {
        {"all", 70, 70, true},         {"just more than half", 36, 70, true},
        {"half", 35, 70, false},       {"a third", 25, 70, false},
        {"the only node", 1, 1, true}, {"one of two", 1, 2, false},
        {"two of three", 2, 3, true},  {"not known yet", 2, 0, false},
    };
    for (const row& each : rows)
    {
        fleet_contact subject;
        subject.on_tick(begin);
        subject.set_nodes(each.live, each.known);
        CHECK_EQUAL_TEXT(each.reaches_most, subject.reaches_most(begin + 100ms), each.name);
    }
}

// Fails when a node that stood still takes what it knew before for contact, before it can have
// noticed that the others are lost (issue 70, HOME).
TEST(fleet_contact, a_node_that_stood_still_has_no_contact_until_it_can_notice_a_loss)
{
    fleet_contact subject;
    subject.set_nodes(3, 3);
    subject.on_tick(begin);
    CHECK_TRUE(subject.reaches_most(begin + 200ms));
    // A request may be handled before the first tick.
    CHECK_FALSE(subject.reaches_most(begin + 10s));
    core::time_point now = begin + 10s;
    for (; now < begin + 18s; now += policy::pause_watch::tick_interval)
    {
        subject.on_tick(now);
        CHECK_FALSE(subject.reaches_most(now));
    }
    subject.on_tick(now);
    CHECK_TRUE(subject.reaches_most(now));
}
