/// @file
/// How many nodes may share a bound, for every bound that applies to several nodes. Pure.
///
/// A bound is divided by this number, so it must not be too low: neither after a start, when a node
/// has no member list, nor while other nodes are cut off or their entries are late. A node whose
/// list may be incomplete takes no share; nodes whose lists are complete tell all others how many
/// they count.

#ifndef SNIPEPLANK_SERVING_SRC_NODE_COUNT_ESTIMATE_HPP
#define SNIPEPLANK_SERVING_SRC_NODE_COUNT_ESTIMATE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/node_share.hpp>

#include <map>
#include <vector>

namespace snipeplank::serving
{

/// @brief Nodes that a node with a complete list counts, itself included; 0 while it may lack some.
struct node_count
{
    std::size_t in_fleet = 0;
    std::size_t in_region = 0;

    friend bool operator==(const node_count&, const node_count&) = default;
};

/// @brief Estimates the number of running nodes from those that were members recently.
class node_count_estimate
{
  public:
    /// A node counts as possibly running this long after it was last a member.
    static constexpr core::seconds seen_lifetime{60};
    /// Allowance for a node that was added and is not a member yet.
    static constexpr std::size_t unknown_nodes = 1;
    /// The member list is complete this long after a start, if any node answered.
    static constexpr core::seconds min_discovery_time{15};
    /// A node takes a share of quotas this long after its start, if the list has not grown lately.
    static constexpr core::milliseconds min_quota_discovery{1'000};
    static constexpr core::milliseconds quota_settling_time{700};
    /// What another node told counts for this long.
    static constexpr core::seconds told_lifetime{60};

    /// @param region region of this node
    /// @param longest_window longest window of the shared bounds: a former process of this node may
    /// have used its share of each
    explicit node_count_estimate(core::region_id region, core::duration longest_window = {});

    /// @brief Records the start of this node.
    void start(core::time_point now) { m_started = now; }

    /// @brief Sets the zones in which nodes may run, and that of this node.
    void set_zones(core::zone_id own, std::size_t count);

    /// @brief Records that another node is a member of the fleet, in any state.
    void on_seen(const core::address& peer, const core::region_id& region, core::time_point now,
                 const core::zone_id& zone = {});

    /// @brief Records what a node counts.
    void on_told(const core::region_id& sender_region, const node_count& told,
                 core::time_point now);

    /// @brief Removes what was last seen or told too long ago. O(nodes).
    void remove_expired(core::time_point now);

    /// @brief This node's share of bounds of the whole fleet. O(1).
    policy::node_share share_of_fleet(core::time_point now) const;

    /// @brief This node's share of bounds of its region. O(1).
    policy::node_share share_of_region(core::time_point now) const;

    /// @brief Nodes of the region that may be running, this one included, whether the list is
    /// complete or not. O(1).
    std::size_t known_in_region() const;

    /// @brief This node's share of the quotas of client accounts. O(nodes).
    ///
    /// Known earlier than the others, and without an allowance for nodes that were added: a node
    /// takes no share before others can have heard of it, and the operator accepts some excess. A
    /// zone of which no node was seen counts as if it had as many nodes as the largest one.
    /// @param is_alone whether the settings name no other node
    policy::node_share share_of_quotas(bool is_alone, core::time_point now) const;

    /// @brief What to tell other nodes. O(1).
    node_count to_tell(core::time_point now) const;

    /// @brief Other nodes of the region that may be running. O(nodes).
    std::vector<core::address> seen_in_region() const;

    /// @brief Whether the member list may be incomplete because this node has just started.
    bool is_discovering(core::time_point now) const { return now < m_started + m_discovery_time; }

  private:
    struct seen_node
    {
        core::zone_id zone;
        core::region_id region;
        core::time_point at{};
    };

    /// The highest number that was told lately.
    struct told_number
    {
        std::size_t nodes = 0;
        core::time_point at{};

        void on_told(std::size_t told, core::time_point now);
    };

    bool may_be_incomplete(core::time_point now) const;
    node_count counted() const;

    core::region_id m_region;
    core::duration m_discovery_time;
    core::zone_id m_zone;
    std::size_t m_zone_count = 1;
    core::time_point m_started{};
    core::time_point m_grown_at{}; ///< when a node was last seen for the first time
    std::map<core::address, seen_node> m_seen;
    std::size_t m_seen_in_region = 0;
    told_number m_told_in_fleet;
    told_number m_told_in_region;
};

} // namespace snipeplank::serving

#endif
