/// @file
/// Membership of the local region: a SWIM-like protocol with suspicion and refutation.
///
/// The host list names possible members; probes find out which of them are alive. `leaving` and
/// `dead` are final for an incarnation. A node that was declared dead takes a new incarnation.
///
/// Before a node declares a suspect dead it runs a quorum check: it pings the suspect and all other
/// members once more. More than half of the members, itself included, must answer directly, while
/// the suspect has been silent since the suspicion began. Otherwise the node suspects its own link:
/// the silent members stay suspected and these suspicions are not gossiped. So of two halves of a
/// partition at most one evicts the other, and a link that recovers late in a suspicion evicts
/// nobody.

#ifndef SNIPEPLANK_FLEET_MEMBERSHIP_HPP
#define SNIPEPLANK_FLEET_MEMBERSHIP_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/detail/tombstones.hpp>
#include <snipeplank/fleet/detail/update_queue.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/fleet/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace snipeplank::fleet
{

/// @brief A gossip message to send; the owner adds the piggybacked items.
struct probe
{
    core::address to;
    gossip_kind kind = gossip_kind::ping;
    std::uint32_t sequence = 0;
    core::address target;
    bool wants_members = false;
    bool brief = false; ///< sent in bulk, therefore without piggybacked items
};

/// @brief State machine of one region's membership. Not thread-safe.
///
/// @code
/// membership members{self, random};
/// members.start(now);
/// for (const probe& next : members.take_probes())
///     send(next);
/// @endcode
class membership
{
  public:
    /// @param self address, incarnation and zone of this node
    membership(member_update self, core::random_source& random);

    void start(core::time_point now);

    /// @brief Handles the platform's list of peer addresses of the region's entry hosts.
    void on_host_list(const std::vector<core::address>& listed, core::time_point now);

    /// @brief Handles a message from a node of the same region. O(items log members).
    void on_gossip(const gossip& received, core::time_point now);

    /// @brief Sends due pings and decides on suspicions. O(members).
    void on_tick(core::time_point now);

    /// @brief Treats the view as expired, because the process did not run for longer than
    /// `pause_threshold`.
    void resume_after_pause(core::time_point now);

    /// @brief Marks this incarnation as leaving; this is final.
    void begin_leaving(core::time_point now);

    /// @brief Pings a member outside its turn, to learn whether it answers again.
    void probe_member(const core::address& member, core::time_point now);

    /// @brief Whether the address is in the member list, in any state. O(log members).
    bool is_member(const core::address& member) const { return m_records.contains(member); }

    /// @brief Returns the messages to send, in order, and clears the list.
    std::vector<probe> take_probes();

    /// @brief Updates that inform the member at `to` that it is suspected or was declared dead.
    std::vector<member_update> take_urgent_updates(const core::address& to);

    /// @brief Updates to piggyback on a message, at most `budget` bytes.
    std::vector<member_update> take_updates(std::size_t budget);

    /// @brief Whether members or their states changed; resets the flag.
    bool take_changed();

    /// @brief Whether there is an update that must be pushed to others at once; resets the flag.
    bool take_urgent();

    /// @brief The former and the current incarnation; returned once after a renewal.
    std::optional<std::pair<core::incarnation, core::incarnation>> take_renewal();

    /// @brief This node's own entry.
    const member_update& self() const { return m_self; }

    /// @brief Known members without this node: alive, suspected and leaving. O(members).
    std::vector<member_update> members() const;

    /// @brief Peer addresses of `count` random alive members.
    std::vector<core::address> random_peers(std::size_t count);

    /// @brief Whether most members are silent, so that this node suspects its own link.
    bool link_suspected() const { return m_link_suspected; }

    /// @brief Whether the view has been probed since the start or the last pause.
    bool view_is_probed() const { return m_view_is_probed; }

  private:
    struct record
    {
        member_update info;
        core::time_point since;                 ///< start of the suspicion or of leaving
        core::time_point decide_at;             ///< when it is decided whether the suspect is dead
        core::time_point quorum_checked_at{};   ///< last quorum check on this suspect
        core::time_point last_received{};       ///< last message from the member itself
        core::duration timeout{suspicion_time}; ///< until the next decision; doubles each time
        core::time_point answered{};            ///< last quorum check that the member answered
    };

    struct outstanding_ping
    {
        core::address target;
        core::time_point sent;
        bool asked_others = false;
        core::address requester; ///< the member that asked for this ping; empty: own ping
        std::uint32_t requester_sequence = 0;
    };

    using record_map = std::map<core::address, record>;

    void apply(const member_update& update, core::time_point now);
    void apply_about_self(const member_update& update, core::time_point now);
    void apply_final(const member_update& update, core::time_point now);
    void merge(record& known, const member_update& update, core::time_point now);
    void on_sender(const gossip& received, core::time_point now);
    void on_ping(const gossip& received);
    void on_ping_request(const gossip& received, core::time_point now);
    void on_ack(const gossip& received, core::time_point now);
    void accept_proven(const member_update& sender, core::time_point sent, core::time_point now);
    void renew_incarnation(core::time_point now);
    void suspect(record& known, core::time_point now);
    void set_suspected(record& known, core::time_point now);
    void mark_dead(const member_update& gone, core::time_point now);
    void expire_pings(core::time_point now);
    void ask_others(std::uint32_t sequence, const core::address& target);
    void decide_suspicions(core::time_point now);
    bool may_declare_dead(const record& suspect, core::time_point now) const;
    bool is_unlisted(const core::address& member, core::time_point now) const;
    static bool is_suspected(const record& known);
    void check_due_suspects(core::time_point now);
    void start_quorum_check(core::time_point now);
    void update_link_suspicion(core::time_point now);
    void send_due_pings(core::time_point now);
    void ping_next_member(core::time_point now);
    void ping_candidate(core::time_point now);
    void ping_suspects(core::time_point now);
    void ping(const core::address& target, core::time_point now, bool wants_members, bool brief);
    void remove_departed(core::time_point now);
    const record* ring_successor() const;
    std::vector<core::address> addresses_in(member_state state) const;
    unsigned max_sends() const;

    core::random_source& m_random;
    member_update m_self;
    record_map m_records;
    detail::tombstones m_tombstones;
    detail::update_queue m_queue;
    std::map<core::address, member_update> m_refused_senders; ///< to be informed of their death
    std::map<core::address, core::time_point> m_candidates;   ///< listed hosts with the last ping
    std::map<core::address, core::time_point> m_last_listed;
    std::map<std::uint32_t, outstanding_ping> m_pings;
    std::vector<core::time_point> m_recent_deaths;
    std::vector<core::address> m_round;
    std::vector<probe> m_probes;
    std::optional<std::pair<core::incarnation, core::incarnation>> m_renewal;
    core::time_point m_next_ping;
    core::time_point m_last_quorum_check;
    core::time_point m_list_received;
    core::time_point m_probed_at;
    core::address m_refill_cursor;
    std::uint32_t m_sequence = 0;
    bool m_ring_turn = true;
    bool m_link_suspected = false;
    bool m_view_is_probed = false;
    bool m_changed = false;
    bool m_urgent = false;
};

} // namespace snipeplank::fleet

#endif
