/// @file
/// The processes of a soak: nodes, servers and a store behind relays, and the callers' threads.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_FLEET_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_FLEET_HPP

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fault_plan.hpp"
#include "machine_fleet.hpp"
#include "soak_verdict.hpp"
#include "standin.hpp"

namespace snipeplank::tests
{

/// @brief Real processes on this machine, with faults injected from outside.
class soak_fleet
{
  public:
    explicit soak_fleet(std::uint64_t seed);
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;

    /// @brief Sends load while the plan runs, then ends all faults, waits until every node serves
    /// each route again and collects the records.
    soak_record run(const std::vector<planned_fault>& plan, bool planned_only);

    /// @brief Output of all nodes, for the analysis of a failure.
    std::string logs();

  private:
    struct soak_server
    {
        std::string id;
        std::string service;
        std::string region;
        standin* program = nullptr;
        std::unique_ptr<standin> path;
        bool is_paused = false;
    };

    enum class node_state
    {
        running,
        stopping, ///< SIGTERM was sent
        down,
    };

    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);
    void begin_planned_operation(const planned_fault& fault);
    void begin_path_fault(const planned_fault& fault, standin& path);
    void publish(const soak_server& server, bool is_leaving) const;
    void restart_stopped_nodes();
    void start_node(std::size_t index);
    void restore();
    void wait_until_served();
    void call_until_stopped(std::size_t caller);
    call_record send_call(std::unique_ptr<http_exchange>& open, std::size_t node,
                          const std::string& id, std::uint64_t draw);
    standin& path_at(std::uint64_t draw);
    static void set_fault(soak_server& server, const std::string& fault);
    void save_log(std::size_t node);

    std::uint64_t m_seed;
    machine_fleet m_fleet;
    std::vector<soak_server> m_servers;
    std::vector<node_state> m_nodes;
    std::string m_logs;
    std::vector<exclusion_period> m_exclusions;
    /// Number of active planned operations, by server or region.
    std::map<std::string, int> m_active_operations;
    int m_version = 3;
    std::atomic<bool> m_is_stopped{false};
    std::vector<std::vector<call_record>> m_calls;
    std::vector<std::thread> m_callers;
};

} // namespace snipeplank::tests

#endif
