/// Guards requirement 2: no call loops between regions or availability zones.

#include <array>
#include <set>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

namespace
{

path_hop hop(const std::string& region, const std::string& zone, const std::string& node)
{
    return {core::region_id{region}, core::zone_id{zone}, core::address{node}};
}

path_hop hop_of(std::size_t region, std::size_t zone)
{
    const std::string name = region_name(region).get();
    return hop(name, name + "-" + std::to_string(zone),
               "10." + std::to_string(region) + "." + std::to_string(zone) + ".1:1");
}

} // namespace

TEST_GROUP(call_path){};

TEST(call_path, malformed_and_impossible_texts_are_refused)
{
    const char* const texts[] = {
        "r0",                                                    // no zone
        "r0/a",                                                  // no node
        "r0/a/n>",                                               // empty hop
        ">r0/a/n",                                               // empty hop
        "r0//n",                                                 // empty zone
        "r0/a/n/x",                                              // too many parts
        "r0/a/n m",                                              // blank
        "r0/a/n\n",                                              // control character
        "r0/a/n>r0/a/n",                                         // same node twice
        "r0/a/n>r0/b/m>r0/a/o",                                  // back to a zone it left
        "r0/a/n>r1/a/m>r2/a/o",                                  // leaves a region twice
        "r0/a/n>r1/a/m>r0/b/o",                                  // returns to its region
        "r/a/1>r/a/2>r/a/3>r/a/4>r/a/5>r/a/6>r/a/7>r/a/8>r/a/9", // too long
    };
    for (const char* text : texts)
    {
        CHECK_TRUE_TEXT(!call_path::parse(text), text);
    }
}

TEST(call_path, text_form_survives_a_round_trip)
{
    const char* const texts[] = {"", "r0/a/127.0.0.1:1", "r0/a/n>r0/b/m", "r0/a/n>r0/b/m>r1/a/o"};
    for (const char* text : texts)
    {
        const std::optional<policy::call_path> path = policy::call_path::parse(text);
        CHECK_TRUE_TEXT(path.has_value(), text);
        STRCMP_EQUAL(text, path->to_string().c_str());
    }
}

// Fails when a path is accepted that does not end with its sender or already contains this node.
TEST(call_path, a_received_path_ends_with_its_sender_and_admits_this_node)
{
    const policy::call_path path = policy::call_path{}.with(hop("r0", "a", "n"));
    CHECK_TRUE(is_plausible(path, hop("r0", "a", "n"), hop("r1", "a", "m")));
    CHECK_FALSE(is_plausible(path, hop("r0", "a", "other"), hop("r1", "a", "m")));
    CHECK_FALSE(is_plausible(path, hop("r2", "a", "n"), hop("r1", "a", "m")));
    CHECK_FALSE(is_plausible(path, hop("r0", "a", "n"), hop("r0", "a", "n")));
    CHECK_FALSE(is_plausible(policy::call_path{}, hop("r0", "a", "n"), hop("r1", "a", "m")));
}

// Fails when the parser crashes on arbitrary text or returns a path that is not well-formed.
TEST(call_path, parsing_arbitrary_text_gives_only_well_formed_paths)
{
    snipeplank::tests::check_property(
        "a parsed path prints as the text it came from and leaves its region at most once",
        []
        {
            const auto parts = *rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("r0", "r1", "a", "b", "n", "/", "/", ">", "", " "));
            std::string text;
            for (const std::string& part : parts)
            {
                text += part;
            }
            const std::optional<policy::call_path> path = policy::call_path::parse(text);
            if (!path)
                return;
            RC_ASSERT(path->to_string() == text);
            int borders = 0;
            for (std::size_t i = 1; i < path->hops().size(); ++i)
            {
                borders += path->hops()[i].region != path->hops()[i - 1].region ? 1 : 0;
            }
            RC_ASSERT(borders <= 1);
        });
}

// Fails when nodes with inconsistent region status forward a call in a loop.
TEST(call_path, rings_of_2_to_4_regions_with_arbitrary_views_never_loop)
{
    snipeplank::tests::check_property(
        "a call visits no zone twice and crosses at most one region border",
        []
        {
            const auto regions = *rc::gen::inRange<std::size_t>(2, 5);
            core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            std::vector<path_hop> visited;
            path_hop here = hop_of(*rc::gen::inRange<std::size_t>(0, regions), 0);
            call_view call = free_call();
            for (int step = 0; step < 12; ++step)
            {
                visited.push_back(here);
                // Each node has its own region status, in which any other region may have capacity.
                dispatcher node({here.node, here.region, here.zone});
                node.set_config(make_config(regions));
                std::vector<region_status> view;
                for (std::size_t r = 0; r < regions; ++r)
                {
                    region_status status = free_region(r, *rc::gen::inRange(0, 3));
                    status.zones = {hop_of(r, 0).zone, hop_of(r, 1).zone};
                    view.push_back(status);
                }
                node.set_regions(view, at(0));
                const decision made = node.route(call, at(step), random);
                const send_to_region* target = sent_to_remote(made);
                if (target == nullptr)
                    break;
                RC_ASSERT(!target->zones.empty());
                call.path = call.path.with(here);
                const auto pick = *rc::gen::inRange<std::size_t>(0, target->zones.size());
                here = hop(target->region.get(), target->zones[pick].get(),
                           "node-" + std::to_string(step));
            }
            std::set<std::string> zones;
            int borders = 0;
            for (std::size_t i = 0; i < visited.size(); ++i)
            {
                RC_ASSERT(zones.insert(visited[i].zone.get()).second);
                borders += i > 0 && visited[i].region != visited[i - 1].region ? 1 : 0;
            }
            RC_ASSERT(borders <= 1);
        });
}

// Fails when the receiver relies on the sender's check of the path.
TEST(call_path, the_receiver_refuses_a_path_that_has_been_here)
{
    one_node node(2);
    call_view call = free_call();
    call.path = call.path.with(hop("r0", "r0-a", "127.0.0.1:1")).with(hop("r1", "r1-a", "m"));
    const decision made = node.route(call, 0);
    CHECK_TRUE(refused(made) != nullptr);
    CHECK_TRUE(refused(made)->reason == refusal_reason::loop);
}
