/// @file
/// What request threads read of the fleet.

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

/// @brief One node as callers and peers reach it.
struct node_addresses
{
    core::address caller;
    core::address peer;
    core::zone_id zone;
};

/// @brief Immutable picture of the fleet, replaced when something changes.
struct fleet_view
{
    bool is_ready = false;
    std::vector<node_addresses> live; ///< of the own region, this node included unless it leaves
    std::vector<node_addresses> region_nodes; ///< every known node of the own region, live or not
    std::map<core::region_id, std::vector<node_addresses>> others; ///< by region
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// @brief Published picture; request threads copy the pointer without a lock.
class fleet_view_cell
{
  public:
    fleet_view_cell()
        : m_cell(std::make_unique<const fleet_view_ptr>(std::make_shared<const fleet_view>()))
    {
    }

    /// @brief The current picture.
    fleet_view_ptr get() const
    {
        return m_cell.read([](const fleet_view_ptr& view) { return view; });
    }

    /// @brief Publishes a new picture.
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
