/// @file
/// Connects the fleet state machine of this node to threads, the clock and the network.

#ifndef SNIPEPLANK_GATEWAY_FLEET_DRIVER_HPP
#define SNIPEPLANK_GATEWAY_FLEET_DRIVER_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/fleet/node_fleet.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/dispatch_guard.hpp>
#include <snipeplank/gateway/fleet_view.hpp>
#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/platform_client.hpp>
#include <snipeplank/settings/node_settings.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Collaborators of the driver. All must outlive it.
struct fleet_driver_parts
{
    const settings::node_settings& settings;
    core::node_id self; ///< peer address and incarnation
    wire::peer_network& network;
    config_cell& config;
    fleet_view_cell& view;
    dispatch_guard& dispatch;
    metrics& counters;
};

/// @brief Owns the fleet state and the threads that feed it.
///
/// One control thread owns the state machine. Peers' messages and platform reads reach it through
/// a queue, so that neither the network's I/O thread nor a reader thread ever waits for it.
class fleet_driver
{
  public:
    explicit fleet_driver(const fleet_driver_parts& parts);
    ~fleet_driver();
    fleet_driver(const fleet_driver&) = delete;
    fleet_driver& operator=(const fleet_driver&) = delete;

    void start();

    /// @brief Stops and joins all threads.
    void stop();

    /// @brief Queues a fleet message of a peer. Never blocks.
    void on_message(const core::address& from, fleet::message received);

    /// @brief Announces to peers that this node is leaving.
    void begin_leaving();

    /// @brief This node's view of the fleet as JSON.
    std::string status_json();

    /// @brief Sets gauges from the state.
    void refresh_gauges();

  private:
    using event = std::function<fleet::action_list(core::time_point)>;

    void post(event what);
    void run_control();
    void run_config_reader();
    void run_host_reader();
    void run_load_reader();

    void perform(const fleet::action_list& actions, core::time_point now);
    void perform_one(const fleet::action& what, core::time_point now);
    void report(const fleet::alarm& raised);
    void publish_view(core::time_point now);
    void update_dispatcher(core::time_point now);

    /// A load report that has not been passed to the dispatcher. Each report is passed once: a
    /// repetition would be combined again with a different number of own calls.
    struct new_report
    {
        core::address upstream;
        fleet::load_sample reading;
        core::time_point read_at;
    };

    std::vector<new_report> collect_new_reports(core::time_point now);
    std::vector<policy::region_status> region_status(core::time_point now) const;
    void apply_host_listing(const host_listing& listing);
    bool wait(core::milliseconds time);

    using config_read = std::variant<fleet::read_manifest, fleet::read_section>;

    fleet_driver_parts m_parts;
    core::seeded_random m_random;

    std::mutex m_state_mutex; ///< guards `m_fleet` and what is derived from it
    fleet::node_fleet m_fleet;
    std::vector<listed_host> m_hosts; ///< the last listing
    std::map<core::address, core::time_point> m_last_report_at;
    core::time_point m_next_update;

    std::mutex m_queue_mutex;
    std::condition_variable m_queue_changed;
    std::deque<event> m_events;

    std::mutex m_read_mutex;
    std::condition_variable m_read_changed;
    std::deque<config_read> m_reads;
    std::vector<core::address> m_probes;
    bool m_is_stopping = false;

    std::unique_ptr<platform_client> m_config_client;
    std::unique_ptr<platform_client> m_host_client;
    std::unique_ptr<platform_client> m_load_client;
    std::vector<std::thread> m_threads;
};

} // namespace snipeplank::gateway

#endif
