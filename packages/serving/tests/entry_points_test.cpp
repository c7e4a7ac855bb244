/// Tests which nodes the directory returns while nodes start, stop and fail.

#include <CppUTest/TestHarness.h>

#include "../src/entry_points.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

namespace
{

live_node node_in(const std::string& region, const std::string& name)
{
    return {core::address{name + ":1"}, core::address{name}, core::zone_id{region + "-a"},
            core::region_id{region}};
}

/// Two routes of one host, one free and one bound to duluth and cleveland, and a bound route of
/// another host.
routing_table make_table()
{
    routing_table table;
    route free;
    free.host = "shop.example";
    route bound = free;
    bound.allowed_regions = {core::region_id{"duluth"}, core::region_id{"cleveland"}};
    route other;
    other.host = "other.example";
    other.allowed_regions = {core::region_id{"kingston"}};
    table.routes = {free, bound, other};
    return table;
}

const routing_table table = make_table();

control_request asked_from(const std::string& region)
{
    control_request asked;
    asked.question = control_question::entry_points;
    asked.region = core::region_id{region};
    asked.zone = core::zone_id{region + "-a"};
    asked.host = "shop.example";
    return asked;
}

std::string names(const control_request& asked, const entry_view& view)
{
    std::string joined;
    for (const core::address& each : choose_entry_points(asked, view).addresses)
    {
        joined += each.get() + " ";
    }
    return joined;
}

} // namespace

TEST_GROUP(entry_points)
{
    entry_view view;

    void setup() override
    {
        view.table = &table;
    }
};

// Fails when a client is sent to a more distant group than necessary.
TEST(entry_points, the_nearest_group_is_returned)
{
    view.live = {node_in("duluth", "d1"), node_in("duluth", "d2"), node_in("kingston", "k1")};
    view.live[1].zone = core::zone_id{"duluth-b"};
    STRCMP_EQUAL("d1 ", names(asked_from("duluth"), view).c_str());
    view.live.erase(view.live.begin());
    STRCMP_EQUAL("d2 ", names(asked_from("duluth"), view).c_str());
}

// Fails when clients of a region whose nodes are all stopping are sent to another region (HOME on
// tamarack trouble-2).
TEST(entry_points, stopping_nodes_of_the_region_precede_other_regions)
{
    view.live = {node_in("kingston", "k1"), node_in("cleveland", "c1")};
    view.stopping[core::region_id{"duluth"}] = {core::address{"d1"}};
    STRCMP_EQUAL("d1 ", names(asked_from("duluth"), view).c_str());
}

// Fails when bound data is sent to a region that is not a home while a home can accept it.
TEST(entry_points, a_home_of_the_host_precedes_a_third_region)
{
    view.live = {node_in("kingston", "k1"), node_in("cleveland", "c1")};
    STRCMP_EQUAL("c1 ", names(asked_from("duluth"), view).c_str());
    view.live = {node_in("kingston", "k1")};
    view.stopping[core::region_id{"cleveland"}] = {core::address{"c1"}};
    STRCMP_EQUAL("c1 ", names(asked_from("duluth"), view).c_str());
}

// Fails when a client gets no entry point although its region was lost without notice and a node
// could serve its free requests.
TEST(entry_points, any_node_is_returned_when_no_group_matches)
{
    view.live = {node_in("kingston", "k1")};
    STRCMP_EQUAL("k1 ", names(asked_from("duluth"), view).c_str());
    view.live.clear();
    STRCMP_EQUAL("", names(asked_from("duluth"), view).c_str());
}

// Fails when clients of a region whose nodes have all stopped as planned, or which this node does
// not know yet, or whose homes may have moved, are led with bound data to a third region (HOME on
// tamarack-lunar mix 332907775777).
TEST(entry_points, bound_data_is_led_to_no_third_region)
{
    const core::region_id duluth{"duluth"};
    struct row
    {
        const char* name;
        const char* host;
        const char* live_region;
        bool is_expected_back;
        bool is_unknown;
        bool has_table;
        bool has_current_homes;
        const char* led_to;
        entry_group group;
    };
    const row rows[] = {
        {"stopped a moment ago", "shop.example", "kingston", true, false, true, true, "d1 ",
         entry_group::expected_back},
        {"another home is live", "shop.example", "cleveland", true, false, true, true, "x1 ",
         entry_group::home},
        {"home of another host only", "other.example", "cleveland", true, false, true, true, "d1 ",
         entry_group::expected_back},
        {"no bound route", "free.example", "kingston", true, true, true, true, "x1 ",
         entry_group::other_region},
        {"not known yet", "shop.example", "kingston", false, true, true, true, "",
         entry_group::none},
        {"not known yet, another home is live", "shop.example", "cleveland", false, true, true,
         true, "x1 ", entry_group::home},
        {"no configuration", "free.example", "kingston", false, false, false, true, "",
         entry_group::none},
        {"lost without notice", "shop.example", "kingston", false, false, true, true, "x1 ",
         entry_group::other_region},
        {"homes may have moved", "shop.example", "cleveland", false, false, true, false, "",
         entry_group::none},
        {"homes may have moved, no bound route", "free.example", "kingston", false, false, true,
         false, "x1 ", entry_group::other_region},
    };
    for (const row& each : rows)
    {
        entry_view seen;
        seen.live = {node_in(each.live_region, "x1")};
        seen.table = each.has_table ? &table : nullptr;
        seen.has_current_homes = each.has_current_homes;
        if (each.is_expected_back)
            seen.expected_back[duluth] = {core::address{"d1"}};
        if (each.is_unknown)
            seen.unknown_regions.insert(duluth);
        control_request asked = asked_from("duluth");
        asked.host = each.host;
        STRCMP_EQUAL_TEXT(each.led_to, names(asked, seen).c_str(), each.name);
        CHECK_TRUE_TEXT(choose_entry_points(asked, seen).group == each.group, each.name);
    }
}
