/// @file
/// Tickets and outcomes of one incarnation, and the outcomes handed over by stopped ones.

#ifndef SNIPEPLANK_POLICY_TICKET_TABLE_HPP
#define SNIPEPLANK_POLICY_TICKET_TABLE_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/call_outcome.hpp>
#include <snipeplank/policy/ticket.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace snipeplank::policy
{

/// @brief Limits of a ticket table.
struct ticket_limits
{
    /// Above the maximum deadline (10 minutes), so that an outcome outlives its call.
    core::milliseconds lifetime{900'000};
    core::milliseconds reservation{2'000};
    core::bytes answer{65'536};          ///< a longer answer is not stored
    core::bytes all_answers{16'777'216}; ///< when reached, no ticket is issued
    std::size_t tickets = 32'768;        ///< issued and not expired
};

/// @brief A newly issued ticket.
struct issued_ticket
{
    std::string text;
    core::milliseconds expires_in{0};
};

/// @brief The reservation was granted to the requesting attempt.
struct reservation_granted
{
    reservation_number number;
};

/// @brief Another attempt holds the ticket; the requesting attempt gets a notice later.
struct must_wait
{
};

/// @brief The attempt may be sent upstream now.
struct may_run
{
};

/// @brief Asynchronous notice for an attempt: a granted reservation or an outcome.
struct ticket_notice
{
    call_key attempt;
    std::optional<reservation_number> granted; ///< a reservation; if absent, `outcome`
    call_outcome outcome;
    bool is_holder = false; ///< the attempt that ran
};

using issue_result = std::variant<issued_ticket, refusal>;
using check_result = std::variant<ticket, refusal>;
using reserve_result = std::variant<reservation_granted, must_wait, call_outcome>;
using commit_result = std::variant<may_run, must_wait, call_outcome>;
using lookup_result = std::variant<must_wait, call_outcome>;

/// @brief States of the tickets of one incarnation: `unused -> running -> done | unknown`.
///
/// A ticket with a valid signature but without an entry is unused, since only this incarnation
/// signs its tickets. Not thread-safe: at-most-once needs one winner per ticket, so the owner holds
/// one mutex. Any command may queue notices for other attempts; fetch them with `take_notices`.
class ticket_table
{
  public:
    /// @param self the issuing incarnation
    /// @param secret signing key, generated at process start and never shared
    ticket_table(core::node_id self, std::string secret, ticket_limits limits = {});

    /// @brief Issues a ticket; refuses with `overloaded` or, once frozen, `draining`.
    issue_result issue(const core::service_id& service, core::time_point now,
                       core::random_source& random);

    /// @brief Parses and checks a caller's ticket: issuer and signature.
    /// @return the ticket; or `ticket_invalid` or `ticket_issuer_gone`
    check_result check(std::string_view text) const;

    /// @brief Reserves a checked ticket for one attempt.
    /// Reservations lapse after 2 s.
    ///
    /// While another attempt holds or runs the ticket, the attempt waits for a notice with the
    /// reservation, when the other one lapses, or with the outcome. A body that differs from that
    /// of the first run is refused with `ticket_in_use`.
    reserve_result reserve(const ticket& which, const call_key& attempt,
                           const std::string& body_hash, core::time_point now);

    /// @brief Turns a reservation that has not lapsed into a running call.
    /// @param body_hash hash of the body in the commit
    /// @param deadline deadline of the attempt, on this node's clock
    commit_result commit(const ticket& which, const call_key& attempt, reservation_number number,
                         const std::string& body_hash, core::time_point deadline,
                         core::time_point now);

    /// @brief Outcome of a ticket for an attempt whose connection was lost.
    ///
    /// Withdraws a reservation of that attempt, so that a commit still in flight cannot run after
    /// `not_run` was sent.
    lookup_result ask(const ticket& which, const call_key& attempt, core::time_point now);

    /// @brief Outcome of a ticket for `GET /v1/tickets/{ticket}`; `must_wait` while running.
    lookup_result look_up(const ticket& which, core::time_point now) const;

    /// @brief Whether the deadline still allows the call. Check it right before the first byte is
    /// sent upstream.
    bool may_send(const ticket_id& id, core::time_point now) const;

    /// @brief Ends a running call and queues a notice for the running and each waiting attempt.
    ///
    /// `not_run` makes the ticket unused again; use it only with a proof. The running attempt gets
    /// the complete answer; an answer above the limits is not stored for the others.
    void finish(const ticket_id& id, call_outcome result);

    /// @brief Ends the wait of one attempt or withdraws its reservation. A running call continues.
    void forget_attempt(const ticket_id& id, const call_key& attempt, core::time_point now);

    /// @brief Removes expired tickets and lapsed reservations. O(expired).
    void expire(core::time_point now);

    /// @brief Returns the notices queued since the last call.
    std::vector<ticket_notice> take_notices();

    /// @brief Stops issuing and running permanently if nothing is running or reserved.
    /// @return whether the table is frozen
    bool freeze(core::time_point now);

    /// @brief All outcomes of a frozen table, for its only successor.
    std::vector<outcome_record> outcomes() const;

    /// @brief Time of the freeze on the issuer's clock. Tickets that expired earlier are not in
    /// `outcomes`.
    core::milliseconds frozen_at() const { return m_frozen_at; }

    bool is_frozen() const { return m_is_frozen; }
    std::size_t running() const { return m_running; }
    core::bytes stored_bytes() const { return m_stored; }
    const core::node_id& self() const { return m_self; }

    /// @brief Makes an outcome which states that the ticket has not run so far.
    call_outcome not_run(refusal why) const;

  private:
    enum class phase
    {
        reserved,
        running,
        ended,
    };

    struct entry
    {
        phase state = phase::reserved;
        core::milliseconds expires_at{0};
        call_key holder;
        reservation_number reservation;
        core::time_point reserved_until;
        core::time_point deadline;
        std::string body_hash;                   ///< from the holder
        std::map<call_key, std::string> waiting; ///< body hash; empty after a mere outcome request
        call_outcome result;
        core::bytes stored;
    };

    using entry_map = std::unordered_map<ticket_id, entry>;

    entry& add_entry(const ticket& which);
    reservation_number grant(entry_map::iterator to, const call_key& attempt,
                             const std::string& body_hash, core::time_point now);
    void release_reservation(entry_map::iterator which, core::time_point now);
    void release_if_lapsed(const ticket_id& id, core::time_point now);
    call_outcome outcome_for_body(const entry& ended, const std::string& body_hash) const;
    call_outcome outcome_without_entry(const ticket& which, core::time_point now) const;
    void store_outcome(entry& ended, const call_outcome& result);
    void notify(const call_key& attempt, call_outcome outcome, bool is_holder);
    void forget_expired(core::milliseconds now);

    core::node_id m_self;
    ticket_signer m_signer;
    ticket_limits m_limits;
    entry_map m_entries;
    std::deque<core::milliseconds> m_issued; ///< expiries, ascending
    std::set<std::pair<core::time_point, ticket_id>> m_reservation_expiries;
    std::multimap<core::milliseconds, ticket_id> m_expiries;
    std::vector<ticket_notice> m_notices;
    std::uint64_t m_last_reservation = 0;
    std::size_t m_running = 0;
    core::bytes m_stored;
    core::milliseconds m_frozen_at{0};
    bool m_is_frozen = false;
};

/// @brief Outcomes handed over by stopped incarnations. Never runs a call.
///
/// Answers for an incarnation only when all its parts have arrived: a ticket that is missing from
/// an incomplete table may have run.
class successor_table
{
  public:
    explicit successor_table(ticket_limits limits = {}) : m_limits(limits) {}

    /// @brief Adds one part; a repeated part changes nothing.
    /// @return whether the part is stored and may be acknowledged; false for an inconsistent part
    /// or above the memory limit
    bool add_part(const core::node_id& former, core::milliseconds frozen_at, std::uint32_t part,
                  std::uint32_t parts, std::vector<outcome_record> records, core::time_point now);

    /// @brief Outcome for a parsed ticket of a former incarnation.
    /// @return nothing when this node is not its successor; `not_run` for an unused ticket
    std::optional<call_outcome> look_up(const ticket& which, const std::string& body_hash) const;

    /// @brief Removes incarnations whose tickets have all expired.
    void expire(core::time_point now);

  private:
    struct former_node
    {
        core::milliseconds frozen_at{0};
        core::time_point forget_at;
        std::uint32_t parts = 0;
        std::set<std::uint32_t> received;
        std::unordered_map<std::string, outcome_record> records;
        core::bytes stored;
    };

    ticket_limits m_limits;
    std::map<core::node_id, former_node> m_former;
    core::bytes m_stored;
};

} // namespace snipeplank::policy

#endif
