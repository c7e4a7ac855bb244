/// Prompts under which servers crash, with real nodes in two regions and stand-in servers.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

/// A server that crashes when it begins to answer a prompt with the part `bad`, and is started
/// again under a new id.
struct restarted_server
{
    std::string region;
    std::string id;
    standin* program = nullptr;
};

} // namespace

TEST_GROUP_BASE(crashing_prompt, machine_test)
{
    std::vector<restarted_server> servers;
    int crashes = 0;
    int sent = 0;

    void start(restarted_server & server)
    {
        server.id = "i-" + std::to_string(servers.size()) + "-" + std::to_string(crashes) + "-" +
                    server.region;
        server.program = &fleet->start_server(server.id);
        CHECK_TRUE(http_post(server.program->address(), "/standin/fatal_part", "bad").is(200));
        fleet->publish_server(server.id, "model", server.region, server.program->address(),
                              "ready");
    }

    void set_up_servers(const std::vector<std::string>& regions)
    {
        for (const std::string& region : regions)
        {
            servers.push_back({region, "", nullptr});
            start(servers.back());
        }
        fleet->start_nodes();
        for (std::size_t node = 0; node < 3; ++node)
        {
            fleet->wait_until_served(node, "/stream/x");
        }
    }

    void restart_crashed_servers()
    {
        for (restarted_server& each : servers)
        {
            if (each.program->process().is_running())
                continue;
            ++crashes;
            fleet->remove("servers/" + each.id);
            start(each);
        }
    }

    /// Sends a prompt with this second part; the first part is always the same, the last never.
    http_answer send_prompt(const std::string& part, std::size_t node)
    {
        const std::string id = part + std::to_string(++sent);
        http_request request = machine_fleet::request("POST", "/stream/x", id);
        request.headers["Prefix-Hash"] = "first:50," + part + ":20," + id + ":30";
        return http_call(fleet->node(node).callers, request);
    }
};

// Fails when requests with a prompt part under which five servers have crashed are still sent to
// servers, or sound requests that share the first part are refused with them (BUDGET on
// kalkofen-slots, second1).
TEST(crashing_prompt, a_part_under_which_servers_crashed_is_refused_on_every_node)
{
    constexpr int learning_crashes = 5;
    constexpr auto contact_time = 6s;
    constexpr int allowed_later = 3;
    set_up({home, home, remote});
    set_up_servers({home, home, remote});
    // The node of the other region receives none of these requests.
    for (int i = 0; crashes < learning_crashes && i < 4 * learning_crashes; ++i)
    {
        static_cast<void>(send_prompt("bad", static_cast<std::size_t>(i % 2)));
        static_cast<void>(send_prompt("good", static_cast<std::size_t>(i % 2)));
        std::this_thread::sleep_for(200ms);
        restart_crashed_servers();
    }
    std::this_thread::sleep_for(contact_time);
    restart_crashed_servers();
    const int before = crashes;
    for (std::size_t i = 0; i < 12; ++i)
    {
        const http_answer refused = send_prompt("bad", i % 3);
        const http_answer served = send_prompt("good", i % 3);
        std::this_thread::sleep_for(100ms);
        restart_crashed_servers();
        if (crashes > before + allowed_later)
            break;
        CHECK_TRUE_TEXT(crashes > before || refused.status == 503, refused.describe().c_str());
        CHECK_TRUE_TEXT(crashes > before || served.is(200), served.describe().c_str());
    }
    const std::string seen =
        std::to_string(before) + " crashes, then " + std::to_string(crashes - before) + " more\n";
    CHECK_TRUE_TEXT(crashes <= before + allowed_later, seen.c_str());
}

// Fails when answers that break off at servers that go on running make a prompt part suspect.
TEST(crashing_prompt, broken_answers_of_running_servers_quarantine_nothing)
{
    set_up({home});
    standin& model = fleet->add_server("i-m", "model", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/stream/x");
    for (const char* fault : {"reset", "unsigned", "error"})
    {
        machine_fleet::set_fault(model, fault);
        for (int i = 0; i < 6; ++i)
        {
            const http_answer broken = send_prompt(fault, 0);
            CHECK_FALSE_TEXT(broken.status == 503, broken.describe().c_str());
        }
        machine_fleet::set_fault(model, "");
        const http_answer served = send_prompt(fault, 0);
        CHECK_TRUE_TEXT(served.is(200), served.describe().c_str());
    }
}
