/// @file
/// How many nodes may be running. Pure.
///
/// Bounds that all nodes keep together are shared out by this number, so it must not be too small:
/// not after a start, when a node knows nobody, and not while others are cut off from it.

#ifndef SNIPEPLANK_SERVING_SRC_NODE_CENSUS_HPP
#define SNIPEPLANK_SERVING_SRC_NODE_CENSUS_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <map>

namespace snipeplank::serving
{

/// @brief Counts the nodes that were seen lately.
class node_census
{
  public:
    /// A node counts as possibly running this long after it was last known.
    static constexpr core::seconds sighting_lifetime{60};
    /// A node that was added and is not known yet.
    static constexpr std::size_t unseen_nodes = 1;
    /// In this time after a start the members' list may not have arrived.
    static constexpr core::seconds joining_time{3};
    static constexpr std::size_t nodes_while_joining = 40;
    /// Members are known this long after a start, if any node answered.
    static constexpr core::seconds settling_time{15};
    static constexpr std::size_t nodes_while_settling = 10;

    /// @brief This node has started.
    void start(core::time_point now) { m_started = now; }

    /// @brief Another node is a member of the fleet, whatever its state.
    void on_seen(const core::address& peer, const core::region_id& region, core::time_point now);

    /// @brief Drops sightings that have become too old. O(nodes).
    void forget(core::time_point now);

    /// @brief Number of nodes of the whole fleet that may be running, this one included. O(nodes).
    std::size_t possible(core::time_point now) const;

    /// @brief The same for one region, and careful enough for a bound whose breach ends an
    /// upstream: a node that is still joining counts on many.
    std::size_t possible_in(const core::region_id& region, core::time_point now) const;

    /// @brief Whether members may still come to be known because this node has just started.
    bool is_settling(core::time_point now) const { return now < m_started + settling_time; }

  private:
    struct sighting
    {
        core::region_id region;
        core::time_point at{};
    };

    std::size_t with_unknown(std::size_t seen, core::time_point now) const;

    core::time_point m_started{};
    std::map<core::address, sighting> m_sightings;
};

} // namespace snipeplank::serving

#endif
