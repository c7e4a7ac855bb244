/// Tests that a graceful shutdown accepts no request so late that it would be cut off.

#include <snipeplank/serving/stop_schedule.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace std::chrono_literals;
namespace core = snipeplank::core;
using snipeplank::serving::stop_schedule;

TEST_GROUP(stop_schedule)
{
    stop_schedule subject{8s};
};

// Fails when a request that arrives about 3 s after the signal is accepted: it may be cut off when
// the process exits (hunt of 2026-12-04, day hunt-c3a6-19 on kalkofen-slots).
TEST(stop_schedule, late_requests_are_refused)
{
    CHECK_TRUE(subject.serves_new(0s));
    CHECK_TRUE(subject.serves_new(2s));
    CHECK_FALSE(subject.serves_new(2900ms));
    CHECK_FALSE(subject.serves_new(3s));
}

// Fails when a node whose grace is short takes requests until its end, so that few of them can be
// finished, or when it keeps its process after the last of them.
TEST(stop_schedule, requests_that_are_taken_have_most_of_the_grace)
{
    const core::milliseconds graces[] = {30s, 8s, 3s, 1s, 400ms};
    for (const core::milliseconds grace : graces)
    {
        const stop_schedule schedule{grace};
        const std::string seen = std::to_string(grace.count());
        CHECK_TRUE_TEXT(schedule.serves_new(grace / 4 > 2s ? 2s : grace / 4), seen.c_str());
        CHECK_FALSE_TEXT(schedule.serves_new(grace * 2 / 5), seen.c_str());
        CHECK_TRUE_TEXT(schedule.must_exit(grace * 2 / 5, true), seen.c_str());
    }
}

// Fails when requests in flight get their last answer so late that the process ends before it is
// sent, or so early that an answer that comes in time for a planned stop is given up.
TEST(stop_schedule, last_answers_come_between_the_time_to_finish_and_the_end)
{
    struct row
    {
        core::milliseconds grace;
        core::milliseconds exits_at; ///< no later than this
    };
    const row rows[] = {{30s, 29'300ms}, {8s, 7'300ms}, {3s, 2'700ms}, {1s, 900ms}, {400ms, 360ms}};
    for (const row& each : rows)
    {
        const stop_schedule schedule{each.grace};
        const core::milliseconds last_answer = schedule.last_answer_time();
        const std::string seen = std::to_string(each.grace.count());
        CHECK_TRUE_TEXT(schedule.must_exit(each.exits_at, false), seen.c_str());
        CHECK_TRUE_TEXT(last_answer >= each.grace * 5 / 6, seen.c_str());
        const core::milliseconds time_to_send = std::min(core::milliseconds{200}, each.grace / 25);
        CHECK_FALSE_TEXT(schedule.must_exit(last_answer + time_to_send, false), seen.c_str());
    }
}

// Fails when the process exits early with requests in flight, or is killed with them.
TEST(stop_schedule, the_process_ends_when_idle_and_before_it_is_killed)
{
    CHECK_FALSE(subject.must_exit(1s, true));
    CHECK_TRUE(subject.must_exit(3s, true));
    CHECK_FALSE(subject.must_exit(6s, false));
    CHECK_TRUE(subject.must_exit(7500ms, false));
}

// Fails when the last connections and the reader of the log are waited for longer than the process
// has until it is killed.
TEST(stop_schedule, the_end_of_the_process_leaves_a_reserve)
{
    const core::milliseconds graces[] = {30s, 8s, 3s, 1s, 400ms};
    for (const core::milliseconds grace : graces)
    {
        const stop_schedule schedule{grace};
        const core::milliseconds wait = schedule.closing_time() + schedule.flush_time();
        const std::string seen = std::to_string(grace.count());
        CHECK_TRUE_TEXT(wait > 0ms, seen.c_str());
        CHECK_TRUE_TEXT(schedule.must_exit(grace - 2 * wait, false), seen.c_str());
    }
}
