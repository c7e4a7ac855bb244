/// Requirement 7: an upstream that is leaving receives no new work.

#include <CppUTest/TestHarness.h>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";
constexpr int calls = 40;

fleet_topology two_engines()
{
    fleet_topology topology;
    topology.regions = {home};
    topology.engines_per_region = 2;
    topology.engine_arguments = {"--token_ms", "1"};
    return topology;
}

} // namespace

TEST_GROUP(leaving_upstream)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<test_fleet>(two_engines());
    }

    int requests_at(std::size_t engine) const
    {
        return fleet->upstream(home, "drafting", engine).program->counts()["requests"];
    }

    void make_calls(const std::string& text) const
    {
        for (int i = 0; i < calls; ++i)
        {
            const http_request request =
                test_fleet::drafting(text + std::to_string(i) + std::string(200, 'x'), 2);
            const http_answer answer = http_call(fleet->node(home, i % 2).caller_address, request);
            CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
        }
    }

    /// Waits until both nodes have read the current host list several times, so that it is in use.
    void wait_for_list_reads() const
    {
        constexpr int reads_of_each_node = 3;
        constexpr int nodes = 2;
        const int before = fleet->platform().counts().value("hosts_reads", 0);
        wait_until("host list read",
                   [&]
                   {
                       return fleet->platform().counts().value("hosts_reads", 0) >=
                              before + reads_of_each_node * nodes;
                   });
    }
};

// Guards against new work for an upstream that the platform lists as leaving.
TEST(leaving_upstream, gets_no_new_work)
{
    make_calls("before ");
    CHECK_TRUE_TEXT(requests_at(0) > 0 && requests_at(1) > 0, "one engine received no calls");
    fleet->upstream(home, "drafting", 0).state = "leaving";
    fleet->publish_hosts();
    wait_for_list_reads();
    const int before = requests_at(0);
    make_calls("after ");
    LONGS_EQUAL(before, requests_at(0));
}

// Guards against an outdated list that makes a leaving upstream live again.
TEST(leaving_upstream, is_not_made_live_again_by_a_reversed_list)
{
    fleet->upstream(home, "drafting", 0).state = "leaving";
    fleet->publish_hosts();
    wait_for_list_reads();
    fleet->platform().set_faults({{"hosts", {{"reversed", true}}}});
    wait_for_list_reads();
    const int before = requests_at(0);
    make_calls("reversed ");
    LONGS_EQUAL(before, requests_at(0));
}

// Guards against a stream that is truncated because its upstream is leaving.
TEST(leaving_upstream, finishes_its_stream)
{
    const http_request request = test_fleet::drafting("long", 800);
    http_exchange call(fleet->node(home, 0).caller_address, request);
    CHECK_TRUE(call.read_body(1));
    for (const std::size_t engine : {0, 1})
    {
        fleet->upstream(home, "drafting", engine).state = "leaving";
    }
    fleet->publish_hosts();
    wait_for_list_reads();
    const http_answer answer = call.finish();
    const std::string expected = test_fleet::expected_draft(request);
    STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
}

// Guards against work for upstreams that are no longer listed, when the service has none left.
TEST(leaving_upstream, gets_no_work_once_the_last_one_is_unlisted)
{
    make_calls("before ");
    test_upstream& first = fleet->upstream(home, "drafting", 0);
    test_upstream& second = fleet->upstream(home, "drafting", 1);
    first.region = "elsewhere";
    second.region = "elsewhere";
    fleet->publish_hosts();
    wait_for_list_reads();
    const http_answer answer =
        http_call(fleet->node(home, 0).caller_address, test_fleet::drafting("after", 2));
    STRCMP_CONTAINS("no_upstream", answer.body.c_str());
}
