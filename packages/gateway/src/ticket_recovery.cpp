/// What `ticket_service` does when an issuer is gone, and answers that arrive in pieces.

#include <snipeplank/gateway/ticket_service.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::call_outcome;
using std::chrono::steady_clock;

/// Time that possible successors of a gone issuer get to answer. They are in the same region.
constexpr core::milliseconds successor_limit{500};

} // namespace

bool is_issuer_gone(const call_outcome& outcome)
{
    return outcome.kind == policy::outcome_kind::unknown &&
           outcome.why.reason == policy::refusal_reason::ticket_issuer_gone;
}

void ticket_service::ask_successors(core::call_number number, const attempt_ptr& entry)
{
    const fleet_view_ptr view = m_parts.view.get();
    std::set<core::address> asked{m_parts.self.node.address};
    for (const node_addresses& node : view->live)
    {
        if (node.peer != entry->issuer.address)
            asked.insert(node.peer);
    }
    {
        const std::lock_guard lock(m_entry_mutex);
        if (entry->give_up_successors_at)
            return; // asked already
        entry->give_up_successors_at = steady_clock::now() + successor_limit;
        entry->asked_successors = asked;
        entry->changed.notify_all();
    }
    const wire::outcome_request question{number, entry->issuer.incarnation, entry->ticket};
    for (const core::address& node : asked)
    {
        send_to_issuer(node, question);
    }
}

void ticket_service::on_successor_answer(core::call_number number, const attempt_ptr& entry,
                                         const call_outcome& outcome, const core::address& from)
{
    std::unique_lock lock(m_entry_mutex);
    if (entry->asked_successors.erase(from) == 0)
        return;
    policy::entry_actions actions;
    const bool is_answer = !is_issuer_gone(outcome);
    if (!is_answer && !entry->asked_successors.empty())
        return;
    entry->asked_successors.clear();
    entry->give_up_successors_at.reset();
    if (!entry->request)
        entry->looked_up = outcome;
    else if (is_answer)
        actions = entry->machine.on_outcome(outcome);
    else
        actions = entry->machine.on_issuer_gone(steady_clock::now());
    entry->changed.notify_all();
    lock.unlock();
    perform(number, entry, actions);
}

bool ticket_service::on_stream(const wire::peer_identity& from, const wire::message& received)
{
    core::call_number number;
    if (const auto* head = std::get_if<wire::call_head>(&received))
        number = head->number;
    else if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
        number = chunk->number;
    else if (const auto* end = std::get_if<wire::call_end>(&received))
        number = end->number;
    else
        return false;
    const attempt_ptr entry = find(number);
    if (!entry || !entry->request || entry->issuer.address != from.node.address)
        return false;
    std::unique_lock lock(m_entry_mutex);
    policy::assembly_result verdict;
    if (const auto* head = std::get_if<wire::call_head>(&received))
    {
        verdict = entry->assembly.on_head(head->status);
        entry->machine.on_answer_begun();
        entry->streamed.status = head->status;
        entry->streamed.headers = head->headers;
    }
    else if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
    {
        verdict = entry->assembly.on_chunk(chunk->offset, chunk->data);
        entry->streamed.body += verdict.fresh;
    }
    else if (const auto* end = std::get_if<wire::call_end>(&received))
    {
        verdict = entry->assembly.on_end(end->length, end->checksum);
    }
    lock.unlock();
    take_streamed(number, entry, verdict.step);
    return true;
}

void ticket_service::take_streamed(core::call_number number, const attempt_ptr& entry,
                                   policy::assembly_step step)
{
    std::unique_lock lock(m_entry_mutex);
    if (step == policy::assembly_step::finished)
    {
        entry->machine.on_answer();
        const policy::upstream_answer answer = entry->streamed;
        lock.unlock();
        finish(entry, answer);
    }
    else if (step == policy::assembly_step::broken)
    {
        const policy::entry_actions actions = entry->machine.on_answer_broken(steady_clock::now());
        lock.unlock();
        perform(number, entry, actions);
    }
}

} // namespace snipeplank::gateway
