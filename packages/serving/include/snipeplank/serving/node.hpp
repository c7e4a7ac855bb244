/// @file
/// One entry node: callers, other nodes and operators on one event loop.

#ifndef SNIPEPLANK_SERVING_NODE_HPP
#define SNIPEPLANK_SERVING_NODE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
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

/// @brief What a node must know before it has read anything.
struct node_options
{
    std::string name;
    core::address caller_address;
    core::address readiness_address;
    core::address directory_address;
    core::address peer_address;  ///< other nodes
    core::address admin_address; ///< metrics and the copy of the state for other nodes
    core::region_id region;
    core::zone_id zone;
    std::map<core::zone_id, core::region_id> zones; ///< all that there are
    std::vector<core::address> seeds;               ///< peer addresses; some may be stale
    std::vector<std::string> fleet_keys;
    placement_bounds bounds;
    core::milliseconds entry_point_lifetime{2'000};
    core::milliseconds stop_time{8'000}; ///< from the signal until the process is ended
};

/// @brief Adapters to what the node's surroundings speak; all outlive the node.
struct node_adapters
{
    state_source& source;
    const caller_protocol& callers;
    const upstream_protocol& upstreams;
    const control_protocol& control;
};

/// @brief Serves until it is stopped. Lives on one event loop.
class node
{
  public:
    node(boost::asio::io_context& loop, node_options options, node_adapters adapters);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Listens and starts to read the state. Needs no answer of anybody.
    core::result<void> start();

    /// @brief Takes changed settings; only seeds change while a process runs.
    void reload(const node_options& changed);

    /// @brief Graceful shutdown: takes leave of clients and nodes, then stops the event loop.
    void begin_stop();

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace snipeplank::serving

#endif
