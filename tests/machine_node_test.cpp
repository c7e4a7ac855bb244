/// Nodes on machines of the users' platform, with stand-ins for its store and servers.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

#include "machine_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";
const std::string remote = "ennstal";

/// Nodes of a region in which some follow others.
constexpr std::size_t region_size = 6;

std::string whole_stream(int from, int to)
{
    std::string events;
    for (int i = from; i <= to; ++i)
    {
        events += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
    }
    return events;
}

int runs_of(const standin& server, const std::string& id)
{
    return machine_fleet::seen(server)["runs"].value(id, 0);
}

} // namespace

TEST_GROUP(machine_node)
{
    std::unique_ptr<machine_fleet> fleet;

    void set_up(const std::vector<std::string>& regions)
    {
        fleet = std::make_unique<machine_fleet>(regions);
        fleet->publish_configuration(3);
    }

    void teardown() override
    {
        fleet.reset();
    }

    http_answer call(const std::string& method, const std::string& path, const std::string& id,
                     int deadline_ms = 5'000, std::size_t index = 0) const
    {
        return http_call(fleet->node(index).callers,
                         machine_fleet::request(method, path, id, deadline_ms));
    }
};

// Fails when the answer to one kind of request is incomplete or changed.
TEST(machine_node, each_kind_of_request_is_served)
{
    set_up({home});
    standin& model = fleet->add_server("i-m", "model", home);
    standin& shop = fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->wait_until_served(0, "/stream/x");
    const http_answer stream = call("POST", "/stream/a%2Fb?c=1", "id1");
    CHECK_TRUE_TEXT(stream.is(200), stream.describe().c_str());
    STRCMP_EQUAL(whole_stream(1, 5).c_str(), stream.body.c_str());
    STRCMP_EQUAL("3e1b.07.id1", stream.headers.at("server-signature").c_str());
    const http_answer booked = call("POST", "/book/x", "id2");
    CHECK_TRUE_TEXT(booked.is(200), booked.describe().c_str());
    LONGS_EQUAL(1, runs_of(shop, "id2"));
    LONGS_EQUAL(1, runs_of(model, "id1"));
    CHECK_TRUE(machine_fleet::seen(shop)["deadlines"].value("id2", 0) <= 5'000);
    LONGS_EQUAL(404, call("GET", "/nowhere/x", "id3").status);
}

// Fails when a node without configuration answers 404 instead of 503, or never starts.
TEST(machine_node, a_node_that_cannot_reach_the_store_starts_and_sends_retry_after)
{
    set_up({home});
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "yes").is(200));
    fleet->start_node(0);
    wait_for_status(fleet->node(0).readiness, "/api/readyz", 503);
    const http_answer refused = call("GET", "/read/x", "id1");
    LONGS_EQUAL(503, refused.status);
    CHECK_TRUE(refused.headers.contains("retry-after"));
    fleet->add_server("i-s", "shop", home);
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "no").is(200));
    fleet->wait_until_served(0, "/read/x");
}

// Fails when a node receives a new configuration too late because its connection to the store
// stopped carrying data without being closed (tamarack-lunar-grown trouble-3).
TEST(machine_node, a_silent_connection_to_the_store_is_replaced)
{
    fleet = std::make_unique<machine_fleet>(std::vector<std::string>{home}, store_path::relayed);
    fleet->publish_configuration(3);
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->store_relay().set_faults({{"silence_existing", true}});
    fleet->remove("servers/i-s");
    fleet->add_server("i-t", "shop", home);
    wait_until("the new server gets requests", [&]
               { return call("GET", "/read/x", "later").body.find("i-t") != std::string::npos; });
    // A watch that waits when its connection goes silent must time out within the limit of 4 s.
    constexpr long configuration_bound_ms = 4'000;
    CHECK_TRUE(fleet->store().counts()["longest_wait_ms"].get<long>() < configuration_bound_ms);
}

