/// @file
/// An entry node: serves callers, other nodes and operators on one event loop.

#ifndef SNIPEPLANK_SERVING_NODE_HPP
#define SNIPEPLANK_SERVING_NODE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/account_terms.hpp>
#include <snipeplank/serving/placement.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/state_source.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::serving
{

/// @brief Start-up settings of a node, needed before it reads any published state.
struct node_options
{
    std::string name;
    core::address caller_address;
    core::address readiness_address;
    core::address directory_address;
    core::address peer_address;  ///< where other nodes connect
    core::address admin_address; ///< metrics, and the state snapshot for other nodes
    core::region_id region;
    core::zone_id zone;
    std::map<core::zone_id, core::region_id> zones; ///< every zone of the fleet, with its region
    std::vector<core::address> seeds; ///< peer addresses of possible nodes; some may be stale
    std::vector<std::string> fleet_keys;
    placement_bounds bounds;
    account_terms accounts;
    lease_terms configuration_lease; ///< within which the configuration counts as the newest one
    lease_terms evacuation_lease;    ///< the same for the evacuated zones
    core::bytes memory{0};           ///< of the machine; 0: not known
    std::size_t descriptors = 0;     ///< that a process may have open; 0: not known
    core::milliseconds entry_point_lifetime{2'000};
    core::milliseconds stop_time{8'000}; ///< from the stop signal until the process is killed
};

/// @brief Protocol adapters of a node; all outlive the node.
struct node_adapters
{
    state_source& source;
    const caller_protocol& callers;
    const upstream_protocol& upstreams;
    const control_protocol& control;
};

/// @brief Serves requests until it is stopped. Must be used on its event loop only.
class node
{
  public:
    node(boost::asio::io_context& loop, node_options options, node_adapters adapters);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Opens the listeners and starts to read the published state. Succeeds without
    /// reaching any other node or the store.
    core::result<void> start();

    /// @brief Applies changed settings; only the seeds can change while a process runs.
    void reload(const node_options& changed);

    /// @brief Starts a graceful shutdown: announces it to clients and nodes, drains requests and
    /// then stops the event loop.
    void begin_stop();

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace snipeplank::serving

#endif
