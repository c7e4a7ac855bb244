/// @file
/// Members of the own region: a SWIM-like protocol with suspicion and refutation.
///
/// The host list says who could exist; probes say who answers. `leaving` and `dead` are final for
/// an incarnation. A node that learns of its own death takes a new incarnation.
///
/// Before a node declares a suspect dead it pings the suspect and all others once more (a roll
/// call), and more than half of the members, itself included, must answer it directly while the
/// suspect has been silent since the suspicion began. Otherwise its own link is in doubt: it keeps
/// the silent members as suspected and does not spread these suspicions. So of two halves of a
/// partition at most one evicts the other, and a link that comes back late in a suspicion does no
/// harm.

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

/// @brief A gossip message that membership wants sent; the owner fills in what travels along.
struct probe
{
    core::address to;
    gossip_kind kind = gossip_kind::ping;
    std::uint32_t sequence = 0;
    core::address target;
    bool wants_members = false;
    bool brief = false; ///< sent in bulk, so nothing travels along
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

    /// @brief Takes the peer addresses of the region's entry hosts that the platform lists.
    void on_host_list(const std::vector<core::address>& listed, core::time_point now);

    /// @brief Takes a message of a node of the same region. O(items log members).
    void on_gossip(const gossip& received, core::time_point now);

    /// @brief Sends due pings and decides on suspicions. O(members).
    void on_tick(core::time_point now);

    /// @brief Treats the view as expired, because the process did not run for a while.
    void resume_after_pause(core::time_point now);

    /// @brief Makes this incarnation leave; this is final.
    void begin_leaving(core::time_point now);

    /// @brief Messages to send, in order; empties the list.
    std::vector<probe> take_probes();

    /// @brief What the member at `to` must hear about itself: that it is suspected or dead.
    std::vector<member_update> take_urgent_updates(const core::address& to);

    /// @brief Updates that travel with a message, in at most `budget` bytes.
    std::vector<member_update> take_updates(std::size_t budget);

    /// @brief Whether members or their states changed since the last call.
    bool take_changed();

    /// @brief Whether a fact that others should hear at once came up since the last call.
    bool take_urgent();

    /// @brief The former and the current incarnation, once after a renewal.
    std::optional<std::pair<core::incarnation, core::incarnation>> take_renewal();

    /// @brief This node's own entry.
    const member_update& self() const { return m_self; }

    /// @brief Known members without this node: alive, suspected and leaving ones. O(members).
    std::vector<member_update> members() const;

    /// @brief Peer addresses of `count` random alive members.
    std::vector<core::address> random_peers(std::size_t count);

    /// @brief Whether most members are silent, so that this node's own link is suspected.
    bool link_suspected() const { return m_link_in_doubt; }

    /// @brief Whether the view has been probed since the start or the last freeze.
    bool view_is_probed() const { return m_view_is_probed; }

  private:
    struct record
    {
        member_update info;
        core::time_point since;                  ///< start of the suspicion or of leaving
        core::time_point verdict;                ///< when the suspicion is decided
        core::time_point called{};               ///< the roll call that asked the suspect once more
        core::time_point heard{};                ///< last message from the member itself
        core::duration patience{suspicion_time}; ///< until the next verdict; doubles each time
        core::time_point answered{};             ///< the last roll call that the member answered
    };

    struct outstanding_ping
    {
        core::address target;
        core::time_point sent;
        bool asked_others = false;
        core::address requester; ///< not empty: sent on behalf of this member
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
    void bury(const member_update& gone, core::time_point now);
    void expire_pings(core::time_point now);
    void ask_others(std::uint32_t sequence, const core::address& target);
    void decide_suspicions(core::time_point now);
    bool may_declare_dead(const record& suspect, core::time_point now) const;
    bool is_unlisted(const core::address& member, core::time_point now) const;
    static bool is_suspected(const record& known);
    void call_suspects(core::time_point now);
    void roll_call(core::time_point now);
    void update_doubt(core::time_point now);
    void send_due_pings(core::time_point now);
    void ping_next_member(core::time_point now);
    void ping_candidate(core::time_point now);
    void ping_suspects(core::time_point now);
    void ping(const core::address& target, core::time_point now, bool wants_members, bool brief);
    void forget_departed(core::time_point now);
    const record* ring_successor() const;
    std::vector<core::address> addresses_in(member_state state) const;
    unsigned max_sends() const;

    core::random_source& m_random;
    member_update m_self;
    record_map m_records;
    detail::tombstones m_tombstones;
    detail::update_queue m_queue;
    std::map<core::address, member_update> m_refused_senders; ///< told of their death
    std::map<core::address, core::time_point> m_candidates;   ///< listed; with the last try
    std::map<core::address, core::time_point> m_last_listed;
    std::map<std::uint32_t, outstanding_ping> m_pings;
    std::vector<core::time_point> m_recent_deaths;
    std::vector<core::address> m_round;
    std::vector<probe> m_probes;
    std::optional<std::pair<core::incarnation, core::incarnation>> m_renewal;
    core::time_point m_next_ping;
    core::time_point m_last_roll_call;
    core::time_point m_list_received;
    core::time_point m_probed_at;
    core::address m_refill_cursor;
    std::uint32_t m_sequence = 0;
    bool m_ring_turn = true;
    bool m_link_in_doubt = false;
    bool m_view_is_probed = false;
    bool m_changed = false;
    bool m_urgent = false;
};

} // namespace snipeplank::fleet

#endif