// Fails when a request that may run at most once is sent again, or is reported as not run.
TEST(machine_node, a_booking_whose_answer_is_lost_runs_once_and_is_not_reported_as_not_run)
{
    set_up({home});
    standin& first = fleet->add_server("i-1", "shop", home);
    standin& second = fleet->add_server("i-2", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    for (const char* fault : {"reset", "unsigned", "mute"})
    {
        machine_fleet::set_fault(first, fault);
        machine_fleet::set_fault(second, fault);
        const http_answer answer = call("POST", "/book/x", fault, 700);
        CHECK_TRUE_TEXT(answer.status == 502 || answer.status == 504, answer.describe().c_str());
        LONGS_EQUAL(1, runs_of(first, fault) + runs_of(second, fault));
    }
}

// Fails when a request that a server rejected before running it is not retried at a free server.
TEST(machine_node, a_rejected_booking_goes_to_another_server)
{
    set_up({home});
    standin& first = fleet->add_server("i-1", "shop", home);
    standin& second = fleet->add_server("i-2", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    machine_fleet::set_fault(first, "shed");
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = "id" + std::to_string(i);
        const http_answer booked = call("POST", "/book/x", id);
        const std::string seen = booked.describe() + "\n" + fleet->node(0).program->output();
        CHECK_TRUE_TEXT(booked.is(200), seen.c_str());
        LONGS_EQUAL(1, runs_of(second, id));
    }
    machine_fleet::set_fault(second, "shed");
    const http_answer refused = call("POST", "/book/x", "last");
    LONGS_EQUAL(503, refused.status);
    CHECK_TRUE(refused.headers.contains("retry-after"));
    LONGS_EQUAL(0, runs_of(first, "last") + runs_of(second, "last"));
}

// Fails when a request runs at a server that took over another server's address, or is not retried
// at the right server.
TEST(machine_node, a_server_at_a_reused_address_does_not_run_the_request)
{
    set_up({home});
    standin& reused = fleet->add_server("i-new", "other", home);
    fleet->put("servers/i-old", json{{"Service", "shop"},
                                     {"Address", reused.address()},
                                     {"Zone", home + "-a"},
                                     {"State", "ready"}}
                                    .dump());
    standin& good = fleet->add_server("i-good", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = "id" + std::to_string(i);
        const http_answer booked = call("POST", "/book/x", id);
        const std::string seen = booked.describe() + "\n" + fleet->node(0).program->output();
        CHECK_TRUE_TEXT(booked.is(200), seen.c_str());
        LONGS_EQUAL(1, runs_of(good, id));
    }
    CHECK_TRUE(machine_fleet::seen(reused)["runs"].empty());
}

// Fails when a stream whose server disconnects inside an event has missing or repeated events, or
// is truncated.
TEST(machine_node, a_broken_stream_is_resumed_at_another_server)
{
    set_up({home});
    standin& first = fleet->add_server("i-1", "model", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/stream/x");
    machine_fleet::set_fault(first, "break_stream");
    fleet->add_server("i-2", "model", home);
    fleet->wait_until_served(0, "/stream/x");
    for (int i = 0; i < 6; ++i)
    {
        const http_answer stream = call("POST", "/stream/x", "id" + std::to_string(i));
        CHECK_TRUE_TEXT(stream.is(200), stream.describe().c_str());
        STRCMP_EQUAL(whole_stream(1, 5).c_str(), stream.body.c_str());
    }
}

// Fails when the error of the server that should resume a stream is written into the answer, or the
// answer ends cleanly (fresh-df7b on kalkofen-slots; hunt-9c5d-19 on tamarack-lunar, where the
// second server is in another region).
TEST(machine_node, a_stream_that_cannot_be_resumed_has_no_clean_end)
{
    for (const std::string& second_region : {home, remote})
    {
        set_up({home, remote});
        standin& first = fleet->add_server("i-1", "model", home);
        fleet->start_nodes();
        fleet->wait_until_served(0, "/stream/x");
        standin& second = fleet->add_server("i-2", "model", second_region);
        fleet->wait_until_served(second_region == home ? 0 : 1, "/stream/x");
        machine_fleet::set_fault(first, "break_stream");
        machine_fleet::set_fault(second, "error");
        int resumed = 0;
        for (int i = 0; resumed == 0; ++i)
        {
            const std::string id = "id" + std::to_string(i);
            const http_answer stream = call("POST", "/stream/x", id);
            CHECK_FALSE_TEXT(stream.is(200), stream.describe().c_str());
            if (stream.status != 200 || runs_of(second, id) == 0)
                continue;
            ++resumed;
            CHECK_TRUE_TEXT(stream.end == answer_end::truncated, stream.describe().c_str());
            STRCMP_EQUAL(whole_stream(1, 2).c_str(), stream.body.c_str());
        }
    }
}

// Fails when a server that sends bytes without end occupies a node until the request's deadline.
TEST(machine_node, an_answer_without_end_is_given_up)
{
    struct row
    {
        const char* fault;
        const char* method;
        const char* path;
    };
    const row rows[] = {
        {"endless", "POST", "/stream/x"},
        {"endless", "GET", "/read/x"},
        {"endless", "POST", "/book/x"},
        {"endless_other_id", "POST", "/book/x"},
    };
    set_up({home});
    standin& model = fleet->add_server("i-m", "model", home);
    standin& shop = fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->wait_until_served(0, "/stream/x");
    constexpr std::size_t accepted_bytes_bound = 16'777'216;
    constexpr int deadline_ms = 5'000;
    for (const row& each : rows)
    {
        standin& server = std::string(each.path).starts_with("/stream") ? model : shop;
        machine_fleet::set_fault(server, each.fault);
        const auto began = std::chrono::steady_clock::now();
        const http_answer answer =
            call(each.method, each.path, std::string(each.fault) + each.path, deadline_ms);
        const auto taken = std::chrono::steady_clock::now() - began;
        machine_fleet::set_fault(server, "");
        const std::string seen = std::string(each.fault) + " " + each.path + ": " +
                                 answer.describe().substr(0, 500) + "\n" +
                                 fleet->node(0).program->output();
        CHECK_FALSE_TEXT(answer.is(200), seen.c_str());
        CHECK_TRUE_TEXT(taken < std::chrono::milliseconds(deadline_ms / 2), seen.c_str());
        const auto bytes = machine_fleet::seen(server)["endless_bytes"].get<std::size_t>();
        CHECK_TRUE_TEXT(bytes < accepted_bytes_bound, seen.c_str());
        CHECK_TRUE_TEXT(call("GET", "/read/x", "after" + seen.substr(0, 8)).is(200), seen.c_str());
    }
}

// Fails when a server continues to work on a request after its client has disconnected.
TEST(machine_node, a_client_disconnect_cancels_the_request)
{
    set_up({home});
    standin& model = fleet->add_server("i-m", "model", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/stream/x");
    machine_fleet::set_fault(model, "mute");
    http_exchange exchange(fleet->node(0).callers,
                           machine_fleet::request("POST", "/stream/x", "gone"));
    wait_until("the server runs the request", [&] { return runs_of(model, "gone") == 1; });
    exchange.close();
    wait_until("the server's connection is closed",
               [&]
               {
                   const json cancelled = machine_fleet::seen(model)["cancelled"];
                   return std::find(cancelled.begin(), cancelled.end(), "gone") != cancelled.end();
               });
}

// Fails when a leaving or an evacuated server gets new requests.
TEST(machine_node, leaving_and_evacuated_servers_get_no_requests)
{
    set_up({home});
    standin& leaving = fleet->add_server("i-1", "shop", home);
    standin& staying = fleet->add_server("i-2", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->put("servers/i-1", json{{"Service", "shop"},
                                   {"Address", leaving.address()},
                                   {"Zone", home + "-a"},
                                   {"State", "draining"}}
                                  .dump());
    wait_until(
        "the node has read that the server is leaving", [&]
        { return fleet->node(0).program->output().find("\"leaving\":true") != std::string::npos; });
    for (int i = 0; i < 10; ++i)
    {
        CHECK_TRUE(call("GET", "/read/x", "id" + std::to_string(i)).is(200));
        LONGS_EQUAL(0, runs_of(leaving, "id" + std::to_string(i)));
    }
    fleet->put("op/evacuate/" + home + "-a", "{}");
    wait_until("the node refuses requests",
               [&] { return call("GET", "/read/x", "probe").status == 503; });
    const int before = static_cast<int>(machine_fleet::seen(staying)["runs"].size());
    LONGS_EQUAL(503, call("GET", "/read/x", "evacuated").status);
    LONGS_EQUAL(before, machine_fleet::seen(staying)["runs"].size());
    fleet->remove("op/evacuate/" + home + "-a");
    fleet->wait_until_served(0, "/read/x");
}

// Fails when a node keeps an old configuration after the store compacted the history that its watch
// refers to.
TEST(machine_node, a_compacted_history_is_read_again)
{
    set_up({home});
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/compact", "").is(200));
    fleet->publish_configuration(9);
    wait_until("the new version is in force",
               [&]
               {
                   return http_get(fleet->node(0).admin, "/metrics")
                              .body.find("snipeplank_config_version 9") != std::string::npos;
               });
}

// Fails when a node that starts while the store is down does not copy the state from its peers.
TEST(machine_node, a_node_that_starts_while_the_store_is_down_copies_a_peer)
{
    set_up({home, remote});
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "yes").is(200));
    fleet->node(0).program->kill();
    fleet->start_node(0);
    fleet->wait_until_served(0, "/read/x");
}

// Fails when the directory sends clients to a node without configuration, which refuses every
// request.
TEST(machine_node, a_node_without_configuration_is_not_listed)
{
    set_up({home, remote});
    fleet->start_node(1);
    wait_for_status(fleet->node(1).readiness, "/api/readyz", 200);
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "yes").is(200));
    fleet->node(1).program->kill();
    fleet->start_node(0);
    fleet->start_node(1);
    const std::string question = "/api/resolve?Name=shop.example&Region=" + home + "&Zone=" + home;
    for (const std::size_t asked : {0, 1})
    {
        wait_for_status(fleet->node(asked).readiness, "/api/readyz", 503);
        LONGS_EQUAL(503, http_get(fleet->node(asked).directory, question).status);
    }
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "no").is(200));
    wait_until("the directory lists the first node",
               [&]
               {
                   const std::string first = http_get(fleet->node(1).directory, question).body;
                   return first.find(fleet->node(0).callers) != std::string::npos;
               });
}

