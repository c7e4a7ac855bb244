/// Prompts and whole requests under which servers crash, with real nodes in two regions and
/// stand-in servers.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

constexpr const char* fatal_path = "/read/fatal";

/// A server that crashes when it begins to answer a prompt with the part `bad`, or a request for
/// `fatal_path`, and is started again under a new id.
struct restarted_server
{
    std::string region;
    std::string id;
    standin* program = nullptr;
};

/// Nodes with servers of one service that are started again after a crash.
class crashing_fleet : public machine_test
{
  protected:
    std::string service = "model";
    std::string sound_path = "/stream/x";
    int work_ms = 0; ///< time from the start of a run to its answer or crash
    std::vector<restarted_server> servers;
    int crashes = 0;

    void start(restarted_server& server)
    {
        server.id = "i-" + std::to_string(servers.size()) + "-" + std::to_string(crashes) + "-" +
                    server.region;
        server.program = &fleet->start_server(server.id, work_ms);
        const std::string address = server.program->address();
        CHECK_TRUE(http_post(address, "/standin/fatal_part", "bad").is(200));
        CHECK_TRUE(http_post(address, "/standin/fatal_path", fatal_path).is(200));
        fleet->publish_server(server.id, service, server.region, address, "ready");
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
            fleet->wait_until_served(node, sound_path);
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

    /// Sends a fatal and a sound request in turn to each node, the contact time after the last
    /// crash. No more than the allowed servers may crash; while none has, the fatal requests are
    /// refused and the sound ones served.
    void check_few_crash_later(const std::function<http_answer(std::size_t)>& send_fatal,
                               const std::function<http_answer(std::size_t)>& send_sound)
    {
        constexpr auto contact_time = 6s;
        constexpr int allowed_later = 3;
        constexpr std::size_t requests = 12;
        std::this_thread::sleep_for(contact_time);
        restart_crashed_servers();
        const int before = crashes;
        for (std::size_t i = 0; i < requests && crashes <= before + allowed_later; ++i)
        {
            const http_answer refused = send_fatal(i % 3);
            const http_answer served = send_sound(i % 3);
            std::this_thread::sleep_for(100ms);
            restart_crashed_servers();
            if (crashes > before)
                continue;
            CHECK_TRUE_TEXT(refused.status == 503, refused.describe().c_str());
            CHECK_TRUE_TEXT(served.is(200), served.describe().c_str());
        }
        const std::string seen = std::to_string(before) + " crashes, then " +
                                 std::to_string(crashes - before) + " more\n";
        CHECK_TRUE_TEXT(crashes <= before + allowed_later, seen.c_str());
    }

    int count_ended() const
    {
        return static_cast<int>(std::count_if(servers.begin(), servers.end(),
                                              [](const restarted_server& each)
                                              { return !each.program->process().is_running(); }));
    }
};

} // namespace

TEST_GROUP_BASE(crashing_prompt, crashing_fleet)
{
    int sent = 0;

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
    check_few_crash_later([&](std::size_t node) { return send_prompt("bad", node); },
                          [&](std::size_t node) { return send_prompt("good", node); });
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

TEST_GROUP_BASE(crashing_request, crashing_fleet)
{
    int sent = 0;

    void set_up_shops()
    {
        service = "shop";
        sound_path = "/read/sound";
        work_ms = 30;
        set_up({home, home, remote});
        set_up_servers({home, home, remote});
    }

    /// Sends a request without a prompt that may be repeated.
    http_answer send_as(const std::string& id, const std::string& path, std::size_t node)
    {
        http_request request = machine_fleet::request("GET", path, id);
        request.headers.erase("Prefix-Hash");
        request.headers.erase("Token-Usage");
        return http_call(fleet->node(node).callers, request);
    }

    /// Each request is a new one to the nodes but for its path.
    http_answer send(const std::string& path, std::size_t node)
    {
        return send_as(path + std::to_string(++sent), path, node);
    }
};

// Fails when a request under which three servers have crashed is still sent to servers, by whatever
// node it comes, or when sound requests are refused with it (BUDGET on kalkofen-slots).
TEST(crashing_request, a_request_under_which_servers_crashed_is_refused_on_every_node)
{
    constexpr int learning_crashes = 3;
    constexpr int max_learning_requests = 30;
    set_up_shops();
    for (int i = 0; crashes < learning_crashes && i < max_learning_requests; ++i)
    {
        static_cast<void>(send(fatal_path, static_cast<std::size_t>(i) % 3));
        std::this_thread::sleep_for(300ms);
        restart_crashed_servers();
    }
    check_few_crash_later([&](std::size_t node) { return send(fatal_path, node); },
                          [&](std::size_t node)
                          { return send("/read/sound" + std::to_string(node), node); });
}

// Fails when one request that its caller repeats at once at each node ends all three copies of a
// service before the nodes know of it.
TEST(crashing_request, a_request_that_is_repeated_at_once_leaves_a_copy_of_a_small_service)
{
    set_up_shops();
    for (std::size_t i = 0; i < 9; ++i)
    {
        static_cast<void>(send(fatal_path, i % 3));
    }
    CHECK_TRUE_TEXT(count_ended() < 3, "all servers have ended");
    fleet->wait_until_served(0, sound_path);
}

// Fails when a request that ran beside a fatal one, and was lost with it, is refused from then on.
TEST(crashing_request, requests_that_were_lost_with_a_fatal_one_are_served)
{
    set_up_shops();
    constexpr std::size_t count = 6;
    std::vector<std::future<http_answer>> beside;
    for (std::size_t i = 0; i < count; ++i)
    {
        beside.push_back(std::async(std::launch::async,
                                    [this, i]
                                    {
                                        const std::string path = "/read/" + std::to_string(i);
                                        return send_as("beside" + path, path, i % 3);
                                    }));
    }
    static_cast<void>(send(fatal_path, 0));
    for (std::future<http_answer>& each : beside)
    {
        each.wait();
    }
    std::this_thread::sleep_for(1'500ms);
    restart_crashed_servers();
    for (std::size_t i = 0; i < count; ++i)
    {
        const http_answer served = send("/read/" + std::to_string(i), i % 3);
        CHECK_TRUE_TEXT(served.is(200), served.describe().c_str());
    }
}
