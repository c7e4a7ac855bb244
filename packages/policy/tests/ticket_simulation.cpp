#include "ticket_simulation.hpp"

#include <algorithm>
#include <array>

namespace snipeplank::policy::tests
{

namespace
{

const core::address issuer_address{"10.0.0.1:1"};
const std::array<core::address, 2> entry_addresses{core::address{"10.0.0.2:1"},
                                                   core::address{"10.0.0.3:1"}};

constexpr std::size_t max_tickets = 3;
constexpr std::size_t max_attempts = 40;

/// Small limits, so that a short run includes expired tickets and answers that are not stored.
ticket_limits small_limits()
{
    ticket_limits limits;
    limits.lifetime = core::milliseconds(60'000);
    limits.answer = core::bytes{64};
    limits.all_answers = core::bytes{16'384};
    return limits;
}

template <typename List>
void erase_at(List& list, std::size_t index)
{
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace

ticket_simulation::ticket_simulation(simulation_faults faults)
    : m_faults(faults), m_successor(small_limits())
{
    start_issuer();
    issue_ticket();
}

void ticket_simulation::start_issuer()
{
    ++m_incarnation;
    m_running.clear();
    m_table = std::make_unique<ticket_table>(
        core::node_id{issuer_address, core::incarnation{m_incarnation}},
        "secret of " + std::to_string(m_incarnation), small_limits());
    m_issuer = std::make_unique<issuer_calls>(*m_table);
}

void ticket_simulation::issue_ticket()
{
    const issue_result issued = m_table->issue(core::service_id{"booking"}, m_now, m_random);
    const auto* ticket = std::get_if<issued_ticket>(&issued);
    if (ticket != nullptr && m_tickets.size() < max_tickets)
    {
        m_tickets.push_back({ticket->text, m_incarnation, m_now + ticket->expires_in, false});
    }
}

bool ticket_simulation::is_issuer_alive(std::size_t ticket) const
{
    return m_tickets[ticket].incarnation == m_incarnation;
}

bool ticket_simulation::has_unknown_upstream_result(std::size_t ticket) const
{
    return m_tickets[ticket].has_unknown_result;
}

bool ticket_simulation::is_expired(std::size_t ticket) const
{
    return m_tickets[ticket].expires_at <= m_now;
}

std::size_t ticket_simulation::ticket_of(const std::string& text) const
{
    const auto found = std::find_if(m_tickets.begin(), m_tickets.end(),
                                    [&](const ticket_info& info) { return info.text == text; });
    return static_cast<std::size_t>(found - m_tickets.begin());
}

attempt_record& ticket_simulation::find(const call_key& key)
{
    return **std::find_if(m_attempts.begin(), m_attempts.end(),
                          [&](const auto& attempt) { return attempt->key == key; });
}

bool ticket_simulation::is_paused(const core::address& node) const
{
    const auto found = m_paused.find(node);
    return found != m_paused.end() && found->second;
}

void ticket_simulation::apply(const simulation_command& command)
{
    ++m_step;
    constexpr std::uint8_t kinds = 32;
    constexpr std::uint16_t body_odds = 8;
    constexpr std::uint16_t max_deadline_ms = 8'000;
    switch (command.kind % kinds)
    {
    case 0:
        issue_ticket();
        return;
    case 1:
    case 2:
        if (m_attempts.size() < max_attempts)
        {
            begin_attempt(command.a % m_tickets.size(), command.b % 2,
                          command.b / 2 % body_odds == 0,
                          core::milliseconds(command.b % max_deadline_ms));
        }
        return;
    case 3:
        m_now += core::milliseconds(command.a % 4'000);
        return;
    case 4:
    case 5:
        m_now += core::milliseconds(command.a % 300);
        tick_issuer();
        return;
    case 6:
        if (!m_attempts.empty())
        {
            disconnect_caller(*m_attempts[command.a % m_attempts.size()]);
        }
        return;
    case 7:
    case 8:
    case 9:
        if (!m_running.empty() && !is_paused(issuer_address))
        {
            run_upstream(command.a % m_running.size(), command.b);
        }
        return;
    case 10:
    case 11:
        if (!m_attempts.empty())
        {
            tick_attempt(*m_attempts[command.a % m_attempts.size()]);
        }
        return;
    case 12:
    case 13:
    case 14:
    case 15:
    case 16:
    case 17:
        apply_fault(command);
        return;
    default:
        if (!m_network.empty())
        {
            deliver(command.a % m_network.size());
        }
        return;
    }
}

void ticket_simulation::apply_fault(const simulation_command& command)
{
    constexpr std::uint16_t rare = 4;
    constexpr std::uint8_t kinds = 6;
    const std::array<core::address, 3> nodes{issuer_address, entry_addresses[0],
                                             entry_addresses[1]};
    const bool is_traffic = !m_network.empty();
    switch (command.b % kinds)
    {
    case 0:
        if (m_faults.has_loss && is_traffic)
        {
            erase_at(m_network, command.a % m_network.size());
        }
        return;
    case 1:
        if (m_faults.has_repeats && is_traffic)
        {
            const packet repeated = m_network[command.a % m_network.size()];
            m_network.push_back(repeated);
        }
        return;
    case 2:
        m_paused[nodes[command.a % nodes.size()]] = m_faults.has_pauses && command.a % 2 == 0;
        return;
    case 3:
        if (m_faults.has_loss)
        {
            lose_connections();
        }
        return;
    case 4:
        if (m_faults.has_restarts && command.a % rare == 0)
        {
            start_issuer();
        }
        return;
    default:
        if (m_faults.has_stops && command.a % rare == 0)
        {
            stop_issuer(command.a / rare);
        }
        return;
    }
}

attempt_record& ticket_simulation::begin_attempt(std::size_t ticket, std::size_t entry,
                                                 bool is_other_body, core::milliseconds time_left)
{
    constexpr std::uint64_t entry_incarnation = 100;
    auto attempt = std::make_unique<attempt_record>();
    attempt->ticket = ticket;
    attempt->body = is_other_body ? "other body" : "body";
    attempt->key = {{entry_addresses[entry], core::incarnation{entry_incarnation}},
                    core::call_number{++m_last_call}};
    attempt->begun = m_step;
    attempt->deadline = m_now + time_left;
    attempt->call = std::make_unique<entry_call>(attempt->deadline);
    attempt->assembly = std::make_unique<answer_assembly>();
    m_attempts.push_back(std::move(attempt));
    attempt_record& added = *m_attempts.back();
    // A node that was informed of the stop asks the successor, others ask the issuer's address.
    const bool is_stop_known = !is_issuer_alive(ticket) && time_left.count() % 2 == 0;
    if (is_stop_known)
    {
        ask_successor(added);
    }
    else
    {
        perform(added, added.call->start(m_now));
    }
    return added;
}

void ticket_simulation::ask_successor(attempt_record& attempt)
{
    const ticket which = parse_ticket(m_tickets[attempt.ticket].text).value();
    attempt.call->start(m_now);
    const auto stated = m_successor.look_up(which, attempt.body);
    perform(attempt,
            stated ? attempt.call->on_outcome(*stated) : attempt.call->on_issuer_gone(m_now));
}

void ticket_simulation::lose_connections()
{
    for (std::size_t i = 0; i < m_attempts.size(); ++i)
    {
        attempt_record& attempt = *m_attempts[i];
        if (!is_paused(attempt.key.entry.address))
        {
            perform(attempt, attempt.call->on_connection_lost(m_now));
        }
    }
}

void ticket_simulation::disconnect_caller(attempt_record& attempt)
{
    if (!is_paused(attempt.key.entry.address))
    {
        perform(attempt, attempt.call->on_caller_disconnected());
    }
}

void ticket_simulation::deliver(std::size_t index)
{
    const packet taken = m_network[index];
    const bool is_for_issuer = taken.body.index() < kinds_to_issuer;
    if (is_paused(is_for_issuer ? issuer_address : taken.attempt.entry.address))
    {
        return;
    }
    erase_at(m_network, index);
    if (is_for_issuer)
    {
        to_issuer(taken.attempt, taken.body);
        return;
    }
    to_entry(find(taken.attempt), taken.body);
}

void ticket_simulation::to_entry(attempt_record& attempt, const payload& body)
{
    if (const auto* reserved = std::get_if<reserved_message>(&body))
    {
        perform(attempt, attempt.call->on_reserved(reserved->number, m_now));
        return;
    }
    if (const auto* outcome = std::get_if<outcome_message>(&body))
    {
        perform(attempt, attempt.call->on_outcome(outcome->outcome));
        return;
    }
    // Frames for a finished call are dropped.
    if (!attempt.call->is_finished())
    {
        answer_to_entry(attempt, body);
    }
}

void ticket_simulation::answer_to_entry(attempt_record& attempt, const payload& body)
{
    assembly_result frame_result{assembly_step::drop, {}};
    attempt.call->on_answer_begun();
    if (std::holds_alternative<head_message>(body))
    {
        frame_result = attempt.assembly->on_head(200);
    }
    if (const auto* chunk = std::get_if<chunk_message>(&body))
    {
        frame_result = attempt.assembly->on_chunk(chunk->offset, chunk->data);
        attempt.assembled += frame_result.fresh;
    }
    if (const auto* end = std::get_if<end_message>(&body))
    {
        frame_result = attempt.assembly->on_end(end->length, end->checksum);
    }
    if (frame_result.step == assembly_step::broken)
    {
        perform(attempt, attempt.call->on_answer_broken(m_now));
    }
    if (frame_result.step == assembly_step::finished)
    {
        attempt.call->on_answer();
        give(attempt, attempt.assembled);
    }
}

void ticket_simulation::to_issuer(const call_key& from, const payload& body)
{
    if (const auto* reserve = std::get_if<reserve_message>(&body))
    {
        perform(m_issuer->on_reserve(from, reserve->ticket, reserve->body, m_now));
    }
    if (const auto* commit = std::get_if<commit_message>(&body))
    {
        const issuer_actions actions = m_issuer->on_commit(from, commit->ticket, commit->number,
                                                           commit->body, commit->remaining, m_now);
        for (const issuer_action& action : actions)
        {
            if (const auto* run = std::get_if<run_call>(&action))
            {
                m_running.push_back(
                    {run->id, from, commit->body, ticket_of(commit->ticket), false, false, {}});
            }
        }
        perform(actions);
    }
    if (const auto* ask = std::get_if<ask_message>(&body))
    {
        perform(m_issuer->on_outcome_request(from, ask->ticket, m_now));
    }
    if (const auto* cancel = std::get_if<cancel_message>(&body))
    {
        perform(m_issuer->on_cancel(from, cancel->ticket, m_now));
    }
}

void ticket_simulation::perform(attempt_record& attempt, const entry_actions& actions)
{
    const std::string& text = m_tickets[attempt.ticket].text;
    for (const entry_action& action : actions)
    {
        if (std::holds_alternative<send_reserve>(action))
        {
            m_network.push_back({attempt.key, reserve_message{text, attempt.body}});
        }
        if (const auto* commit = std::get_if<send_commit>(&action))
        {
            m_network.push_back(
                {attempt.key,
                 commit_message{text, attempt.body, commit->reservation, commit->remaining}});
        }
        if (std::holds_alternative<send_outcome_request>(action))
        {
            m_network.push_back({attempt.key, ask_message{text}});
        }
        if (std::holds_alternative<send_cancel>(action))
        {
            m_network.push_back({attempt.key, cancel_message{text}});
        }
        if (const auto* answer = std::get_if<give_answer>(&action))
        {
            give(attempt, answer->answer.body);
        }
        if (const auto* refused = std::get_if<give_refusal>(&action))
        {
            give(attempt, "");
            attempt.refused = refused->why;
        }
    }
}

void ticket_simulation::perform(const issuer_actions& actions)
{
    for (const issuer_action& action : actions)
    {
        if (const auto* reserved = std::get_if<send_reserved>(&action))
        {
            m_network.push_back({reserved->to, reserved_message{reserved->reservation}});
        }
        if (const auto* outcome = std::get_if<send_outcome>(&action))
        {
            m_network.push_back({outcome->to, outcome_message{outcome->outcome}});
        }
    }
}

void ticket_simulation::run_upstream(std::size_t index, std::uint16_t choice)
{
    running_call& call = m_running[index];
    issuer_actions actions;
    if (!call.is_sent && m_issuer->may_send(call.id, m_now, actions))
    {
        send_upstream(call, choice);
        return;
    }
    if (call.is_sent)
    {
        actions = m_issuer->on_result(call.id, call.result, call.is_streamed);
    }
    if (call.is_streamed)
    {
        stream(call.attempt, call.result.answer.body);
    }
    erase_at(m_running, index);
    perform(actions);
}

void ticket_simulation::send_upstream(running_call& call, std::uint16_t choice)
{
    constexpr std::uint16_t odds = 8;
    execution_record record{call.ticket, call.body, call.attempt, m_step, true, {}};
    record.answer = "answer " + std::to_string(m_executions.size()) + " of ticket " +
                    std::to_string(call.ticket);
    call.result.kind = outcome_kind::answered;
    if (m_faults.has_upstream_failures && choice % odds == 0)
    {
        record.has_executed = false;
        call.result.kind = outcome_kind::not_run;
        call.result.why.reason = refusal_reason::upstream_refused;
    }
    if (m_faults.has_upstream_failures && choice % odds == 1)
    {
        // The connection broke; the upstream may or may not have run the call.
        record.has_executed = choice / odds % 2 == 0;
        call.result.kind = outcome_kind::unknown;
        call.result.why = {refusal_reason::outcome_unknown, execution::unknown, "", {}};
        m_tickets[call.ticket].has_unknown_result = true;
    }
    if (choice % odds == 2)
    {
        constexpr std::size_t more_than_kept = 100;
        record.answer.append(more_than_kept, '.');
    }
    call.is_sent = true;
    call.result.answer = {200, {}, record.answer};
    call.is_streamed = call.result.kind == outcome_kind::answered && choice / odds % 2 == 1;
    m_executions.push_back(record);
}

void ticket_simulation::stream(const call_key& to, const std::string& answer)
{
    constexpr std::size_t chunk_bytes = 10;
    m_network.push_back({to, head_message{}});
    for (std::size_t at = 0; at < answer.size(); at += chunk_bytes)
    {
        m_network.push_back({to, chunk_message{at, answer.substr(at, chunk_bytes)}});
    }
    m_network.push_back({to, end_message{answer.size(), core::hash64(answer)}});
}

void ticket_simulation::tick_issuer()
{
    if (!is_paused(issuer_address))
    {
        perform(m_issuer->on_timer(m_now));
        m_successor.expire(m_now);
    }
}

void ticket_simulation::tick_attempt(attempt_record& attempt)
{
    if (!is_paused(attempt.key.entry.address))
    {
        perform(attempt, attempt.call->on_timer(m_now));
    }
}

void ticket_simulation::stop_issuer(std::uint16_t choice)
{
    if (is_paused(issuer_address) || !m_table->freeze(m_now))
    {
        return;
    }
    // A frozen node waits for acknowledgements, possibly until after its tickets have expired.
    m_now += core::milliseconds(choice % 2 * 30'000);
    tick_issuer();
    std::vector<outcome_record> first = m_table->outcomes();
    const auto middle = first.begin() + static_cast<std::ptrdiff_t>(first.size() / 2);
    const std::vector<outcome_record> second(middle, first.end());
    first.erase(middle, first.end());
    constexpr std::uint16_t loss_odds = 3;
    m_successor.add_part(m_table->self(), m_table->frozen_at(), 0, 2, first, m_now);
    if (!m_faults.has_loss || choice / 2 % loss_odds != 0)
    {
        m_successor.add_part(m_table->self(), m_table->frozen_at(), 1, 2, second, m_now);
    }
    start_issuer();
}

void ticket_simulation::give(attempt_record& attempt, std::string answer)
{
    ++attempt.answers;
    attempt.answer = std::move(answer);
    attempt.answered_at = m_now;
    attempt.is_issuer_gone = !is_issuer_alive(attempt.ticket);
}

void ticket_simulation::run_to_completion()
{
    m_faults = {};
    m_paused.clear();
    constexpr int max_rounds = 2'000;
    constexpr std::uint16_t plain_answer = 3;
    for (int round = 0; round < max_rounds; ++round)
    {
        ++m_step;
        if (!m_network.empty())
        {
            deliver(0);
            continue;
        }
        if (!m_running.empty())
        {
            run_upstream(0, plain_answer);
            continue;
        }
        if (std::all_of(m_attempts.begin(), m_attempts.end(),
                        [](const auto& attempt) { return attempt->call->is_finished(); }))
        {
            return;
        }
        m_now += core::milliseconds(500);
        tick_issuer();
        for (const auto& attempt : m_attempts)
        {
            tick_attempt(*attempt);
        }
    }
}

const attempt_record& ticket_simulation::ask_without_faults(std::size_t ticket)
{
    ++m_step;
    attempt_record& attempt = begin_attempt(ticket, 0, false, core::milliseconds(7'001));
    run_to_completion();
    return attempt;
}

} // namespace snipeplank::policy::tests
