/// Guards the bound on the retries of all nodes together, which the nodes keep independently.

#include <snipeplank/policy/retry_window.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

#include "property.hpp"

using namespace snipeplank;
using namespace std::chrono_literals;
using policy::node_share;
using policy::retry_bound;
using policy::retry_window;

namespace
{

const core::time_point begin = core::time_point{} + 1h;

struct event
{
    core::time_point at;
    bool is_retry;
};

double count(const std::vector<event>& events, core::time_point from, core::time_point to,
             bool retries)
{
    return static_cast<double>(std::count_if(events.begin(), events.end(),
                                             [&](const event& each) {
                                                 return each.is_retry == retries &&
                                                        each.at >= from && each.at < to;
                                             }));
}

} // namespace

TEST_GROUP(retry_window){};

// Fails when one node uses the whole slack.
TEST(retry_window, slack_is_shared_by_the_nodes)
{
    retry_window one({0, 20, 10s});
    int taken = 0;
    for (int i = 0; i < 100; ++i)
    {
        taken += one.take(node_share{4}, begin) ? 1 : 0;
    }
    LONGS_EQUAL(5, taken);
}

// Fails when a node that may not know all others takes a part of the slack (incident BUDGET), or no
// retry that its own requests earn.
TEST(retry_window, a_node_that_may_not_know_all_others_takes_no_slack)
{
    retry_window one({0.5, 20, 10s});
    CHECK_FALSE(one.take(node_share{}, begin));
    one.on_request(begin);
    one.on_request(begin);
    CHECK_TRUE(one.take(node_share{}, begin + 1s));
    CHECK_FALSE(one.take(node_share{}, begin + 1s));
}

// Fails when requests earn retries for longer than the window.
TEST(retry_window, requests_before_the_window_earn_no_retry)
{
    retry_window one({0.5, 0, 10s});
    for (int i = 0; i < 100; ++i)
    {
        one.on_request(begin);
    }
    CHECK_TRUE(one.take(node_share{1}, begin + 4s));
    CHECK_FALSE(one.take(node_share{1}, begin + 11s));
}

// Fails when any sliding window contains more retries of all nodes together than the bound.
TEST(retry_window, every_window_keeps_the_bound)
{
    tests::check_property(
        "repeats of all nodes stay within ratio x requests + slack",
        []
        {
            const auto nodes = *rc::gen::inRange<std::size_t>(1, 6);
            const retry_bound bound{0.2, 12, 10s};
            std::vector<retry_window> windows(nodes, retry_window(bound));
            std::vector<event> events;
            core::time_point now = begin;
            const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 400));
            for (const int step : steps)
            {
                now += std::chrono::milliseconds(step);
                retry_window& node = windows[static_cast<std::size_t>(step) % nodes];
                const bool is_request = step % 3 == 0;
                if (is_request)
                    node.on_request(now);
                if (is_request || node.take(node_share{nodes}, now))
                    events.push_back({now, !is_request});
            }
            for (const event& each : events)
            {
                const core::time_point from = each.at;
                const double retries = count(events, from, from + 10s, true);
                const double requests = std::max({count(events, from, from + 10s, false),
                                                  count(events, from - 10s, from, false),
                                                  count(events, from - 5s, from + 5s, false)});
                RC_ASSERT(retries <= bound.ratio * requests + bound.slack);
            }
        });
}