// Fails when a request bound to another region is served here, or is not forwarded there.
TEST(machine_node, a_bound_request_is_served_in_its_region)
{
    set_up({home, remote});
    fleet->publish_configuration(4, remote);
    standin& here = fleet->add_server("i-1", "shop", home);
    standin& there = fleet->add_server("i-2", "shop", remote);
    fleet->add_server("i-m", "model", remote);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    CHECK_TRUE(call("GET", "/read/x", "bound").is(200));
    LONGS_EQUAL(0, runs_of(here, "bound"));
    LONGS_EQUAL(1, runs_of(there, "bound"));
    fleet->wait_until_served(0, "/stream/x");
    const http_answer stream = call("POST", "/stream/x", "far");
    CHECK_TRUE_TEXT(stream.is(200), stream.describe().c_str());
    STRCMP_EQUAL(whole_stream(1, 5).c_str(), stream.body.c_str());
}

// Fails when a planned stop truncates a stream, leaves the node in the directory, or never ends.
TEST(machine_node, a_planned_stop_completes_requests_in_flight)
{
    set_up({home, remote});
    fleet->add_server("i-m", "model", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/stream/x");
    const std::string question = "/api/resolve?Name=shop.example&Region=" + home + "&Zone=" + home;
    const auto lists_first = [&]
    {
        return http_get(fleet->node(1).directory, question).body.find(fleet->node(0).callers) !=
               std::string::npos;
    };
    wait_until("the other node lists this one", lists_first);
    http_exchange stream(fleet->node(0).callers,
                         machine_fleet::request("POST", "/stream/x", "last"));
    CHECK_TRUE(stream.read_body(10));
    fleet->node(0).program->send_signal(SIGTERM);
    wait_for_status(fleet->node(0).readiness, "/api/readyz", 503);
    const http_answer answer = stream.finish();
    CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
    STRCMP_EQUAL(whole_stream(1, 5).c_str(), answer.body.c_str());
    LONGS_EQUAL(0, fleet->node(0).program->wait());
    wait_until("the stopped node is not listed", [&] { return !lists_first(); });
}

// Fails when every node of a region watches the store, so that its load grows with the fleet
// (kalkofen-slots-large: a third of the worth of a calm day).
TEST(machine_node, most_nodes_of_a_region_follow_others)
{
    set_up(std::vector<std::string>(region_size, home));
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    for (std::size_t i = 0; i < region_size; ++i)
    {
        fleet->wait_until_served(i, "/read/x");
    }
    constexpr std::chrono::seconds observed{3};
    // Two watchers, each with two watches of 1.5 s that may begin or end in the observed time.
    constexpr long max_calls = 12;
    wait_until("the store is called by two nodes only",
               [&]
               {
                   const long before = fleet->store().counts()["calls"].get<long>();
                   std::this_thread::sleep_for(observed);
                   return fleet->store().counts()["calls"].get<long>() - before <= max_calls;
               });
    fleet->remove("servers/i-s");
    fleet->add_server("i-t", "shop", home);
    for (std::size_t i = 0; i < region_size; ++i)
    {
        wait_until("a follower uses the new server",
                   [&] {
                       return call("GET", "/read/x", "new", 5'000, i).body.find("i-t") !=
                              std::string::npos;
                   });
    }
}

// Fails when nodes that follow a frozen node learn of a configuration too late.
TEST(machine_node, a_frozen_node_delays_no_other)
{
    set_up(std::vector<std::string>(region_size, home));
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    for (std::size_t i = 0; i < region_size; ++i)
    {
        fleet->wait_until_served(i, "/read/x");
    }
    constexpr std::chrono::milliseconds configuration_bound{4'000};
    const auto has_version = [&](std::size_t index, int version)
    {
        const std::string wanted = "snipeplank_config_version " + std::to_string(version) + "\n";
        return http_get(fleet->node(index).admin, "/metrics").body.find(wanted) !=
               std::string::npos;
    };
    for (std::size_t frozen = 0; frozen < region_size; ++frozen)
    {
        const int version = 10 + static_cast<int>(frozen);
        fleet->node(frozen).program->send_signal(SIGSTOP);
        fleet->publish_configuration(version);
        const auto published = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < region_size; ++i)
        {
            if (i != frozen)
                wait_until("the configuration is in force",
                           [&] { return has_version(i, version); });
        }
        CHECK_TRUE(std::chrono::steady_clock::now() - published < configuration_bound);
        fleet->node(frozen).program->send_signal(SIGCONT);
        wait_until("the node that was frozen follows",
                   [&] { return has_version(frozen, version); });
    }
}

// Fails when a node starts with incomplete settings, or does not report the missing field.
TEST(machine_node, a_start_without_settings_reports_the_missing_field)
{
    machine_fleet files({home});
    const std::string path = files.node(0).settings_path;
    std::ofstream(path) << R"({"Node":"n1"})";
    files.start_node(0);
    LONGS_EQUAL(2, files.node(0).program->wait());
    // The process may exit before its last output has been read.
    wait_until("the message names the field",
               [&] { return files.node(0).program->output().find("Region") != std::string::npos; });
}
