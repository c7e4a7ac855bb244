/// Tests who is admitted while requests want more than fits, on one server in virtual time.

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/fair_admission.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace std::chrono_literals;

namespace
{

constexpr double units_per_ms = 100;
constexpr double objective_ms = 1'000;
constexpr core::milliseconds span{30'000};

/// What became of an account's work.
struct account_work
{
    double asked = 0;
    double in_time = 0;
};

/// One server that works off what was admitted in its order, and accounts that ask at their rates.
std::map<std::string, account_work> play(const std::map<std::string, double>& units_per_second,
                                         bool is_bounded)
{
    core::seeded_random random(17);
    fair_admission room;
    std::map<std::string, account_work> work;
    const core::time_point begin = core::time_point{} + 1h;
    double queued = 0;
    for (core::time_point now = begin; now < begin + span; now += 1ms)
    {
        queued = std::max(0.0, queued - units_per_ms);
        for (const auto& [name, rate] : units_per_second)
        {
            const double size = random.below(4) == 0 ? 12'000 : 900;
            constexpr double mean_size = 0.25 * 12'000 + 0.75 * 900;
            if (random.unit() >= rate / 1'000 / mean_size)
                continue;
            const core::account_id account{name};
            const double wait_ms = queued / units_per_ms;
            // Without a bound, callers wait until their deadline.
            constexpr double deadline_ms = 12'000;
            const double limit =
                is_bounded ? objective_ms * room.wait_limit(account, now) : deadline_ms;
            work[name].asked += size;
            if (wait_ms > limit)
                continue;
            room.on_admitted(account, size, now);
            queued += size;
            if (wait_ms <= objective_ms)
                work[name].in_time += size;
        }
    }
    return work;
}

double sum_in_time(const std::map<std::string, account_work>& work)
{
    double sum = 0;
    for (const auto& [name, each] : work)
    {
        sum += each.in_time;
    }
    return sum;
}

} // namespace

TEST_GROUP(fair_admission){};

// Fails when a queue that is filled up to the deadlines makes everyone late: callers that want two
// to five times what fits.
TEST(fair_admission, what_fits_is_served_in_time_whatever_is_asked)
{
    constexpr double capacity = units_per_ms * static_cast<double>(span.count());
    for (const double pressure : {2.0, 5.0})
    {
        const double each = units_per_ms * 1'000 * pressure / 4;
        const std::map<std::string, double> rates{
            {"a", each}, {"b", each}, {"c", each}, {"d", each}};
        const double bounded = sum_in_time(play(rates, true));
        CHECK_TEXT(bounded >= 0.9 * capacity, std::to_string(bounded / capacity).c_str());
        CHECK_TRUE(sum_in_time(play(rates, false)) < bounded / 2);
    }
}

// Fails when an account that sends many times its usual takes the room of the others.
TEST(fair_admission, an_account_that_asks_for_much_does_not_crowd_out_the_others)
{
    const double usual = units_per_ms * 1'000 / 5;
    const auto work = play({{"a", usual}, {"b", usual}, {"c", usual}, {"d", 10 * usual}}, true);
    const double fair = units_per_ms * static_cast<double>(span.count()) / 4;
    for (const char* name : {"a", "b", "c"})
    {
        const account_work& each = work.at(name);
        CHECK_TEXT(each.in_time >= std::min(each.asked, fair) / 2, name);
    }
    CHECK_TRUE(work.at("d").in_time >= fair / 4);
}

// Fails when an account that is alone, or takes its fair part, is held to less than the others.
TEST(fair_admission, the_wait_follows_the_share_of_an_account)
{
    const core::time_point now = core::time_point{} + 1h;
    const core::account_id small{"small"};
    const core::account_id large{"large"};
    fair_admission room;
    DOUBLES_EQUAL(fair_admission::usual_wait, room.wait_limit(small, now), 1e-9);
    room.on_admitted(large, 1'000, now);
    DOUBLES_EQUAL(fair_admission::usual_wait, room.wait_limit(large, now), 1e-9);
    DOUBLES_EQUAL(fair_admission::longest_wait, room.wait_limit(small, now), 1e-9);
    room.on_admitted(small, 1'000, now);
    DOUBLES_EQUAL(fair_admission::usual_wait, room.wait_limit(small, now), 1e-9);
    room.on_admitted(large, 8'000, now);
    CHECK_TRUE(room.wait_limit(large, now) < room.wait_limit(small, now));
    CHECK_TRUE(room.wait_limit(large, now) >= fair_admission::shortest_wait);
    // What was admitted long ago does not count.
    DOUBLES_EQUAL(fair_admission::usual_wait, room.wait_limit(large, now + 10min), 1e-9);
}
