/// Tests that a suspension of the host is told once.

#include <CppUTest/TestHarness.h>

#include <chrono>

#include "../src/suspension_watch.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace std::chrono_literals;

TEST_GROUP(suspension_watch){};

// Fails when a suspension is missed, told twice, or seen where clocks were read a moment apart.
TEST(suspension_watch, each_suspension_is_told_once)
{
    struct row
    {
        core::milliseconds suspended;
        bool is_new;
    };
    const row rows[] = {{1'000ms, false}, {1'049ms, false}, {1'050ms, true}, {1'050ms, false},
                        {1'060ms, false}, {4'000ms, true},  {3'000ms, false}};
    core::milliseconds suspended{1'000};
    suspension_watch subject([&] { return suspended; });
    for (const row& each : rows)
    {
        suspended = each.suspended;
        CHECK_EQUAL_TEXT(each.is_new, subject.take_suspension(), "at the time of this row");
    }
}
