/// Tests that a graceful shutdown accepts no request so late that it would be cut off.

#include <snipeplank/serving/stop_schedule.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace std::chrono_literals;
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

// Fails when the process exits early with requests in flight, or is killed with them.
TEST(stop_schedule, the_process_ends_when_idle_and_before_it_is_killed)
{
    CHECK_FALSE(subject.must_exit(1s, true));
    CHECK_TRUE(subject.must_exit(3s, true));
    CHECK_FALSE(subject.must_exit(6s, false));
    CHECK_TRUE(subject.must_exit(7500ms, false));
}
