/// @file
/// Random fault schedules for the soak test.

#ifndef SNIPEPLANK_TESTS_SOAK_FAULT_PLAN_HPP
#define SNIPEPLANK_TESTS_SOAK_FAULT_PLAN_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeplank::tests
{

/// @brief Kind of a fault of one process, path or published item.
enum class fault_kind
{
    stop_node, ///< SIGTERM, then a restart
    reload_node,
    new_configuration,
    drain_server,
    evacuate_region,
    kill_node,
    freeze_node,
    freeze_server,
    faulty_server,
    delay_path,
    cut_path,
    silence_path,
    drop_to_target,
    drop_to_client,
    refuse_path,
    forget_history,
    pause_server,        ///< a sound server stands still for about a second
    mute_server,         ///< as `pause_server`, but it accepts connections meanwhile
    close_ended_answers, ///< answers end with their connection
    change_timeouts,     ///< of the routes
    change_idle_limit,   ///< of the clients' connections
    move_routes,         ///< to another service and back
    version_storm,       ///< a changed configuration every 250 ms
    crash_servers,       ///< a part of a prompt, or a whole request, ends each server that runs it
    restart_server,      ///< under its id, and cold; its next entry comes late
    release_version,     ///< half of the servers end and come back with other software, then all
    kill_all_nodes,
};

/// @brief Name of the kind in messages.
std::string to_string(fault_kind kind);

/// @brief One scheduled fault.
struct planned_fault
{
    std::chrono::milliseconds at{0}; ///< from the start of the load
    std::chrono::milliseconds duration{0};
    fault_kind kind = fault_kind::stop_node;
    std::uint64_t draw = 0; ///< random number that selects the target and the variant
};

/// @brief Which kinds a plan draws from.
struct plan_kinds
{
    bool planned_only = false;  ///< planned operations, and what sound servers do
    bool with_newer = false;    ///< the plans of older seeds lack the newer kinds
    bool with_releases = false; ///< the newest kinds too, and no changes of the routes
};

/// @brief Single, successive and overlapping faults, ordered by their start.
std::vector<planned_fault> make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length,
                                           plan_kinds kinds);

} // namespace snipeplank::tests

#endif
