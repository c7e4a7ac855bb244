/// Programs whose standard output is a pipe that nobody reads: requests are answered in time, and
/// the programs end within their grace.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>
#include <vector>

#include "machine_test.hpp"
#include "test_fleet.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds answer_limit{2};
constexpr std::chrono::seconds grace{8};

void check_ends(child_process& program)
{
    program.send_signal(SIGTERM);
    const std::optional<int> status = program.wait_for(grace);
    CHECK_TRUE_TEXT(status.has_value(), "still running at the end of the grace");
    LONGS_EQUAL(0, *status);
}

} // namespace

TEST_GROUP_BASE(unread_log, machine_test)
{
    int number = 0;

    void start_unread(store_path path = store_path::direct)
    {
        fleet = std::make_unique<machine_fleet>(std::vector<std::string>{home}, path);
        fleet->publish_configuration(3);
        fleet->add_server("i-s", "shop", home);
        fleet->start_nodes();
        fleet->wait_until_served(0, "/read/x");
        fleet->node(0).program->hold_output();
    }

    http_answer read(const std::string& path) const
    {
        http_request request =
            machine_fleet::request("GET", path, "id" + std::to_string(number), 5'000);
        request.read_timeout = answer_limit;
        return http_call(fleet->node(0).callers, request);
    }

    void check_serves()
    {
        ++number;
        const http_answer answer = read("/read/x");
        CHECK_TRUE_TEXT(answer.is(200),
                        (std::to_string(number) + ": " + answer.describe()).c_str());
    }
};

// Fails when a store that goes away and comes back holds up requests by the lines that tell of it.
TEST(unread_log, a_store_that_goes_and_comes_back_holds_up_no_request)
{
    constexpr int outages = 50;
    start_unread(store_path::relayed);
    for (int i = 0; i < outages; ++i)
    {
        fleet->store_relay().set_faults({{"refuse", true}, {"cut", true}});
        std::this_thread::sleep_for(100ms);
        check_serves();
        fleet->store_relay().set_faults(nlohmann::json::object());
        std::this_thread::sleep_for(100ms);
        check_serves();
    }
    check_ends(*fleet->node(0).program);
}

// Fails when items that cannot be read hold up requests by the lines that tell of them.
TEST(unread_log, unreadable_items_hold_up_no_request)
{
    constexpr int items = 500;
    start_unread();
    for (int i = 0; i < items; ++i)
    {
        fleet->put("servers/other-" + std::to_string(i), "not an entry");
        if (i % 10 == 0)
            check_serves();
    }
    check_serves();
    check_ends(*fleet->node(0).program);
}

// Fails when requests that are refused hold up others by the lines that tell of them.
TEST(unread_log, refused_requests_hold_up_no_other)
{
    constexpr int clients = 4;
    constexpr int requests = 2'500;
    start_unread();
    std::vector<std::future<int>> unanswered;
    for (int i = 0; i < clients; ++i)
    {
        unanswered.push_back(std::async(std::launch::async,
                                        [this]
                                        {
                                            int count = 0;
                                            for (int sent = 0; sent < requests; ++sent)
                                            {
                                                count += read("/none/x").is(404) ? 0 : 1;
                                            }
                                            return count;
                                        }));
    }
    for (std::future<int>& each : unanswered)
    {
        while (each.wait_for(20ms) != std::future_status::ready)
        {
            const http_answer answer = read("/read/x");
            CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
        }
        LONGS_EQUAL(0, each.get());
    }
    check_ends(*fleet->node(0).program);
}

// Fails when settings that cannot be read hold up requests by the lines that tell of them.
TEST(unread_log, bad_settings_hold_up_no_request)
{
    constexpr int reloads = 50;
    start_unread();
    std::ofstream(fleet->node(0).settings_path) << "no settings";
    for (int i = 0; i < reloads; ++i)
    {
        fleet->node(0).program->send_signal(SIGHUP);
        std::this_thread::sleep_for(20ms);
        check_serves();
    }
    check_ends(*fleet->node(0).program);
}

// Fails when a reader that comes back finds no lines, or is not told that some were left out.
TEST(unread_log, a_reader_that_comes_back_reads_on)
{
    constexpr int items = 50;
    start_unread();
    child_process& program = *fleet->node(0).program;
    for (int i = 0; i < items; ++i)
    {
        fleet->put("servers/other-" + std::to_string(i), "not an entry");
    }
    check_serves();
    program.release_output();
    check_ends(program);
    wait_until("the end of the log is read",
               [&] { return program.output().find("\"event\":\"stop\"") != std::string::npos; });
    const std::string text = program.output();
    CHECK_TRUE_TEXT(text.find("lines about 'ignored items' were left out") != std::string::npos,
                    text.c_str());
}

TEST_GROUP(unread_log_of_the_own_interface)
{
    const std::string home = "salzkammer";

    static fleet_topology one_region()
    {
        fleet_topology topology;
        topology.regions = {"salzkammer"};
        return topology;
    }
};

// Fails when lines on new configurations or on the stop hold up calls, or the end of the program.
TEST(unread_log_of_the_own_interface, new_configurations_and_the_stop_hold_up_no_call)
{
    constexpr int versions = 4;
    test_fleet fleet(one_region());
    test_node& node = fleet.node(home, 0);
    node.process->hold_output();
    for (int i = 0; i < versions; ++i)
    {
        const std::uint64_t version = fleet.publish_config();
        wait_until("version " + std::to_string(version),
                   [&]
                   {
                       http_request question;
                       question.path = "/v1/status";
                       question.read_timeout = answer_limit;
                       const http_answer status = http_call(node.admin_address, question);
                       CHECK_TRUE_TEXT(status.is(200), status.describe().c_str());
                       const auto document = nlohmann::json::parse(status.body, nullptr, false);
                       return document.is_object() &&
                              document.value("config_version", std::uint64_t{0}) == version;
                   });
        http_request request = test_fleet::drafting("text", 8);
        request.read_timeout = answer_limit;
        const http_answer answer = http_call(node.caller_address, request);
        CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
    }
    check_ends(*node.process);
}
