/// @file
/// Snapshot of the fleet for request threads.

#ifndef SNIPEPLANK_GATEWAY_FLEET_VIEW_HPP
#define SNIPEPLANK_GATEWAY_FLEET_VIEW_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/rcu_cell.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Addresses of one node for callers and peers.
struct node_addresses
{
    core::address caller;
    core::address peer;
    core::zone_id zone;
};

/// @brief Immutable snapshot of the fleet, replaced as a whole when it changes.
struct fleet_view
{
    bool is_ready = false;
    /// Live nodes of the own region; includes this node unless it is leaving.
    std::vector<node_addresses> live;
    std::vector<node_addresses> region_nodes; ///< every known node of the own region, live or not
    std::map<core::region_id, std::vector<node_addresses>> remote_nodes; ///< of other regions
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// @brief Published snapshot; request threads copy the pointer without a lock.
class fleet_view_cell
{
  public:
    fleet_view_cell()
        : m_cell(std::make_unique<const fleet_view_ptr>(std::make_shared<const fleet_view>()))
    {
    }

    /// @brief The current snapshot.
    fleet_view_ptr get() const
    {
        return m_cell.read([](const fleet_view_ptr& view) { return view; });
    }

    /// @brief Publishes a new snapshot.
    void set(fleet_view view)
    {
        m_cell.replace(std::make_unique<const fleet_view_ptr>(
            std::make_shared<const fleet_view>(std::move(view))));
    }

  private:
    core::rcu_cell<fleet_view_ptr> m_cell;
};

} // namespace snipeplank::gateway

#endif
