/// @file
/// One region of real fleet state machines in virtual time; other regions are simulated by their
/// summaries. Every message passes the wire codec; its frame counts with 66 bytes of TCP/IP
/// overhead.

#ifndef SNIPEPLANK_TOOLS_SLOPES_REGION_MODEL_HPP
#define SNIPEPLANK_TOOLS_SLOPES_REGION_MODEL_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/fleet/node_fleet.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "documents.hpp"

namespace snipeplank::slopes
{

/// @brief Sizes that determine the cost of control traffic and configuration.
struct fleet_size
{
    std::size_t nodes = 38; ///< in the region
    std::size_t regions = 21;
    std::size_t servers = 162; ///< upstreams in the region
    std::size_t accounts = 11'000;
    double changes_per_day = 5'700;
};

/// @brief Measurements of one run, per node.
struct measurement
{
    double cpu_percent = 0;        ///< of one core, on the node that builds configurations
    double gossip_cpu_percent = 0; ///< mean of the nodes that do not build configurations
    double build_ms = 0;           ///< CPU of one build of the configuration
    double memory_bytes = 0;       ///< live on the building node after the run
    double peak_memory_bytes = 0;
    double bytes_per_second = 0;         ///< both directions, mean of all nodes
    double max_bytes_per_second = 0;     ///< both directions, of the busiest node
    double service_bytes_per_second = 0; ///< busiest node's reads of the configuration service
    double seconds_to_force = 0;         ///< maximum over nodes and changes
    double load_coverage = 0;            ///< share of upstreams with a valid report, mean of nodes
    double region_coverage = 0;          ///< share of other regions with a valid summary
};

/// @brief A fault whose control traffic is measured.
enum class fault
{
    none,
    host_lost,      ///< one host stops permanently
    host_restarted, ///< one process restarts without a configuration
    rack_lost,      ///< 8 hosts stop at once
    zone_restarted, ///< half of the region stops and restarts 30 s later
    partition,      ///< no traffic between the two zones during the measurement
    healing,        ///< traffic resumes after a partition of 60 s
};

/// @brief Control traffic of the running nodes in the minute after a fault.
struct fault_cost
{
    double mean_bytes = 0; ///< per node, both directions
    double max_bytes = 0;  ///< of the busiest node
};

/// @brief Simulates one region.
class region_model
{
  public:
    region_model(fleet_size size, std::uint64_t seed);

    /// @brief Starts all nodes, waits for a steady state, then measures for `time`.
    measurement run(core::duration time);

    /// @brief Starts all nodes, waits for a steady state, injects the fault and measures for a
    /// minute.
    fault_cost run_fault(fault kind);

  private:
    struct node
    {
        core::address address;
        std::unique_ptr<core::seeded_random> random;
        std::unique_ptr<fleet::node_fleet> fleet;
        double cpu_seconds = 0;
        std::uint64_t bytes = 0;
        std::uint64_t service_bytes = 0;
        std::uint64_t last_index = 0;
        unsigned generation = 0;
        bool running = false;
        bool builds = false;
    };

    using event = std::function<void()>;
    using call = std::function<fleet::action_list(fleet::node_fleet&)>;

    void add_hosts();
    void start_node(std::size_t index);
    fleet::config_documents documents_for(std::size_t index);
    void publish();
    void schedule(core::duration after, event next);
    void advance(core::duration time);
    void warm_up();
    void stop_nodes(std::size_t first, std::size_t count);
    bool is_partitioned(std::size_t a, std::size_t b) const;
    void tick(std::size_t index, unsigned generation);
    void report_loads(std::size_t index, unsigned generation);
    void simulate_remote_region(std::size_t region);
    void on_node(std::size_t index, const call& next);
    void perform(std::size_t index, const fleet::action_list& actions);
    void send(std::size_t index, const fleet::send_message& sent);
    void receive(std::size_t index, const core::address& from, const std::string& frame);
    void answer_watch(std::size_t index, core::time_point until);
    void answer_section(std::size_t index, const std::string& hash);
    void measure_coverage(measurement& sum) const;

    fleet_size m_size;
    core::seeded_random m_random;
    core::time_point m_now{core::seconds{100'000}};
    std::multimap<core::time_point, event> m_events;
    std::vector<node> m_nodes;
    std::map<core::address, std::size_t> m_index;
    fleet::host_list m_hosts;
    documents m_documents;
    core::time_point m_published;
    std::uint64_t m_version = 0;
    std::uint32_t m_remote_sequence = 0;
    double m_build_cpu_seconds = 0;
    std::size_t m_builds = 0;
    double m_max_seconds_to_force = 0;
    bool m_partitioned = false;
};

} // namespace snipeplank::slopes

#endif
