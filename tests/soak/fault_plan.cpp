#include "fault_plan.hpp"

#include <algorithm>
#include <random>

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds mean_gap{900};

struct kind_row
{
    fault_kind kind;
    const char* name;
    bool is_planned;
    bool is_newer;
    milliseconds min_duration;
    milliseconds max_duration;
    bool is_newest = false;
};

/// Drains and evacuations outlast the time limits that are checked for them (4 s and 5 s).
const std::vector<kind_row> rows{
    {fault_kind::stop_node, "stop_node", true, false, 6s, 8s},
    {fault_kind::reload_node, "reload_node", true, false, 6s, 8s},
    {fault_kind::new_configuration, "new_configuration", true, false, 6s, 8s},
    {fault_kind::drain_server, "drain_server", true, false, 6s, 8s},
    {fault_kind::evacuate_region, "evacuate_region", true, false, 6s, 8s},
    {fault_kind::kill_node, "kill_node", false, false, 100ms, 3s},
    {fault_kind::freeze_node, "freeze_node", false, false, 100ms, 3s},
    {fault_kind::freeze_server, "freeze_server", false, false, 100ms, 3s},
    {fault_kind::faulty_server, "faulty_server", false, false, 100ms, 3s},
    {fault_kind::delay_path, "delay_path", false, false, 100ms, 3s},
    {fault_kind::cut_path, "cut_path", false, false, 100ms, 3s},
    {fault_kind::silence_path, "silence_path", false, false, 100ms, 3s},
    {fault_kind::drop_to_target, "drop_to_target", false, false, 100ms, 3s},
    {fault_kind::drop_to_client, "drop_to_client", false, false, 100ms, 3s},
    {fault_kind::refuse_path, "refuse_path", false, false, 100ms, 3s},
    {fault_kind::forget_history, "forget_history", false, false, 100ms, 3s},
    {fault_kind::pause_server, "pause_server", true, true, 700ms, 1'500ms},
    {fault_kind::mute_server, "mute_server", true, true, 700ms, 1'500ms},
    {fault_kind::close_ended_answers, "close_ended_answers", true, true, 2s, 5s},
    {fault_kind::change_timeouts, "change_timeouts", true, true, 500ms, 4s},
    {fault_kind::change_idle_limit, "change_idle_limit", true, true, 500ms, 4s},
    {fault_kind::move_routes, "move_routes", true, true, 500ms, 4s},
    {fault_kind::version_storm, "version_storm", true, true, 3s, 3'001ms},
    // Kinds that stand here again are drawn more often.
    {fault_kind::stop_node, "stop_node", true, true, 6s, 8s},
    {fault_kind::pause_server, "pause_server", true, true, 700ms, 1'500ms},
    {fault_kind::mute_server, "mute_server", true, true, 700ms, 1'500ms},
    {fault_kind::close_ended_answers, "close_ended_answers", true, true, 2s, 5s},
    {fault_kind::move_routes, "move_routes", true, true, 500ms, 4s},
    {fault_kind::crash_servers, "crash_servers", false, true, 2s, 5s},
    {fault_kind::restart_server, "restart_server", false, true, 100ms, 700ms, true},
    {fault_kind::restart_server, "restart_server", false, true, 100ms, 700ms, true},
    {fault_kind::restart_server, "restart_server", false, true, 100ms, 700ms, true},
    {fault_kind::release_version, "release_version", false, true, 3s, 6s, true},
    {fault_kind::release_version, "release_version", false, true, 3s, 6s, true},
    {fault_kind::kill_all_nodes, "kill_all_nodes", false, true, 100ms, 1s, true},
};

/// Versions of the software belong to one service each, so that a stream keeps its service while
/// these are judged.
bool moves_routes(fault_kind kind)
{
    return kind == fault_kind::move_routes || kind == fault_kind::version_storm;
}

std::vector<kind_row> drawn_from(plan_kinds kinds)
{
    std::vector<kind_row> drawn;
    for (const kind_row& each : rows)
    {
        if ((each.is_newest || moves_routes(each.kind)) && each.is_newest != kinds.with_releases)
            continue;
        if ((each.is_planned || !kinds.planned_only) && (!each.is_newer || kinds.with_newer))
            drawn.push_back(each);
    }
    return drawn;
}

} // namespace

std::string to_string(fault_kind kind)
{
    return std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.kind == kind; })
        ->name;
}

std::vector<planned_fault> make_fault_plan(std::uint64_t seed, milliseconds length,
                                           plan_kinds kinds)
{
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    const auto between = [&](milliseconds min_value, milliseconds max_value)
    {
        const auto span = static_cast<std::uint64_t>((max_value - min_value).count());
        return min_value + milliseconds{static_cast<long>(below(span))};
    };
    const std::vector<kind_row> drawn = drawn_from(kinds);
    std::vector<planned_fault> plan;
    milliseconds at{0};
    while (at < length)
    {
        const kind_row& row = drawn[below(drawn.size())];
        planned_fault each;
        each.at = at;
        each.kind = row.kind;
        each.duration = between(row.min_duration, row.max_duration);
        each.draw = random();
        plan.push_back(each);
        // A third of the faults start at the same time as the previous one.
        const bool is_together = below(3) == 0;
        at += is_together ? milliseconds{0} : between(milliseconds{0}, 2 * mean_gap);
    }
    return plan;
}

} // namespace snipeplank::tests
