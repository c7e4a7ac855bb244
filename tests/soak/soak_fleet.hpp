/// @file
/// The processes of a soak: nodes, servers and a store behind relays, and the callers' threads.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_FLEET_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_FLEET_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault_plan.hpp"
#include "machine_fleet.hpp"
#include "soak_caller.hpp"
#include "soak_configuration.hpp"
#include "soak_server.hpp"
#include "soak_shape.hpp"
#include "soak_verdict.hpp"
#include "standin.hpp"

namespace snipeplank::tests
{

/// @brief Real processes on this machine, with faults injected from outside.
class soak_fleet
{
  public:
    soak_fleet(std::uint64_t seed, soak_shape shape);
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;

    /// @brief Sends load while the plan runs, then ends all faults, waits until every node serves
    /// each route again and collects the records.
    soak_record run(const std::vector<planned_fault>& plan);

    /// @brief Output of all nodes, for the analysis of a failure.
    std::string logs();

  private:
    enum class node_state
    {
        running,
        stopping, ///< SIGTERM was sent
        down,
    };

    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);
    void kill_node(std::size_t node);
    void begin_restarts(const planned_fault& fault);
    void set_disturbed(const planned_fault& fault, bool is_disturbed);
    void replace_half(std::uint64_t half);
    void begin_planned_operation(const planned_fault& fault);
    void begin_sound_behaviour(const planned_fault& fault);
    void begin_path_fault(const planned_fault& fault, standin& path);
    void end_drop(standin& path) const;
    void evacuate(const planned_fault& fault);
    void stop(std::size_t node);
    void end_server_fault(const planned_fault& fault);
    void set_fatal_part(const std::string& part);
    void begin_crashes(const planned_fault& fault);
    void end_crashes(const planned_fault& fault);
    void start_callers();
    void tend();
    void restart_stopped_nodes();
    void start_node(std::size_t index);
    void restore();
    void wait_until_served();
    soak_record collect();
    standin& path_at(std::uint64_t draw);
    std::string evacuated_region(const planned_fault& fault) const;
    void save_log(std::size_t node);

    std::uint64_t m_seed;
    soak_shape m_shape;
    machine_fleet m_fleet;
    soak_configuration m_configuration;
    std::deque<soak_server> m_servers;
    std::vector<node_state> m_nodes;
    std::vector<node_stop> m_stops;
    std::vector<node_disturbance> m_disturbances;
    std::vector<soak_time> m_store_disturbances;
    std::string m_logs;
    std::vector<exclusion_period> m_exclusions;
    /// Number of active operations of one kind, by server or region.
    std::map<std::string, int> m_active_operations;
    int m_newest_version = 2; ///< of the servers' software
    caller_view m_view;
    std::deque<soak_caller> m_callers;
};

} // namespace snipeplank::tests

#endif
