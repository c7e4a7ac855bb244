/// Runs randomized faults against real processes; see scripts/soak.sh for long runs.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "soak/fault_plan.hpp"
#include "soak/soak_fleet.hpp"

using namespace snipeplank::tests;

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds short_run{8'000};

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

/// Every third seed has planned operations only, for which the guarantees are stricter.
bool is_planned(std::uint64_t seed)
{
    return seed % 3 == 0;
}

std::string describe(const std::vector<planned_fault>& plan)
{
    std::string text;
    for (const planned_fault& each : plan)
    {
        text += std::to_string(each.at.count()) + " ms: " + to_string(each.kind) + " for " +
                std::to_string(each.duration.count()) + " ms, draw " + std::to_string(each.draw) +
                "\n";
    }
    return text;
}

void soak(std::uint64_t seed, milliseconds length)
{
    const std::vector<planned_fault> plan = make_fault_plan(seed, length, is_planned(seed));
    soak_fleet fleet(seed);
    const soak_record seen = fleet.run(plan, is_planned(seed));
    const std::vector<std::string> violations = find_violations(seen);
    std::size_t served = 0;
    for (const call_record& each : seen.calls)
    {
        served += each.answer.is(200) ? 1 : 0;
    }
    std::cout << "seed " << seed << ": " << plan.size() << " faults, " << seen.calls.size()
              << " calls, " << served << " served, " << violations.size() << " promises broken\n";
    CHECK_TRUE_TEXT(served > 0, "nothing was served");
    if (violations.empty())
        return;
    const std::string log = "soak-" + std::to_string(seed) + ".log";
    std::ofstream(log) << describe(plan) << fleet.logs();
    std::string text = "plan and logs are in " + log + "\n";
    constexpr std::size_t max_shown = 20;
    for (std::size_t i = 0; i < std::min(violations.size(), max_shown); ++i)
    {
        text += violations[i] + "\n";
    }
    FAIL(text.c_str());
}

} // namespace

TEST_GROUP(fault_soak){};

// Fails when a guarantee is violated under single, successive and overlapping faults.
TEST(fault_soak, random_faults_break_no_promise)
{
    const std::uint64_t first = number_from("SNIPEPLANK_SOAK_FIRST_SEED", 1);
    const std::uint64_t count = number_from("SNIPEPLANK_SOAK_SEEDS", 2);
    const milliseconds length{number_from("SNIPEPLANK_SOAK_MS", short_run.count())};
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        soak(seed, length);
    }
}

// Fails when planned operations alone truncate a request or send it to a wrong server.
TEST(fault_soak, planned_operations_violate_no_guarantee)
{
    soak(3, short_run);
}

// Fails when a seed that failed in the past fails again.
TEST(fault_soak, former_failures_stay_fixed)
{
    struct former_failure
    {
        std::uint64_t seed;
        const char* cause;
    };
    for (const former_failure& each : {former_failure{
             102, "the soak took a region back while a second evacuation of it still ran"}})
    {
        std::cout << "once failed: " << each.cause << "\n";
        soak(each.seed, short_run);
    }
}
