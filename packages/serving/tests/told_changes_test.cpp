/// Tests which changes of the published state a node takes for known to others.

#include <CppUTest/TestHarness.h>

#include "../src/told_changes.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

TEST_GROUP(told_changes){};

// Fails when a node goes on refusing for a change that only nodes which are gone have named, or
// when one kind, an older word or another era counts for what it is not (issue 73).
TEST(told_changes, what_live_nodes_have_named_counts)
{
    const core::node_id a{core::address{"10.0.0.1:7"}, core::incarnation{5}};
    const core::node_id b{core::address{"10.0.0.2:7"}, core::incarnation{5}};
    told_changes subject;
    CHECK_TRUE(subject.newest(state_kind::configuration) == store_revision{});
    subject.on_told(a, state_kind::configuration, {1, 8});
    subject.on_told(a, state_kind::configuration, {1, 7});
    subject.on_told(b, state_kind::configuration, {1, 5});
    subject.on_told(b, state_kind::evacuations, {2, 1});
    CHECK_TRUE(subject.newest(state_kind::configuration) == (store_revision{1, 8}));
    CHECK_TRUE(subject.newest(state_kind::evacuations) == (store_revision{2, 1}));
    subject.keep({b.address});
    CHECK_TRUE(subject.newest(state_kind::configuration) == (store_revision{1, 5}));
    subject.keep({});
    CHECK_TRUE(subject.newest(state_kind::evacuations) == store_revision{});
}

// Fails when what a former process has named stands for the one that runs: nobody has the change
// any more, and all nodes refuse until the store is back (issue 73).
TEST(told_changes, a_process_speaks_for_itself_only)
{
    const core::address node{"10.0.0.1:7"};
    told_changes subject;
    subject.on_told({node, core::incarnation{5}}, state_kind::configuration, {1, 8});
    subject.on_told({node, core::incarnation{6}}, state_kind::configuration, {1, 4});
    CHECK_TRUE(subject.newest(state_kind::configuration) == (store_revision{1, 4}));
    subject.on_told({node, core::incarnation{5}}, state_kind::configuration, {1, 9});
    CHECK_TRUE(subject.newest(state_kind::configuration) == (store_revision{1, 4}));
}
