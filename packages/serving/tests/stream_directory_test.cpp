/// Tests what nodes know together of the software versions that began streams.

#include <CppUTest/TestHarness.h>

#include "directory_fleet.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> three_regions{"a", "a", "b", "b", "c", "c"};
/// Longer than the time after which a node knows which versions can have begun a stream.
constexpr core::duration long_watch = 60s;

upstream_map list_of(const std::vector<std::string>& versions)
{
    upstream_map list;
    for (const std::string& version : versions)
    {
        const std::string id = "i-" + std::to_string(list.size());
        list[upstream_id{id}] = make_upstream(id, version);
    }
    return list;
}

const char* name_of(const found_origin& found)
{
    return to_string(found.source).data();
}

} // namespace

TEST_GROUP(stream_directory){};

// Fails when a stream that began at one node cannot be taken up at another, in its region or not,
// or after the kill of the node, or of the region, that served its beginning (LOST, issue 49).
TEST(stream_directory, a_stream_is_known_at_every_node)
{
    for (const std::vector<std::size_t>& killed :
         {std::vector<std::size_t>{}, std::vector<std::size_t>{0}, std::vector<std::size_t>{0, 1},
          std::vector<std::size_t>{0, 2, 3}})
    {
        directory_fleet fleet(three_regions);
        fleet.publish(list_of({"v1", "v2"}));
        fleet.run_for(2s);
        fleet.begin(0, "x", lm_version("v1"));
        fleet.begin(0, "y", lm_version("v2"));
        fleet.run_for(500ms);
        for (const std::size_t each : killed)
        {
            fleet.kill(each);
        }
        fleet.run_for(1s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            if (!fleet.is_up(i))
                continue;
            const found_origin x = fleet.find(i, "x");
            CHECK_TRUE_TEXT(x.version == lm_version("v1"), name_of(x));
            const found_origin y = fleet.find(i, "y");
            CHECK_TRUE_TEXT(y.version == lm_version("v2"), name_of(y));
        }
    }
}

// Fails when a stream goes on after the kill of all nodes, which know nothing of it then, although
// another version may have begun it (ORDER, report of another system in issue 49).
TEST(stream_directory, killed_nodes_know_no_origin)
{
    struct row
    {
        const char* name;
        std::vector<std::string> before;
        std::vector<std::string> after;
    };
    const row rows[] = {
        {"two versions serve", {"v1", "v2"}, {"v1", "v2"}},
        {"the old version has just left", {"v1"}, {"v2"}},
        {"one version serves, but nobody can know", {"v1"}, {"v1"}},
    };
    for (const row& each : rows)
    {
        directory_fleet fleet(three_regions);
        fleet.publish(list_of(each.before));
        fleet.run_for(long_watch);
        fleet.begin(0, "x", lm_version("v1"));
        fleet.run_for(500ms);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            fleet.kill(i);
        }
        fleet.publish(list_of(each.after));
        fleet.run_for(1s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            fleet.start(i);
        }
        fleet.run_for(2s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            const found_origin found = fleet.find(i, "x");
            STRCMP_EQUAL_TEXT("unknown", name_of(found), each.name);
            CHECK_TRUE_TEXT(found.version == policy::software_version_key{}, each.name);
        }
        // What begins after the kill is known.
        fleet.begin(1, "z", lm_version(each.after.front()));
        fleet.run_for(500ms);
        CHECK_TRUE_TEXT(fleet.find(4, "z").version == lm_version(each.after.front()), each.name);
    }
}

// Fails when nodes tell each other origins that every node can infer, or when a node that has just
// started refuses what the others can infer.
TEST(stream_directory, nothing_is_told_while_one_version_serves)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1", "v1"}));
    fleet.run_for(long_watch);
    const std::size_t before = fleet.messages();
    for (int i = 0; i < 100; ++i)
    {
        fleet.begin(0, "x" + std::to_string(i), lm_version("v1"));
    }
    fleet.run_for(2s);
    UNSIGNED_LONGS_EQUAL(0, fleet.messages() - before);
    STRCMP_EQUAL("told", name_of(fleet.find(1, "x1")));
    STRCMP_EQUAL("only_version", name_of(fleet.find(3, "x1")));
    STRCMP_EQUAL("only_version", name_of(fleet.find(5, "")));
    fleet.kill(2);
    fleet.run_for(1s);
    fleet.start(2);
    fleet.run_for(1s);
    const found_origin found = fleet.find(2, "x2");
    STRCMP_EQUAL("told_only_version", name_of(found));
    CHECK_TRUE(found.version == lm_version("v1"));
}

// Fails when streams that began before a second version was listed are not known afterwards, or
// when a node that has not heard of it yet makes another one join two versions.
TEST(stream_directory, what_was_not_told_is_told_when_another_version_appears)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1"}));
    fleet.run_for(long_watch);
    for (int i = 0; i < 200; ++i)
    {
        fleet.begin(0, "x" + std::to_string(i), lm_version("v1"));
    }
    fleet.set_list_delay(5, 2s);
    fleet.publish(list_of({"v1", "v2"}));
    fleet.run_for(600ms);
    fleet.begin(0, "late", lm_version("v2"));
    fleet.run_for(500ms);
    for (const std::size_t i : {1U, 3U, 5U})
    {
        CHECK_TRUE(fleet.find(i, "x7").version == lm_version("v1"));
        CHECK_TRUE(fleet.find(i, "x199").version == lm_version("v1"));
    }
    for (const std::size_t i : {1U, 3U})
    {
        CHECK_TRUE(fleet.find(i, "late").version == lm_version("v2"));
        STRCMP_EQUAL("unknown", name_of(fleet.find(i, "never begun")));
        STRCMP_EQUAL("unknown", name_of(fleet.find(i, "")));
    }
}

