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
    last_planned = evacuate_region, ///< kinds up to here are planned operations
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
    last = forget_history,
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

/// @brief Single, successive and overlapping faults, ordered by their start.
/// @param planned_only limits the plan to planned operations
std::vector<planned_fault> make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length,
                                           bool planned_only);

} // namespace snipeplank::tests

#endif
