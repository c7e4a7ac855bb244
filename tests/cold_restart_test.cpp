/// What nodes on machines of the users' platform send to a server that is cold without their having
/// been told: it has started again under its id, or was cold when they started.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <future>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

std::size_t most_while_cold(const standin& server)
{
    return machine_fleet::seen(server)["cold_most"].get<std::size_t>();
}

} // namespace

TEST_GROUP_BASE(cold_restart, machine_test)
{
    static constexpr milliseconds cold_time = 4s;
    /// From the start of a server until its entry is in the store.
    static constexpr milliseconds heartbeat = 1'500ms;

    void start(std::size_t nodes)
    {
        fleet = std::make_unique<machine_fleet>(std::vector<std::string>(nodes, home));
        config.warmup = cold_time;
        config.warmup_rate = 4;
        config.health_path = "/healthz";
        fleet->publish_configuration(config);
    }

    /// Writes the entry that the current run of a server would write.
    void publish(const standin& server, const std::string& id, int sequence,
                 milliseconds cold_left = 0ms) const
    {
        server_entry entry{id, "shop", home, server.address()};
        entry.born_ms = machine_fleet::seen(server)["born"].get<long>();
        entry.sequence = sequence;
        entry.cold_for = cold_left;
        fleet->publish_server(entry);
    }

    /// Sends requests at one node, all at once.
    /// @return the answers, when all are there
    std::future<std::vector<http_answer>> burst(std::size_t node, std::size_t count) const
    {
        return std::async(
            std::launch::async,
            [this, node, count]
            {
                std::vector<std::future<http_answer>> open;
                for (std::size_t i = 0; i < count; ++i)
                {
                    const std::string id = "b" + std::to_string(node) + "-" + std::to_string(i);
                    open.push_back(std::async(std::launch::async, [this, node, id]
                                              { return call("GET", "/read/x", id, 1'500, node); }));
                }
                std::vector<http_answer> answers;
                for (auto& each : open)
                {
                    answers.push_back(each.get());
                }
                return answers;
            });
    }

    /// Waits until each node shares limits with the others and has used the server.
    void wait_until_all_share() const
    {
        for (std::size_t i = 0; i < fleet->node_count(); ++i)
        {
            fleet->wait_until_served(i, "/read/x");
        }
        fleet->wait_until_sharing();
    }

    /// Starts nodes and a server, and waits until each node shares limits with the others.
    standin& start_with_one_server(std::size_t nodes)
    {
        start(nodes);
        standin& server = fleet->start_server("i-1");
        publish(server, "i-1", 40);
        fleet->start_nodes();
        wait_until_all_share();
        return server;
    }

    /// Starts the server again, and waits until all nodes know that it is warm and hold only the
    /// connections that it keeps.
    void restart_warm(standin & server, const std::vector<std::string>& arguments) const
    {
        constexpr auto longest_warmup = cold_time + 2s;
        fleet->restart_server(server, "i-1", 0ms, arguments);
        publish(server, "i-1", 1);
        std::this_thread::sleep_for(longest_warmup);
        for (std::size_t i = 0; i < fleet->node_count(); ++i)
        {
            fleet->wait_until_served(i, "/read/x");
        }
        publish(server, "i-1", 40);
        std::this_thread::sleep_for(2s);
    }

    /// Starts the server again, cold, and sends bursts at two nodes while its new entry is late.
    /// Waits until all nodes use it.
    /// @return most requests that reach it in one second
    std::size_t most_after_restart(standin & server, std::vector<std::string> arguments,
                                   std::size_t one_node, std::size_t other_node) const
    {
        constexpr std::size_t requests = 12;
        arguments.insert(arguments.end(), {"--cold_ms", std::to_string(cold_time.count())});
        fleet->restart_server(server, "i-1", 300ms, arguments);
        const auto started = std::chrono::steady_clock::now();
        const auto first = burst(one_node, requests);
        const auto second = burst(other_node, requests);
        std::this_thread::sleep_until(started + heartbeat);
        publish(server, "i-1", 1, cold_time - heartbeat);
        first.wait();
        second.wait();
        burst(one_node, requests).wait();
        const std::size_t most = most_while_cold(server);
        for (std::size_t i = 0; i < fleet->node_count(); ++i)
        {
            fleet->wait_until_served(i, "/read/x");
        }
        return most;
    }

    std::string describe(std::size_t most) const
    {
        return std::to_string(most) + " requests in one second, " +
               std::to_string(cold_bound(config)) + " allowed\n";
    }

    std::string logs() const
    {
        std::string all;
        for (std::size_t i = 0; i < fleet->node_count(); ++i)
        {
            all += fleet->node(i).program->output();
        }
        return all;
    }

    fleet_configuration config;
};

// Fails when nodes that have no request at a server send at full rate to its next run, which is
// cold, until its new entry arrives (FAILBACK on tamarack-lunar-grown, issue 49).
TEST(cold_restart, a_server_that_starts_again_under_its_id_is_not_flooded)
{
    struct row
    {
        const char* what;
        const char* idle_s; ///< after which the server closes a connection
        milliseconds silence;
    };
    const row rows[] = {{"killed, and the nodes hold idle connections", "600", 0ms},
                        {"killed, and the nodes hold no connections", "1", 0ms},
                        {"silent, then killed", "600", 1'200ms}};
    standin& server = start_with_one_server(3);
    std::string flooded;
    for (const row& each : rows)
    {
        const std::vector<std::string> arguments{"--idle_s", each.idle_s};
        restart_warm(server, arguments);
        for (int i = 0; i < 4; ++i)
        {
            CHECK_TRUE(call("GET", "/read/x", "usual" + std::to_string(i)).is(200));
        }
        if (each.silence > 0ms)
            server.process().pause();
        std::this_thread::sleep_for(each.silence);
        const std::size_t most = most_after_restart(server, arguments, 1, 2);
        if (most > cold_bound(config))
            flooded += std::string(each.what) + ": " + describe(most);
    }
    CHECK_TRUE_TEXT(flooded.empty(), (flooded + logs()).c_str());
}

// Fails when a node that starts after an evacuation sends at full rate to servers that became cold
// meanwhile, before they have said so (FAILBACK, review/3, issue 36).
TEST(cold_restart, a_node_that_starts_after_an_evacuation_floods_no_cold_server)
{
    standin& server = start_with_one_server(2);
    fleet->put("op/evacuate/" + home + "-a", "{}");
    wait_until("the nodes refuse requests",
               [&] { return call("GET", "/read/x", "probe", 5'000, 1).status == 503; });
    fleet->node(0).program->kill();
    fleet->remove("op/evacuate/" + home + "-a");
    CHECK_TRUE(http_post(server.address(), "/standin/cold", "4000").is(200));
    const auto cold_since = std::chrono::steady_clock::now();
    fleet->start_node(0);
    wait_for_status(fleet->node(0).readiness, "/api/readyz", 200);
    auto first = burst(0, 24);
    std::this_thread::sleep_until(cold_since + heartbeat);
    publish(server, "i-1", 41, cold_time - heartbeat);
    first.wait();
    const std::size_t most = most_while_cold(server);
    CHECK_TRUE_TEXT(most <= cold_bound(config), (describe(most) + logs()).c_str());
    fleet->wait_until_served(0, "/read/x");
}

// Fails when nodes that have all just started, and so know neither each other nor the servers, send
// less to warm servers than these take.
TEST(cold_restart, nodes_that_have_all_just_started_serve_from_warm_servers_at_once)
{
    struct row
    {
        const char* health; ///< way of answering health checks
        const char* delay_ms;
    };
    const row rows[] = {
        {"", "0"}, {"", "100"}, {"body", "0"}, {"chunked", "0"}, {"until_close", "0"}};
    constexpr std::size_t requests = 20;
    for (const row& each : rows)
    {
        start(3);
        for (const char* id : {"i-1", "i-2", "i-3"})
        {
            standin& server = fleet->start_server(id);
            CHECK_TRUE(http_post(server.address(), "/standin/health", each.health).is(200));
            CHECK_TRUE(http_post(server.address(), "/standin/health_delay", each.delay_ms).is(200));
            publish(server, id, 40);
        }
        fleet->start_nodes();
        std::vector<std::future<std::vector<http_answer>>> open;
        for (std::size_t i = 0; i < fleet->node_count(); ++i)
        {
            open.push_back(burst(i, requests));
        }
        std::size_t served = 0;
        std::string others;
        for (auto& answers : open)
        {
            for (const http_answer& answer : answers.get())
            {
                if (answer.is(200))
                    ++served;
                else
                    others += answer.describe() + "\n";
            }
        }
        const std::string seen = "health '" + std::string(each.health) + "': " + others + logs();
        // All would be served; a tenth may meet a node that is not connected yet.
        CHECK_TRUE_TEXT(10 * served >= 9 * requests * fleet->node_count(), seen.c_str());
    }
}

// Fails when a server whose health checks prove nothing is never used, or its next run is flooded.
TEST(cold_restart, a_server_without_proof_in_its_health_checks_is_used_but_not_flooded)
{
    standin& server = start_with_one_server(2);
    std::string flooded;
    for (const char* health : {"none", "mute", "cut", "no_id", "other_id", "shed"})
    {
        const std::vector<std::string> arguments{"--idle_s", "1", "--health", health};
        restart_warm(server, arguments);
        const std::size_t most = most_after_restart(server, arguments, 0, 1);
        if (most > cold_bound(config))
            flooded += std::string(health) + ": " + describe(most);
    }
    CHECK_TRUE_TEXT(flooded.empty(), (flooded + logs()).c_str());
}