// Fails when a node whose list may be old relies on it.
TEST(stream_directory, a_node_that_is_cut_off_from_the_published_state_infers_nothing)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1"}));
    fleet.run_for(long_watch);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.cut_from_state(i, true);
    }
    fleet.begin(0, "x", lm_version("v1"));
    fleet.run_for(500ms);
    STRCMP_EQUAL("unknown", name_of(fleet.find(1, "y")));
    CHECK_TRUE(fleet.find(3, "x").version == lm_version("v1"));
}

// Fails when a node that did not run for a while relies on what it saw before: its list may be old.
TEST(stream_directory, a_node_that_did_not_run_infers_nothing)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1"}));
    fleet.run_for(long_watch);
    STRCMP_EQUAL("only_version", name_of(fleet.find(3, "x")));
    fleet.at(3).check_versions(fleet.now() + 3s);
    STRCMP_EQUAL("told_only_version", name_of(fleet.find(3, "x")));
}

// Fails when a node concludes from its own list that only one version serves, although the list is
// old, or although no other node has answered: another version may have begun the stream by then
// (ORDER, other operators' report in issue 64).
TEST(stream_directory, a_node_that_is_out_of_step_infers_nothing)
{
    struct row
    {
        const char* name;
        core::milliseconds list_delay;
        bool kills_others;
        bool knows_the_kill; ///< the node has noticed that the others are gone
        origin_source source;
    };
    const row rows[] = {
        {"in step", 0ms, false, false, origin_source::only_version},
        {"a list that is not old", max_list_age, false, false, origin_source::only_version},
        {"an old list, but others answer", 5s, false, false, origin_source::told_only_version},
        {"an old list, and nobody answers", 5s, true, false, origin_source::unknown},
        {"nobody answers", 0ms, true, false, origin_source::unknown},
        {"there is nobody else", 0ms, true, true, origin_source::only_version},
        {"an old list, and there is nobody else", 5s, true, true, origin_source::unknown},
    };
    for (const row& each : rows)
    {
        directory_fleet fleet(three_regions);
        fleet.publish(list_of({"v1"}));
        fleet.run_for(long_watch);
        fleet.set_list_delay(5, each.list_delay);
        for (std::size_t i = 0; i < 5 && each.kills_others; ++i)
        {
            fleet.kill(i);
        }
        fleet.run_for(each.knows_the_kill ? 1s : 100ms);
        for (const char* stream : {"x", ""})
        {
            const found_origin found = fleet.find(5, stream);
            STRCMP_EQUAL_TEXT(to_string(each.source).data(), name_of(found), each.name);
        }
    }
}

// Fails when a stream of a version that a node does not know yet goes on at that node at another
// version, although the node was listed as in step a moment before.
TEST(stream_directory, no_stream_of_a_new_version_goes_on_at_a_node_without_answers)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1"}));
    fleet.run_for(long_watch);
    fleet.set_list_delay(5, 5s);
    fleet.publish(list_of({"v1", "v2"}));
    fleet.run_for(600ms);
    fleet.begin(0, "late", lm_version("v2"));
    for (std::size_t i = 0; i < 5; ++i)
    {
        fleet.kill(i);
    }
    CHECK_TRUE(fleet.find(5, "late").version == policy::software_version_key{});
    CHECK_TRUE(fleet.find(5, "").version == policy::software_version_key{});
}

// Fails when streams begin at a version before every other node knows of it, or knows that its list
// is too old.
TEST(stream_directory, streams_begin_at_a_new_version_after_a_while)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1"}));
    fleet.run_for(long_watch);
    CHECK_TRUE(fleet.at(0).may_begin_at(lm, lm_version("v1"), fleet.now()));
    fleet.publish(list_of({"v1", "v2"}));
    fleet.run_for(new_version_wait - 1ms);
    CHECK_FALSE(fleet.at(0).may_begin_at(lm, lm_version("v2"), fleet.now()));
    CHECK_TRUE(fleet.at(0).may_begin_at(lm, lm_version("v1"), fleet.now()));
    fleet.run_for(2ms);
    CHECK_TRUE(fleet.at(0).may_begin_at(lm, lm_version("v2"), fleet.now()));
}

// Fails when the messages about streams grow beyond what their batches allow.
TEST(stream_directory, origins_are_told_in_batches)
{
    directory_fleet fleet(three_regions);
    fleet.publish(list_of({"v1", "v2"}));
    fleet.run_for(2s);
    const std::size_t before = fleet.messages();
    for (int i = 0; i < 100; ++i)
    {
        fleet.begin(0, "x" + std::to_string(i), lm_version("v1"));
        fleet.run_for(10ms);
    }
    fleet.run_for(500ms);
    // In a second at most 20 to the node of its region, and 4 to each of the others.
    const std::size_t sent = fleet.messages() - before;
    CHECK_TRUE(sent <= 20 + 4 * 4 + 5);
    UNSIGNED_LONGS_EQUAL(300, fleet.at(0).counters().told);
}
