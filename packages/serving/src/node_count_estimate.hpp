/// @file
/// Upper bound of the number of nodes that may be running. Pure.
///
/// Limits that apply to all nodes together are divided by this number, so it must not be too low:
/// neither after a start, when a node has no member list, nor while other nodes are cut off.

#ifndef SNIPEPLANK_SERVING_SRC_NODE_COUNT_ESTIMATE_HPP
#define SNIPEPLANK_SERVING_SRC_NODE_COUNT_ESTIMATE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <map>
#include <vector>

namespace snipeplank::serving
{

/// @brief Estimates the number of running nodes from those that were members recently.
class node_count_estimate
{
  public:
    /// A node counts as possibly running this long after it was last a member.
    static constexpr core::seconds seen_lifetime{60};
    /// Allowance for a node that was added and is not a member yet.
    static constexpr std::size_t unknown_nodes = 1;
    /// The member list is complete this long after a start, if any node answered.
    static constexpr core::seconds discovery_time{15};
    static constexpr std::size_t min_nodes_while_discovering = 10;
    /// More nodes than a region has: leaves no share of a limit whose breach makes an upstream
    /// fail.
    static constexpr std::size_t unknown_nodes_in_region = 10'000;

    /// @brief Records the start of this node.
    void start(core::time_point now) { m_started = now; }

    /// @brief Records that another node is a member of the fleet, in any state.
    void on_seen(const core::address& peer, const core::region_id& region, core::time_point now);

    /// @brief Removes nodes that were last seen too long ago. O(nodes).
    void remove_expired(core::time_point now);

    /// @brief Nodes of the whole fleet that may be running, this one included. O(nodes).
    std::size_t possible(core::time_point now) const;

    /// @brief The same for one region. While the member list may be incomplete, the estimate is
    /// above any region's size, since it divides a limit whose breach makes an upstream fail.
    std::size_t possible_in(const core::region_id& region, core::time_point now) const;

    /// @brief Other nodes of a region that may be running. O(nodes).
    std::vector<core::address> seen_in(const core::region_id& region) const;

    /// @brief Whether the member list may be incomplete because this node has just started.
    bool is_discovering(core::time_point now) const { return now < m_started + discovery_time; }

  private:
    struct seen_node
    {
        core::region_id region;
        core::time_point at{};
    };

    bool may_be_incomplete(core::time_point now) const;

    core::time_point m_started{};
    std::map<core::address, seen_node> m_seen;
};

} // namespace snipeplank::serving

#endif
