/// @file
/// What the nodes tell each other about the load of upstreams and regions.

#ifndef SNIPEPLANK_SERVING_SRC_LOAD_EXCHANGE_HPP
#define SNIPEPLANK_SERVING_SRC_LOAD_EXCHANGE_HPP

#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/serving/placement.hpp>

#include <map>
#include <set>
#include <vector>

namespace snipeplank::serving
{

/// @brief Translates between the nodes' messages and what placement knows. Not thread-safe.
class load_exchange
{
  public:
    /// @param places outlives the object
    load_exchange(core::region_id region, placement& places);

    /// @brief Takes what another node says.
    /// @param table of services, whose names travel as hashes; null when none is known yet
    void on_received(const fleet::gossip& received, const routing_table* table,
                     core::time_point now);

    /// @brief Passes on what is known of the other regions.
    /// @param reachable regions with a node that answers
    void publish_regions(const std::set<core::region_id>& reachable);

    /// @brief This node's load, for the nodes of its region.
    std::vector<fleet::upstream_load> own_upstreams() const;

    /// @brief The region's load, for other regions.
    fleet::region_summary own_region(core::incarnation self, core::time_point now) const;

  private:
    void on_own_region(const fleet::gossip& received, core::time_point now);

    core::region_id m_region;
    placement& m_places;
    std::map<core::region_id, other_region> m_regions;
};

} // namespace snipeplank::serving

#endif
