/// @file
/// Random plans of faults for the soak.

#ifndef SNIPEPLANK_TESTS_SOAK_FAULT_PLAN_HPP
#define SNIPEPLANK_TESTS_SOAK_FAULT_PLAN_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeplank::tests
{

/// @brief What happens to one process, path or published item.
enum class fault_kind
{
    stop_node, ///< SIGTERM, then a new start
    reload_node,
    new_configuration,
    drain_server,
    evacuate_region,
    last_planned = evacuate_region, ///< the kinds up to here are an operator's planned work
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

/// @brief Name for messages.
std::string to_string(fault_kind kind);

/// @brief One fault of a plan.
struct planned_fault
{
    std::chrono::milliseconds at{0}; ///< from the start of the load
    std::chrono::milliseconds lasts{0};
    fault_kind kind = fault_kind::stop_node;
    std::uint64_t draw = 0; ///< chooses the target and the variant
};

/// @brief Faults alone, in series and overlapping, in order of their start.
/// @param planned_only an operator's planned work and nothing else
std::vector<planned_fault> make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length,
                                           bool planned_only);

} // namespace snipeplank::tests

#endif
