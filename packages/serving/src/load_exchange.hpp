/// @file
/// Exchange of load reports between nodes.

#ifndef SNIPEPLANK_SERVING_SRC_LOAD_EXCHANGE_HPP
#define SNIPEPLANK_SERVING_SRC_LOAD_EXCHANGE_HPP

#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/serving/placement.hpp>

#include <map>
#include <set>
#include <vector>

namespace snipeplank::serving
{

/// @brief Translates between gossip messages and the loads that placement uses. Not thread-safe.
class load_exchange
{
  public:
    /// @param places outlives the object
    load_exchange(core::region_id region, placement& places);

    /// @brief Handles a load report of another node.
    /// @param table resolves service names, which are sent as hashes; null when none is known yet
    void on_received(const fleet::gossip& received, const routing_table* table,
                     core::time_point now);

    /// @brief Handles what upstreams of this region said of themselves to another node.
    void on_feedback(const fleet::gossip& received, core::time_point now);

    /// @brief Adds what upstreams of this region said of themselves.
    /// @return whether there is anything to tell
    bool add_feedback(fleet::gossip& message, core::time_point now) const;

    /// @brief Updates placement with the state of the other regions.
    /// @param reachable regions with at least one node that answers
    void publish_regions(const std::set<core::region_id>& reachable);

    /// @brief Load that this node causes, to report to the nodes of its region.
    std::vector<fleet::upstream_load> own_upstreams() const;

    /// @brief Load of this region, to report to other regions.
    fleet::region_summary own_region(core::incarnation self, core::time_point now) const;

  private:
    void on_own_region(const fleet::gossip& received, core::time_point now);

    core::region_id m_region;
    placement& m_placement;
    std::map<core::region_id, remote_region> m_regions;
};

} // namespace snipeplank::serving

#endif
