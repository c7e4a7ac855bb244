/// @file
/// State machines for both sides of the reserve/commit exchange.
///
/// The entry node, which received the call, reserves the ticket at the issuing node, then commits.
/// Each event returns the actions to take; the state machines read no clock and do no I/O.
///
/// `executed: no` means that the ticket had not run at some time after the attempt arrived, and
/// that this attempt never runs. The entry node alone cannot prove it, because an earlier attempt
/// through another entry node may have run: it needs an outcome from the issuing node or a
/// reservation that is still valid.

#ifndef SNIPEPLANK_POLICY_RESERVED_CALL_HPP
#define SNIPEPLANK_POLICY_RESERVED_CALL_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/call_outcome.hpp>
#include <snipeplank/policy/ticket_table.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::policy
{

// Actions of the entry node.

/// @brief Send `reserve` to the issuing node.
struct send_reserve
{
    core::milliseconds remaining{0};
};

/// @brief Send `commit` with the request. After it, only the issuer can prove "not run".
struct send_commit
{
    reservation_number reservation;
    core::milliseconds remaining{0};
};

/// @brief Send `outcome_request`, on a new connection if the previous one was lost.
struct send_outcome_request
{
};

/// @brief Send `cancel`: the attempt stops waiting and releases its reservation.
struct send_cancel
{
};

/// @brief Send this complete answer to the caller; final.
struct give_answer
{
    upstream_answer answer;
};

/// @brief Refuse the call; final. `why.executed` states no more than is proven.
struct give_refusal
{
    refusal why;
};

using entry_action = std::variant<send_reserve, send_commit, send_outcome_request, send_cancel,
                                  give_answer, give_refusal>;
using entry_actions = std::vector<entry_action>;

/// @brief State machine of one attempt at its entry node.
///
/// The owner assembles a streamed answer (`call_head`, `call_chunk`, `call_end`). It calls
/// `on_answer_begun` at the first frame and `on_answer` when the answer is complete.
/// @code
/// entry_call call(deadline);
/// perform(call.start(now));
/// perform(call.on_reserved(number, now));
/// @endcode
class entry_call
{
  public:
    explicit entry_call(core::time_point deadline) : m_deadline(deadline) {}

    entry_actions start(core::time_point now);
    entry_actions on_reserved(reservation_number number, core::time_point now);
    entry_actions on_outcome(const call_outcome& outcome);

    /// @brief `call_refused` from the issuing node: final before the commit, ignored after it.
    entry_actions on_refused(const refusal& why);

    /// @brief The first frame of a streamed answer arrived: the call has run.
    void on_answer_begun();

    /// @brief The streamed answer is complete. The owner has sent it to the caller.
    void on_answer();

    /// @brief The streamed answer is broken (gap, wrong checksum): requests the stored outcome.
    entry_actions on_answer_broken(core::time_point now);

    /// @brief The connection to the issuing node was lost, or was replaced by a new one.
    entry_actions on_connection_lost(core::time_point now);

    /// @brief The issuing incarnation has ended and has no successor.
    entry_actions on_issuer_gone(core::time_point now);

    /// @brief Timer event: gives up at the deadline and repeats the request when no reply came.
    entry_actions on_timer(core::time_point now);

    /// @brief The caller disconnected: no answer is needed.
    entry_actions on_caller_disconnected();

    /// @brief Time of the next `on_timer` call.
    core::time_point due_at() const;

    bool is_finished() const { return m_phase == phase::finished; }

  private:
    enum class phase
    {
        created,
        reserving,
        committed,
        finished,
    };

    entry_actions ask(core::time_point now);
    entry_actions give_up(refusal_reason reason, core::time_point now);
    entry_actions finish(entry_action last);
    core::milliseconds remaining(core::time_point now) const;
    bool holds_reservation(core::time_point now) const;

    core::time_point m_deadline;
    core::time_point m_asked_at;
    phase m_phase = phase::created;
    reservation_number m_granted; ///< newest; 0 when none
    bool m_has_run = false;
};

// Actions of the issuing node.

/// @brief Send `reserved` to the attempt's entry node.
struct send_reserved
{
    call_key to;
    reservation_number reservation;
};

/// @brief Send `outcome` to the attempt's entry node.
struct send_outcome
{
    call_key to;
    call_outcome outcome;
};

/// @brief Send the committed request upstream on a new connection, streaming to `attempt`.
struct run_call
{
    ticket_id id;
    call_key attempt;
    core::time_point deadline;
};

using issuer_action = std::variant<send_reserved, send_outcome, run_call>;
using issuer_actions = std::vector<issuer_action>;

/// @brief The issuing node's side of the exchange for all its tickets. Refusals are sent as
/// outcomes of kind `not_run` or `unknown`. Guarded by the same mutex as the table.
class issuer_calls
{
  public:
    explicit issuer_calls(ticket_table& table) : m_table(table) {}

    issuer_actions on_reserve(const call_key& from, const std::string& ticket_text,
                              const std::string& body_hash, core::time_point now);

    /// @param body_hash SHA-256 of the body in the commit, computed by this node
    issuer_actions on_commit(const call_key& from, const std::string& ticket_text,
                             reservation_number number, const std::string& body_hash,
                             core::milliseconds remaining, core::time_point now);

    issuer_actions on_outcome_request(const call_key& from, const std::string& ticket_text,
                                      core::time_point now);
    issuer_actions on_cancel(const call_key& from, const std::string& ticket_text,
                             core::time_point now);

    /// @brief Whether the first byte may be sent upstream now. When false, the call has been ended
    /// and `actions` holds what to send.
    bool may_send(const ticket_id& id, core::time_point now, issuer_actions& actions);

    /// @brief The upstream call ended.
    /// @param is_streamed whether the running attempt was already sent the complete answer
    issuer_actions on_result(const ticket_id& id, call_outcome result, bool is_streamed);

    /// @brief Ends lapsed reservations and removes expired tickets. Call it at least once a second.
    issuer_actions on_timer(core::time_point now);

  private:
    issuer_actions collect(issuer_actions actions, bool is_streamed = false);

    ticket_table& m_table;
};

} // namespace snipeplank::policy

#endif
