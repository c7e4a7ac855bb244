/// The published state at nodes on machines of the users' platform: reading it from the store, from
/// other nodes, and without either.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;

TEST_GROUP_BASE(machine_state, machine_test)
{
    /// Nodes of a region in which some follow others.
    static constexpr std::size_t region_size = 6;
    /// Time from the publication of a configuration until it must be in force.
    static constexpr std::chrono::milliseconds configuration_bound{4'000};

    bool has_version(std::size_t index, int version)
    {
        const std::string wanted = "snipeplank_config_version " + std::to_string(version) + "\n";
        return http_get(fleet->node(index).admin, "/metrics").body.find(wanted) !=
               std::string::npos;
    }

    void start_region()
    {
        set_up(std::vector<std::string>(region_size, home));
        fleet->add_server("i-s", "shop", home);
        fleet->start_nodes();
        for (std::size_t i = 0; i < region_size; ++i)
        {
            fleet->wait_until_served(i, "/read/x");
        }
    }
};

// Fails when a node without configuration answers 404 instead of 503, or never starts.
TEST(machine_state, a_node_that_cannot_reach_the_store_starts_and_sends_retry_after)
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
TEST(machine_state, a_silent_connection_to_the_store_is_replaced)
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

// Fails when a node keeps an old configuration after the store compacted the history that its watch
// refers to.
TEST(machine_state, a_compacted_history_is_read_again)
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
TEST(machine_state, a_node_that_starts_while_the_store_is_down_copies_a_peer)
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

// Fails when nodes follow a store that comes back from an older copy into what was before: an older
// configuration, a server that has left; or drop a server that the copy does not know yet; or never
// follow the store again.
TEST(machine_state, a_store_that_comes_back_from_an_older_copy_takes_nothing_back)
{
    start_region();
    const auto store = [&](const char* call)
    { CHECK_TRUE(http_post(fleet->store().address(), call, "").is(200)); };
    const std::string entry = R"("Service":"shop","Zone":"salzkammer-a","State":"ready",)"
                              R"("Version":"v1","Slots":6,"WarmupLeftMs":0,)";
    standin& left = fleet->start_server("i-left");
    const auto publish = [&](const std::string& id, const standin& server, int sequence)
    {
        fleet->put("servers/" + id, R"({"Address":")" + server.address() + R"(",)" + entry +
                                        R"("born":1000,"Sequence":)" + std::to_string(sequence) +
                                        "}");
    };
    publish("i-left", left, 1);
    store("/standin/copy");
    standin& added = fleet->start_server("i-added");
    publish("i-added", added, 1);
    fleet->remove("servers/i-left");
    fleet->remove("servers/i-s");
    fleet->publish_configuration(5);
    for (std::size_t i = 0; i < region_size; ++i)
    {
        wait_until("the configuration is in force", [&] { return has_version(i, 5); });
        wait_until("the added server is used",
                   [&] {
                       return call("GET", "/read/x", "a", 5'000, i).body.find("i-added") !=
                              std::string::npos;
                   });
        // What a node has not read before the store comes back is nothing that it could take back.
        wait_until("the removals are known",
                   [&]
                   {
                       return fleet->node(i).program->output().find(
                                  R"("event":"upstream_gone","id":"i-s")") != std::string::npos;
                   });
    }
    store("/standin/restore");
    const auto restored = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - restored < std::chrono::seconds(4))
    {
        for (std::size_t i = 0; i < region_size; ++i)
        {
            const http_answer answer = call("GET", "/read/x", "b", 5'000, i);
            CHECK_TRUE_TEXT(answer.body.find("i-added") != std::string::npos,
                            answer.describe().c_str());
            CHECK_TRUE(has_version(i, 5));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    publish("i-added", added, 2);
    fleet->remove("servers/i-left");
    fleet->remove("servers/i-s");
    fleet->publish_configuration(6);
    for (std::size_t i = 0; i < region_size; ++i)
    {
        wait_until("the next configuration is in force", [&] { return has_version(i, 6); });
        CHECK_TRUE(call("GET", "/read/x", "c", 5'000, i).body.find("i-added") != std::string::npos);
    }
    CHECK_TRUE(std::chrono::steady_clock::now() - restored <
               std::chrono::seconds(4) + 2 * configuration_bound);
}

// Fails when an odd entry among those of the servers ends the program, or when the node stops
// following the others' entries for it.
TEST(machine_state, odd_entries_stop_no_node)
{
    set_up({home});
    fleet->add_server("i-1", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    const std::string known = R"({"Service":"shop","Zone":"salzkammer-a","State":"ready",)"
                              R"("Version":"v1","Sequence":1,)";
    const std::string nested(400'000, '[');
    const std::string rows[] = {
        nested,
        R"({"a":)" + nested,
        known + R"("Address":"127.0.0.1:70000","Slots":6,"WarmupLeftMs":0})",
        known + R"("Address":"127.0.0.1:1","Slots":1e300,"WarmupLeftMs":1e300,"born":1e300})",
        known + R"("Address":"127.0.0.1:1","WarmupLeftMs":0,"Slots":1e999})",
        std::string("\xff\xfe\x00", 3),
    };
    int number = 1;
    for (const std::string& odd : rows)
    {
        fleet->put("servers/odd-" + std::to_string(number), odd);
        const std::string removed = "i-" + std::to_string(number);
        const std::string added = "i-" + std::to_string(++number);
        fleet->add_server(added, "shop", home);
        fleet->remove("servers/" + removed);
        wait_until(
            "the next server gets requests",
            [&] { return call("GET", "/read/x", "after").body.find(added) != std::string::npos; });
        CHECK_TRUE(fleet->node(0).program->is_running());
    }
}

// Fails when a key that another program wrote changes the read that begins after it: a node that
// starts then reads the same page for ever, and finds no server (review/2, RECOVER).
TEST(machine_state, a_key_at_the_end_of_a_page_does_not_change_the_next_read)
{
    set_up({home});
    fleet->add_server("i-s", "shop", home);
    fleet->tell_store("/standin/page_items", "1");
    const std::string keys[] = {"edge&test",   "a b",      "a+b",       "100%",      "a%26b",
                                "#x",          "?x=1",     "a=b",       "q\"\\",     "\x01",
                                "caf\xc3\xa9", "&after=z", "a\r\n\r\n", "a\r\nX: y", "a;b,c",
                                "a/b",         ""};
    for (const std::string& each : keys)
    {
        fleet->put("servers/" + each, "no entry");
    }
    for (const char* is_chunked : {"no", "yes"})
    {
        fleet->tell_store("/standin/chunked", is_chunked);
        fleet->start_nodes();
        fleet->wait_until_served(0, "/read/x");
        fleet->node(0).program->kill();
    }
}

// Fails when the key of an item begins a line of its own in a node's log.
TEST(machine_state, a_key_begins_no_line_of_the_log)
{
    set_up({home});
    fleet->add_server("i-s", "shop", home);
    fleet->put("servers/a\nforged line", "no entry");
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    const std::string output = fleet->node(0).program->output();
    CHECK_TRUE_TEXT(output.find("forged line") != std::string::npos, output.c_str());
    CHECK_TRUE_TEXT(output.find("\nforged line") == std::string::npos, output.c_str());
}

// Fails when a node goes on reading a listing that does not end, without a pause, or gives up what
// it knows for it.
TEST(machine_state, a_listing_that_does_not_end_is_given_up)
{
    struct row
    {
        const char* path;
        const char* on;
        const char* off;
    };
    // A node pauses for 200 ms after a failed read: 5 listings a second for each of two prefixes,
    // of two pages until the second one repeats the first.
    constexpr long max_reads_per_s = 20;
    constexpr std::chrono::seconds observed{2};
    set_up({home});
    fleet->add_server("i-0", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    int number = 0;
    for (const row& each :
         {row{"/standin/repeat_page", "yes", "no"}, row{"/standin/range_status", "410", "200"}})
    {
        fleet->tell_store(each.path, each.on);
        fleet->tell_store("/standin/compact", "");
        const long before = fleet->store().counts()["range_reads"].get<long>();
        std::this_thread::sleep_for(observed);
        const long reads = fleet->store().counts()["range_reads"].get<long>() - before;
        const std::string seen = std::string(each.path) + ": " + std::to_string(reads) + " reads";
        CHECK_TRUE_TEXT(reads > 0 && reads <= max_reads_per_s * observed.count(), seen.c_str());
        CHECK_TRUE_TEXT(call("GET", "/read/x", "during").is(200), each.path);
        fleet->tell_store(each.path, each.off);
        fleet->remove("servers/i-" + std::to_string(number));
        const std::string added = "i-" + std::to_string(++number);
        fleet->add_server(added, "shop", home);
        wait_until(
            "the next server gets requests",
            [&] { return call("GET", "/read/x", "after").body.find(added) != std::string::npos; });
    }
}

// Fails when the directory sends clients to a node without configuration, which refuses every
// request.
TEST(machine_state, a_node_without_configuration_is_not_listed)
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

// Fails when every node of a region watches the store, so that its load grows with the fleet
// (kalkofen-slots-large quiet-1).
TEST(machine_state, most_nodes_of_a_region_follow_others)
{
    start_region();
    constexpr std::chrono::seconds observed{3};
    // Two watchers, each with two watches of 1.5 s that may begin or end in the observed time.
    constexpr long max_calls = 12;
    constexpr int max_observations = 6;
    bool is_followed = false;
    for (int i = 0; i < max_observations && !is_followed; ++i)
    {
        const long before = fleet->store().counts()["calls"].get<long>();
        std::this_thread::sleep_for(observed);
        is_followed = fleet->store().counts()["calls"].get<long>() - before <= max_calls;
    }
    CHECK_TRUE(is_followed);
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
TEST(machine_state, a_frozen_node_delays_no_other)
{
    start_region();
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

// Fails when a node whose watchers both stopped answering does not read the store itself in time.
TEST(machine_state, a_node_whose_peers_are_all_frozen_reads_the_store)
{
    start_region();
    const auto signal_others = [&](std::size_t spared, int signal)
    {
        for (std::size_t i = 0; i < region_size; ++i)
        {
            if (i != spared)
                fleet->node(i).program->send_signal(signal);
        }
    };
    for (std::size_t spared = 0; spared < region_size; ++spared)
    {
        const int version = 10 + static_cast<int>(spared);
        signal_others(spared, SIGSTOP);
        fleet->publish_configuration(version);
        const auto published = std::chrono::steady_clock::now();
        while (!has_version(spared, version) &&
               std::chrono::steady_clock::now() - published < configuration_bound)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CHECK_TRUE(has_version(spared, version));
        signal_others(spared, SIGCONT);
        for (std::size_t i = 0; i < region_size; ++i)
        {
            wait_until("the nodes that were frozen follow",
                       [&] { return has_version(i, version); });
        }
        fleet->wait_until_served(spared, "/read/x");
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
}

// Fails when a node starts with incomplete settings, or does not report the missing field.
TEST(machine_state, a_start_without_settings_reports_the_missing_field)
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
