/// @file
/// Which other nodes this node can exchange messages with. Pure.
///
/// Handles this failure pattern: connections between nodes are reset or go silent, in any order and
/// several times, while the nodes keep running. Membership pings reach a lost peer only in its
/// turn, which takes seconds and longer in a larger fleet, so a lost peer is probed until an answer
/// arrives.

#ifndef SNIPEPLANK_SERVING_SRC_PEER_REACHABILITY_HPP
#define SNIPEPLANK_SERVING_SRC_PEER_REACHABILITY_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace snipeplank::serving
{

/// @brief Tracks unreachable peers and schedules probes of them. Not thread-safe.
class peer_reachability
{
  public:
    /// Time between two probes of one peer.
    static constexpr core::milliseconds probe_interval{400};
    /// Probes in one call of `take_due`; bounds the traffic of a node that lost many peers.
    static constexpr std::size_t max_probes_per_call = 16;

    /// @brief Records that the connection to a peer was lost; the peer is probed at once.
    void on_connection_lost(const core::address& peer, core::time_point now);

    /// @brief Records that no connection to a peer could be opened.
    void on_connect_failed(const core::address& peer, core::time_point now);

    /// @brief Records a message from a peer.
    /// @return whether the peer was unreachable until now
    bool on_received(const core::address& peer);

    /// @brief Stops probing a peer that is no longer a member.
    void forget(const core::address& peer);

    bool is_reachable(const core::address& peer) const { return !m_unreachable.contains(peer); }

    /// @brief Unreachable peers, whether due or not.
    std::vector<core::address> unreachable() const;

    /// @brief Peers to probe now, the longest overdue first. Schedules their next probe.
    /// O(unreachable peers).
    std::vector<core::address> take_due(core::time_point now);

  private:
    std::map<core::address, core::time_point> m_unreachable; ///< with the time of the next probe
};

} // namespace snipeplank::serving

#endif
