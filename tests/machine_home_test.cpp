/// Homes of data at nodes on machines of the users' platform, while they move and nodes can't be
/// reached.

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;

TEST_GROUP_BASE(machine_home, machine_test)
{
    static constexpr char account_key[] = "key-of-gold";

    /// Whose homes bind the requests to `/read/`.
    enum class home_of
    {
        route,
        account,
    };

    /// Starts nodes that reach the store through a relay, and a server.
    standin& start(const std::vector<std::string>& regions, home_of whose)
    {
        fleet = std::make_unique<machine_fleet>(regions, store_path::relayed);
        fleet->set_bounds(R"({"ConfigMs":3000})");
        publish(3, whose, home);
        standin& server = fleet->add_server("i-s", "shop", home);
        fleet->start_nodes();
        for (std::size_t node = 0; node < regions.size(); ++node)
        {
            wait_until("a request with a home is served",
                       [&] { return read("probe", node).is(200); });
        }
        fleet->wait_until_sharing();
        return server;
    }

    void publish(int version, home_of whose, const std::string& region) const
    {
        fleet_configuration config;
        config.version = version;
        if (whose == home_of::route)
            config.bound_region = region;
        else
            config.tenants = R"([{"Name":"gold","ApiKeys":["key-of-gold"],"AllowedRegions":[")" +
                             region + R"("]}])";
        fleet->publish_configuration(config);
    }

    http_answer read(const std::string& id, std::size_t index = 0) const
    {
        http_request request = machine_fleet::request("GET", "/read/x", id);
        request.headers.emplace("Credential", account_key);
        return http_call(fleet->node(index).callers, request);
    }

    void cut_store() const
    {
        fleet->store_relay().set_faults({{"refuse", true}, {"cut", true}});
    }
    void restore_store() const
    {
        fleet->store_relay().set_faults(nlohmann::json::object());
    }
};

// Fails when a node that reaches neither the store nor most other nodes goes on serving data by
// homes that may have moved, or does not serve it again afterwards (issue 70, HOME).
TEST(machine_home, a_node_that_is_cut_off_serves_nothing_by_homes_that_may_have_moved)
{
    for (const home_of whose : {home_of::route, home_of::account})
    {
        const standin& server = start({home, home, remote}, whose);
        cut_store();
        fleet->node(1).program->pause();
        fleet->node(2).program->pause();
        publish(4, whose, remote);
        wait_until("requests with a home are refused",
                   [&] { return read("refused").status == 503; });
        CHECK_TRUE(read("refused").headers.contains("retry-after"));
        LONGS_EQUAL(503, read("late").status);
        CHECK_FALSE(machine_fleet::seen(server)["runs"].contains("late"));
        if (whose == home_of::route)
            CHECK_TRUE(call("GET", "/book/x", "free").is(200));
        fleet->node(1).program->resume();
        fleet->node(2).program->resume();
        restore_store();
        publish(5, whose, home);
        wait_until("requests with a home are served again", [&] { return read("again").is(200); });
        fleet.reset();
    }
}

// Fails when requests with homes are refused because the store is away, although the nodes reach
// each other: none of them can have heard of a change.
TEST(machine_home, requests_with_homes_are_served_while_the_store_is_away_for_all_nodes)
{
    const standin& server = start({home, home, remote}, home_of::route);
    cut_store();
    // Longer than any node may take its configuration for confirmed.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{8};
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        const std::string id = "away-" + std::to_string(i);
        const http_answer answer = read(id, static_cast<std::size_t>(i) % 2);
        CHECK_TRUE_TEXT(answer.is(200), (id + ": " + answer.body).c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    CHECK_TRUE(machine_fleet::seen(server)["runs"].contains("away-0"));
}
