/// Parts of `ticket_service`: issuers that are gone, and answers that arrive in chunks.

#include <snipeplank/gateway/ticket_service.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::call_outcome;
using std::chrono::steady_clock;

/// Maximum wait for the possible successors of an issuer that is gone. They are in this region.
constexpr core::milliseconds successor_timeout{500};

} // namespace

bool is_issuer_gone(const call_outcome& outcome)
{
    return outcome.kind == policy::outcome_kind::unknown &&
           outcome.why.reason == policy::refusal_reason::ticket_issuer_gone;
}

void ticket_service::query_successors(core::call_number number, const attempt_ptr& entry)
{
    const fleet_view_ptr view = m_parts.view.get();
    std::set<core::address> queried{m_parts.self.node.address};
    for (const node_addresses& node : view->live)
    {
        if (node.peer != entry->issuer.address)
            queried.insert(node.peer);
    }
    {
        const std::lock_guard lock(m_entry_mutex);
        if (entry->successor_deadline)
            return; // already queried
        entry->successor_deadline = steady_clock::now() + successor_timeout;
        entry->pending_successors = queried;
        entry->changed.notify_all();
    }
    const wire::outcome_request query{number, entry->issuer.incarnation, entry->ticket};
    for (const core::address& node : queried)
    {
        send_to_issuer(node, query);
    }
}

void ticket_service::on_successor_answer(core::call_number number, const attempt_ptr& entry,
                                         const call_outcome& outcome, const core::address& from)
{
    std::unique_lock lock(m_entry_mutex);
    if (entry->pending_successors.erase(from) == 0)
        return;
    policy::entry_actions actions;
    const bool is_answer = !is_issuer_gone(outcome);
    if (!is_answer && !entry->pending_successors.empty())
        return;
    entry->pending_successors.clear();
    entry->successor_deadline.reset();
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
    policy::assembly_result result;
    if (const auto* head = std::get_if<wire::call_head>(&received))
    {
        result = entry->assembly.on_head(head->status);
        entry->machine.on_answer_begun();
        entry->streamed.status = head->status;
        entry->streamed.headers = head->headers;
    }
    else if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
    {
        result = entry->assembly.on_chunk(chunk->offset, chunk->data);
        entry->streamed.body += result.fresh;
    }
    else if (const auto* end = std::get_if<wire::call_end>(&received))
    {
        result = entry->assembly.on_end(end->length, end->checksum);
    }
    lock.unlock();
    apply_assembly_step(number, entry, result.step);
    return true;
}

void ticket_service::apply_assembly_step(core::call_number number, const attempt_ptr& entry,
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
