#include "fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace snipeplank::tests
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds mean_gap{900};
constexpr milliseconds min_fault_duration{100};
constexpr milliseconds max_fault_duration{3'000};
/// Planned operations outlast the time limits that are checked for them (4 s and 5 s).
constexpr milliseconds min_planned_duration{6'000};
constexpr milliseconds max_planned_duration{8'000};

} // namespace

std::string to_string(fault_kind kind)
{
    static constexpr std::array<const char*, static_cast<std::size_t>(fault_kind::last) + 1> names{
        "stop_node",       "reload_node",    "new_configuration", "drain_server",
        "evacuate_region", "kill_node",      "freeze_node",       "freeze_server",
        "faulty_server",   "delay_path",     "cut_path",          "silence_path",
        "drop_to_target",  "drop_to_client", "refuse_path",       "forget_history",
    };
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> make_fault_plan(std::uint64_t seed, milliseconds length,
                                           bool planned_only)
{
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    const auto between = [&](milliseconds min_value, milliseconds max_value)
    {
        const auto span = static_cast<std::uint64_t>((max_value - min_value).count());
        return min_value + milliseconds{static_cast<long>(below(span))};
    };
    const auto kinds =
        static_cast<std::uint64_t>(planned_only ? fault_kind::last_planned : fault_kind::last) + 1;
    std::vector<planned_fault> plan;
    milliseconds at{0};
    while (at < length)
    {
        planned_fault each;
        each.at = at;
        each.kind = static_cast<fault_kind>(below(kinds));
        each.duration = each.kind <= fault_kind::last_planned
                            ? between(min_planned_duration, max_planned_duration)
                            : between(min_fault_duration, max_fault_duration);
        each.draw = random();
        plan.push_back(each);
        // A third of the faults start at the same time as the previous one.
        const bool is_together = below(3) == 0;
        at += is_together ? milliseconds{0} : between(milliseconds{0}, 2 * mean_gap);
    }
    return plan;
}

} // namespace snipeplank::tests
