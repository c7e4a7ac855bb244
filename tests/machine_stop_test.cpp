/// Planned stops of a node on a machine of the users' platform: each request that it has read gets
/// an answer before the process ends.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

int runs_of(const standin& server, const std::string& id)
{
    return machine_fleet::seen(server)["runs"].value(id, 0);
}

/// Whether the answer leaves open what became of the request.
bool promises_nothing(const http_answer& answer)
{
    return answer.is(502) || answer.is(504);
}

} // namespace

TEST_GROUP_BASE(machine_stop, machine_test)
{
    /// Starts a node, and servers that neither end an answer nor a stream in time.
    void start_with_slow_servers()
    {
        fleet = std::make_unique<machine_fleet>(std::vector<std::string>{home});
        fleet_configuration config;
        config.route_timeout = 30s;
        fleet->publish_configuration(config);
        shop = &fleet->add_server("i-s", "shop", home);
        standin& model = fleet->start_server("i-m", 0, {"--events", "400", "--event_ms", "50"});
        fleet->publish_server("i-m", "model", home, model.address(), "ready");
        fleet->start_nodes();
        fleet->wait_until_served(0, "/read/x");
        machine_fleet::set_fault(*shop, "mute");
    }

    std::unique_ptr<http_exchange> start(const std::string& method, const std::string& path,
                                         const std::string& id)
    {
        constexpr int deadline_ms = 25'000;
        return std::make_unique<http_exchange>(
            fleet->node(0).callers, machine_fleet::request(method, path, id, deadline_ms));
    }

    standin* shop = nullptr;
};

// Fails when a request that is still at work at the end of the grace ends without an answer, or is
// reported as not run, or when a stream that is cut there ends as complete.
TEST(machine_stop, requests_at_work_at_the_end_of_the_grace_get_a_last_answer)
{
    start_with_slow_servers();
    const auto early_booking = start("POST", "/book/x", "early-booking");
    const auto early_read = start("GET", "/read/x", "early-read");
    const auto stream = start("POST", "/stream/x", "stream");
    CHECK_TRUE(stream->read_body(10));
    wait_until("the server runs both",
               [&] { return runs_of(*shop, "early-booking") + runs_of(*shop, "early-read") == 2; });
    const auto signalled = std::chrono::steady_clock::now();
    fleet->node(0).program->send_signal(SIGTERM);
    std::this_thread::sleep_for(2s);
    const auto late_booking = start("POST", "/book/x", "late-booking");
    for (const auto* each : {&early_booking, &early_read, &late_booking})
    {
        const http_answer answer = (*each)->finish();
        CHECK_TRUE_TEXT(promises_nothing(answer), answer.describe().c_str());
    }
    const http_answer cut = stream->finish();
    CHECK_TRUE_TEXT(cut.status == 200 && cut.end == answer_end::truncated, cut.describe().c_str());
    LONGS_EQUAL(0, fleet->node(0).program->wait());
    CHECK_TRUE(std::chrono::steady_clock::now() - signalled < 8s);
}

// Fails when a node whose grace is short takes requests until its end and cuts them, or refuses one
// as not run that a server has run.
TEST(machine_stop, a_short_grace_cuts_no_request)
{
    set_up({home});
    constexpr int work_ms = 800;
    standin& server = fleet->start_server("i-s", work_ms);
    fleet->publish_server("i-s", "shop", home, server.address(), "ready");
    fleet->set_grace(3s);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->node(0).program->send_signal(SIGTERM);
    std::vector<std::future<http_answer>> answers;
    constexpr int count = 26;
    for (int i = 0; i < count; ++i)
    {
        answers.push_back(
            std::async(std::launch::async,
                       [this, i] { return call("POST", "/book/x", "id" + std::to_string(i)); }));
        std::this_thread::sleep_for(100ms);
    }
    LONGS_EQUAL(0, fleet->node(0).program->wait());
    for (int i = 0; i < count; ++i)
    {
        const http_answer answer = answers[static_cast<std::size_t>(i)].get();
        const bool has_run = runs_of(server, "id" + std::to_string(i)) > 0;
        const std::string seen = std::to_string(i) + ": " + answer.describe();
        if (has_run)
            CHECK_TRUE_TEXT(answer.is(200), seen.c_str());
        else
            CHECK_TRUE_TEXT(answer.is(503) || answer.close != connection_close::after_request,
                            seen.c_str());
    }
}

// Fails when a node that stops before it has read any configuration leaves a request without an
// answer, or does not end.
TEST(machine_stop, a_stop_before_the_first_configuration_refuses_requests)
{
    fleet = std::make_unique<machine_fleet>(std::vector<std::string>{home});
    fleet->start_node(0);
    wait_for_status(fleet->node(0).readiness, "/api/readyz", 503);
    fleet->node(0).program->send_signal(SIGTERM);
    for (int i = 0; i < 5; ++i)
    {
        const http_answer answer = call("POST", "/book/x", "id" + std::to_string(i));
        CHECK_TRUE_TEXT(answer.is(503), answer.describe().c_str());
    }
    LONGS_EQUAL(0, fleet->node(0).program->wait());
}

// Fails when a listener of a stopping node resets a connection that it has opened: for callers when
// the node takes no more requests, for the others when it ends.
TEST(machine_stop, no_listener_resets_a_connection_that_is_open)
{
    constexpr int clients = 2; // of each listener
    set_up({home});
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    const machine_node& node = fleet->node(0);
    const http_request read = machine_fleet::request("GET", "/read/x", "id");
    http_request is_ready;
    is_ready.path = "/api/readyz";
    http_request metrics;
    metrics.path = "/metrics";
    std::vector<std::future<std::string>> broken;
    for (const auto& [address, request] :
         {std::pair{node.callers, read}, std::pair{node.readiness, is_ready},
          std::pair{node.directory, is_ready}, std::pair{node.admin, metrics}})
    {
        for (int i = 0; i < clients; ++i)
        {
            broken.push_back(std::async(std::launch::async,
                                        [address = address, request = request]() -> std::string
                                        {
                                            http_answer answer;
                                            do
                                            {
                                                answer = http_call(address, request);
                                            } while (answer.end == answer_end::clean);
                                            return answer.end == answer_end::no_connection
                                                       ? ""
                                                       : address + ": " + answer.describe();
                                        }));
        }
    }
    node.program->send_signal(SIGTERM);
    const std::optional<int> status = node.program->wait_for(8s);
    CHECK_TRUE(status.has_value() && *status == 0);
    for (std::future<std::string>& each : broken)
    {
        STRCMP_EQUAL("", each.get().c_str());
    }
}
