#include <snipeplank/policy/reserved_call.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::policy
{

namespace
{

/// Lifetime of a reservation at the issuing node; the same as in `ticket_limits`.
constexpr core::milliseconds reservation_lifetime{2'000};

/// Time without a reply after which a request is repeated. An issuing node whose return path is
/// down sends no reply, and the connection on this side stays open. It equals the silence timeout
/// of connections.
constexpr core::milliseconds query_interval{3'000};

/// Maximum deadline of calls; a longer one is an error of the sender and is shortened.
constexpr core::milliseconds max_deadline{600'000};

constexpr core::milliseconds retry_soon{1'000};

call_outcome unknown_outcome(refusal why)
{
    call_outcome statement;
    statement.why = std::move(why);
    return statement;
}

} // namespace

core::milliseconds entry_call::remaining(core::time_point now) const
{
    return std::chrono::duration_cast<core::milliseconds>(m_deadline - now);
}

bool entry_call::holds_reservation(core::time_point now) const
{
    // Counted from the time of the request, which precedes the reservation.
    return m_phase == phase::reserving && m_granted.get() > 0 &&
           now < m_asked_at + reservation_lifetime;
}

entry_actions entry_call::finish(entry_action last)
{
    m_phase = phase::finished;
    entry_actions actions;
    actions.emplace_back(std::move(last));
    return actions;
}

entry_actions entry_call::give_up(refusal_reason reason, core::time_point now)
{
    refusal why{reason, execution::unknown,
                "ask for the outcome with GET /v1/tickets/{ticket}, or repeat with the same ticket",
                retry_soon};
    if (holds_reservation(now))
    {
        why.executed = execution::no;
    }
    if (m_has_run)
    {
        why.reason = refusal_reason::answer_not_kept;
        why.executed = execution::yes;
    }
    const bool was_asked = m_phase != phase::created;
    entry_actions actions = finish(give_refusal{std::move(why)});
    if (was_asked)
    {
        actions.emplace_back(std::in_place_type<send_cancel>);
    }
    return actions;
}

entry_actions entry_call::ask(core::time_point now)
{
    m_asked_at = now;
    if (m_phase == phase::committed)
    {
        return {send_outcome_request{}};
    }
    return {send_reserve{remaining(now)}};
}

entry_actions entry_call::start(core::time_point now)
{
    if (m_phase != phase::created)
    {
        return {};
    }
    if (now >= m_deadline)
    {
        return give_up(refusal_reason::deadline_passed, now);
    }
    m_phase = phase::reserving;
    return ask(now);
}

entry_actions entry_call::on_reserved(reservation_number number, core::time_point now)
{
    const bool is_asking = m_phase == phase::reserving || m_phase == phase::committed;
    if (!is_asking || number <= m_granted || m_has_run)
    {
        return {};
    }
    // A newer reservation proves that no commit of an older one has run or will run.
    m_granted = number;
    m_phase = phase::reserving;
    if (now >= m_deadline)
    {
        return give_up(refusal_reason::deadline_passed, now);
    }
    m_phase = phase::committed;
    m_asked_at = now;
    return {send_commit{number, remaining(now)}};
}

entry_actions entry_call::on_outcome(const call_outcome& outcome)
{
    const bool is_asking = m_phase == phase::reserving || m_phase == phase::committed;
    if (!is_asking)
    {
        return {};
    }
    const bool is_late =
        outcome.kind == outcome_kind::not_run && (m_granted > outcome.settled_through || m_has_run);
    if (is_late)
    {
        return {};
    }
    if (outcome.kind == outcome_kind::answered)
    {
        return finish(give_answer{outcome.answer});
    }
    refusal why = outcome.why;
    if (m_has_run)
    {
        why.executed = execution::yes;
    }
    return finish(give_refusal{std::move(why)});
}

entry_actions entry_call::on_refused(const refusal& why)
{
    if (m_phase == phase::reserving)
    {
        return finish(give_refusal{why});
    }
    // A refusal has no reservation number, so it proves nothing after a commit. The request is
    // repeated by `on_timer` only, so that two nodes don't refuse and request in a tight loop.
    return {};
}

void entry_call::on_answer_begun()
{
    m_has_run = true;
}

void entry_call::on_answer()
{
    m_phase = phase::finished;
}

entry_actions entry_call::on_answer_broken(core::time_point now)
{
    return m_phase == phase::committed ? ask(now) : entry_actions{};
}

entry_actions entry_call::on_connection_lost(core::time_point now)
{
    const bool is_asking = m_phase == phase::reserving || m_phase == phase::committed;
    return is_asking && now < m_deadline ? ask(now) : entry_actions{};
}

entry_actions entry_call::on_issuer_gone(core::time_point now)
{
    return m_phase == phase::finished ? entry_actions{}
                                      : give_up(refusal_reason::ticket_issuer_gone, now);
}

entry_actions entry_call::on_timer(core::time_point now)
{
    const bool is_asking = m_phase == phase::reserving || m_phase == phase::committed;
    if (!is_asking)
    {
        return {};
    }
    if (now >= m_deadline)
    {
        return give_up(m_phase == phase::committed ? refusal_reason::outcome_unknown
                                                   : refusal_reason::peer_unreachable,
                       now);
    }
    return now >= m_asked_at + query_interval ? ask(now) : entry_actions{};
}

entry_actions entry_call::on_caller_disconnected()
{
    if (m_phase == phase::finished)
    {
        return {};
    }
    return finish(send_cancel{});
}

core::time_point entry_call::due_at() const
{
    return std::min(m_deadline, m_asked_at + query_interval);
}

issuer_actions issuer_calls::collect(issuer_actions actions, bool is_streamed)
{
    for (ticket_notice& notice : m_table.take_notices())
    {
        if (notice.granted)
        {
            actions.push_back(send_reserved{notice.attempt, *notice.granted});
            continue;
        }
        const bool has_answer =
            notice.is_holder && is_streamed && notice.outcome.kind == outcome_kind::answered;
        if (!has_answer)
        {
            actions.push_back(send_outcome{notice.attempt, std::move(notice.outcome)});
        }
    }
    return actions;
}

issuer_actions issuer_calls::on_reserve(const call_key& from, const std::string& ticket_text,
                                        const std::string& body_hash, core::time_point now)
{
    const check_result checked = m_table.check(ticket_text);
    if (const auto* why = std::get_if<refusal>(&checked))
    {
        return {send_outcome{from, why->executed == execution::no ? m_table.not_run(*why)
                                                                  : unknown_outcome(*why)}};
    }
    const reserve_result result = m_table.reserve(std::get<ticket>(checked), from, body_hash, now);
    issuer_actions actions;
    if (const auto* granted = std::get_if<reservation_granted>(&result))
    {
        actions.push_back(send_reserved{from, granted->number});
    }
    if (const auto* outcome = std::get_if<call_outcome>(&result))
    {
        actions.push_back(send_outcome{from, *outcome});
    }
    return collect(std::move(actions));
}

issuer_actions issuer_calls::on_commit(const call_key& from, const std::string& ticket_text,
                                       reservation_number number, const std::string& body_hash,
                                       core::milliseconds remaining, core::time_point now)
{
    const check_result checked = m_table.check(ticket_text);
    if (const auto* why = std::get_if<refusal>(&checked))
    {
        return {send_outcome{from, why->executed == execution::no ? m_table.not_run(*why)
                                                                  : unknown_outcome(*why)}};
    }
    const ticket& which = std::get<ticket>(checked);
    const core::time_point deadline = now + std::min(remaining, max_deadline);
    const commit_result result = m_table.commit(which, from, number, body_hash, deadline, now);
    issuer_actions actions;
    if (std::holds_alternative<may_run>(result))
    {
        actions.push_back(run_call{which.id, from, deadline});
    }
    if (const auto* outcome = std::get_if<call_outcome>(&result))
    {
        actions.push_back(send_outcome{from, *outcome});
    }
    return collect(std::move(actions));
}

issuer_actions issuer_calls::on_outcome_request(const call_key& from,
                                                const std::string& ticket_text,
                                                core::time_point now)
{
    const check_result checked = m_table.check(ticket_text);
    if (const auto* why = std::get_if<refusal>(&checked))
    {
        return {send_outcome{from, why->executed == execution::no ? m_table.not_run(*why)
                                                                  : unknown_outcome(*why)}};
    }
    const lookup_result result = m_table.ask(std::get<ticket>(checked), from, now);
    issuer_actions actions;
    if (const auto* outcome = std::get_if<call_outcome>(&result))
    {
        actions.push_back(send_outcome{from, *outcome});
    }
    return collect(std::move(actions));
}

issuer_actions issuer_calls::on_cancel(const call_key& from, const std::string& ticket_text,
                                       core::time_point now)
{
    const check_result checked = m_table.check(ticket_text);
    if (const auto* which = std::get_if<ticket>(&checked))
    {
        m_table.forget_attempt(which->id, from, now);
    }
    return collect({});
}

bool issuer_calls::may_send(const ticket_id& id, core::time_point now, issuer_actions& actions)
{
    if (m_table.may_send(id, now))
    {
        return true;
    }
    call_outcome late;
    late.kind = outcome_kind::not_run;
    late.why = {refusal_reason::deadline_passed, execution::no,
                "repeat the call with the same ticket and a longer deadline", retry_soon};
    m_table.finish(id, std::move(late));
    actions = collect(std::move(actions));
    return false;
}

issuer_actions issuer_calls::on_result(const ticket_id& id, call_outcome result, bool is_streamed)
{
    m_table.finish(id, std::move(result));
    return collect({}, is_streamed);
}

issuer_actions issuer_calls::on_timer(core::time_point now)
{
    m_table.expire(now);
    return collect({});
}

} // namespace snipeplank::policy
