/// What an upstream says of itself in its answers, at nodes on machines of the users' platform: how
/// many requests it takes from all nodes together, that it leaves, that it wants nothing for a
/// while.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

TEST_GROUP_BASE(upstream_feedback, machine_test)
{
    static constexpr auto window = 4s;

    /// Requests that the platform's rules allow in one window.
    static std::size_t allowed(double per_second)
    {
        constexpr double overshoot = 1.5;
        constexpr double slack = 5;
        return static_cast<std::size_t>(overshoot * per_second * 4 + slack);
    }

    /// Sends requests at every node for some time, one after the other at each.
    /// @return answers by status
    std::map<int, int> send_for(std::chrono::milliseconds time) const
    {
        std::vector<std::map<int, int>> answers(node_count);
        std::vector<std::thread> callers;
        const auto end = std::chrono::steady_clock::now() + time;
        for (std::size_t i = 0; i < node_count; ++i)
        {
            callers.emplace_back(
                [this, i, end, &answers]
                {
                    for (int number = 0; std::chrono::steady_clock::now() < end; ++number)
                    {
                        const std::string id =
                            "n" + std::to_string(i) + "-" + std::to_string(number);
                        ++answers[i][call("GET", "/read/x", id, 5'000, i).status];
                        std::this_thread::sleep_for(20ms);
                    }
                });
        }
        for (std::thread& each : callers)
        {
            each.join();
        }
        std::map<int, int> all;
        for (const auto& each : answers)
        {
            for (const auto& [status, count] : each)
            {
                all[status] += count;
            }
        }
        return all;
    }

    /// Starts the nodes and these servers, and waits until each node serves requests.
    /// @return the first server
    standin& start(const std::vector<std::string>& servers)
    {
        set_up(std::vector<std::string>(node_count, home));
        std::vector<standin*> started;
        for (const std::string& id : servers)
        {
            started.push_back(&fleet->add_server(id, "shop", home));
        }
        fleet->start_nodes();
        for (std::size_t i = 0; i < node_count; ++i)
        {
            fleet->wait_until_served(i, "/read/x");
        }
        return *started.front();
    }

    static constexpr std::size_t node_count = 3;
};

// Fails when an upstream that names how many requests a second it takes gets more from all nodes
// together (incident LIMIT), or gets none, or when the others are not used instead.
TEST(upstream_feedback, all_nodes_together_keep_a_named_limit)
{
    set_up(std::vector<std::string>(node_count, home));
    standin& limited = fleet->add_server("i-limited", "shop", home);
    standin& free = fleet->add_server("i-free", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    fleet->wait_until_sharing();
    machine_fleet::say(limited, "Server-Limit", "2");
    const std::map<int, int> answers = send_for(9s);
    const std::size_t most = machine_fleet::most_arrivals(limited, window, 1s);
    CHECK_TRUE(most <= allowed(2));
    CHECK_TRUE(most >= 2);
    LONGS_EQUAL(1, answers.size());
    CHECK_TRUE(answers.contains(200));
    CHECK_TRUE(machine_fleet::most_arrivals(free, window, 1s) > 100);
}

// Fails when a request that only a limited upstream could serve is held until its deadline, or is
// refused without the time at which to come back.
TEST(upstream_feedback, what_the_limit_leaves_over_is_refused_at_once)
{
    standin& limited = start({"i-limited"});
    fleet->wait_until_sharing();
    machine_fleet::say(limited, "Server-Limit", "1");
    send_for(500ms);
    for (std::size_t i = 0; i < node_count; ++i)
    {
        const auto before = std::chrono::steady_clock::now();
        const http_answer refused = call("GET", "/read/x", "over", 5'000, i);
        CHECK_TRUE(std::chrono::steady_clock::now() - before < 1s);
        LONGS_EQUAL(503, refused.status);
        CHECK_TRUE(refused.headers.contains("retry-after"));
    }
    send_for(6s);
    CHECK_TRUE(machine_fleet::most_arrivals(limited, window, 1s) <= allowed(1));
}

// Fails when a node goes on to use an upstream whose answers say that it leaves, while the store
// that could say so is away.
TEST(upstream_feedback, an_upstream_that_says_that_it_leaves_is_used_no_longer)
{
    standin& leaving = start({"i-leaving", "i-staying"});
    CHECK_TRUE(http_post(fleet->store().address(), "/standin/down", "yes").is(200));
    machine_fleet::say(leaving, "Server-Leaving", "1");
    const std::map<int, int> answers = send_for(4s);
    LONGS_EQUAL(1, answers.size());
    CHECK_TRUE(answers.contains(200));
    LONGS_EQUAL(0, machine_fleet::most_arrivals(leaving, window, 1s));
}

// Fails when an upstream that turns requests away and wants nothing for some seconds gets requests
// meanwhile, or none afterwards.
TEST(upstream_feedback, an_upstream_that_turns_away_is_left_alone_for_as_long_as_it_wants)
{
    standin& busy = start({"i-busy", "i-free"});
    machine_fleet::set_fault(busy, "shed");
    machine_fleet::say(busy, "Retry-After", "3.0");
    const std::map<int, int> answers = send_for(7s);
    LONGS_EQUAL(1, answers.size());
    CHECK_TRUE(answers.contains(200));
    // Each node asks again when the time is over, and not before.
    const std::size_t asked = machine_fleet::most_arrivals(busy, 10s, 0s);
    CHECK_TRUE(asked >= 2 * node_count && asked <= 3 * node_count);
}
