#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/gateway/ticket_service.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::call_key;
using policy::call_outcome;
using policy::execution;
using policy::outcome_kind;
using policy::refusal;
using policy::refusal_reason;
using std::chrono::steady_clock;

constexpr std::size_t secret_bytes = 32;

/// Maximum time that a lookup waits for the issuer.
constexpr core::milliseconds lookup_timeout{3'000};

refusal refuse(refusal_reason reason, execution executed, std::string remedy)
{
    return {reason, executed, std::move(remedy), core::milliseconds{1'000}};
}

refusal invalid_ticket(std::string remedy)
{
    return refuse(refusal_reason::ticket_invalid, execution::no, std::move(remedy));
}

} // namespace

ticket_service::ticket_service(parts with)
    : m_parts(std::move(with)), m_table(m_parts.self.node, core::random_bytes(secret_bytes)),
      m_issuer(m_table), m_random(core::system_seed())
{
}

policy::issue_result ticket_service::issue(const core::service_id& service)
{
    const std::lock_guard lock(m_issuer_mutex);
    policy::issue_result issued = m_table.issue(service, steady_clock::now(), m_random);
    if (std::holds_alternative<policy::issued_ticket>(issued))
        m_parts.counters.count(counter::tickets_issued);
    return issued;
}

ticketed_result ticket_service::run(const call& request, call_record& record)
{
    const core::result<policy::ticket> parsed = policy::parse_ticket(request.ticket);
    if (!parsed)
        return invalid_ticket("send a ticket from POST /v1/tickets as Idempotency-Key");
    if (parsed.value().service != request.service)
        return invalid_ticket("send the ticket to the service it was issued for");
    auto entry = std::make_shared<attempt>(request.deadline);
    entry->issuer = parsed.value().issuer;
    entry->ticket = request.ticket;
    entry->request = std::make_shared<const call>(request);
    attempt_record line;
    line.kind = "ticket";
    line.target = entry->issuer.address.get();
    const core::call_number number = add(entry);
    ticketed_result result = wait_for_result(number, entry);
    remove(number);
    line.result = std::holds_alternative<refusal>(result)
                      ? std::string(policy::to_string(std::get<refusal>(result).reason))
                      : std::to_string(std::get<policy::upstream_answer>(result).status);
    record.attempts.push_back(std::move(line));
    return result;
}

std::optional<call_outcome> ticket_service::look_up(const std::string& ticket)
{
    const core::result<policy::ticket> parsed = policy::parse_ticket(ticket);
    if (!parsed)
    {
        call_outcome outcome;
        outcome.kind = outcome_kind::not_run;
        outcome.why = invalid_ticket("give a ticket from POST /v1/tickets");
        return outcome;
    }
    auto entry = std::make_shared<attempt>(steady_clock::now() + lookup_timeout);
    entry->issuer = parsed.value().issuer;
    entry->ticket = ticket;
    const core::call_number number = add(entry);
    const bool is_known = is_own(entry->issuer.address) || is_listed(entry->issuer.address);
    if (is_known)
        send_to_issuer(entry->issuer.address,
                       wire::outcome_request{number, entry->issuer.incarnation, ticket});
    else
        query_successors(number, entry);
    std::unique_lock lock(m_entry_mutex);
    entry->changed.wait_for(lock, lookup_timeout, [&] { return entry->looked_up.has_value(); });
    m_attempts.erase(number);
    return entry->looked_up;
}

ticketed_result ticket_service::wait_for_result(core::call_number number, const attempt_ptr& entry)
{
    std::unique_lock lock(m_entry_mutex);
    const core::time_point start = steady_clock::now();
    policy::entry_actions actions = entry->machine.start(start);
    lock.unlock();
    if (is_own(entry->issuer.address) || is_listed(entry->issuer.address))
        perform(number, entry, actions);
    else
        query_successors(number, entry);
    lock.lock();
    while (!entry->result)
    {
        core::time_point due = entry->machine.due_at();
        if (entry->successor_deadline)
            due = std::min(due, *entry->successor_deadline);
        entry->changed.wait_until(lock, due, [&] { return entry->result.has_value(); });
        const core::time_point now = steady_clock::now();
        if (entry->result || now < due)
            continue;
        if (entry->successor_deadline && now >= *entry->successor_deadline)
        {
            entry->successor_deadline.reset();
            actions = entry->machine.on_issuer_gone(steady_clock::now());
        }
        else
        {
            actions = entry->machine.on_timer(now);
        }
        lock.unlock();
        perform(number, entry, actions);
        lock.lock();
    }
    return *entry->result;
}

void ticket_service::perform(core::call_number number, const attempt_ptr& entry,
                             const policy::entry_actions& actions)
{
    for (const policy::entry_action& action : actions)
    {
        perform_one(number, entry, action);
    }
}

void ticket_service::perform_one(core::call_number number, const attempt_ptr& entry,
                                 const policy::entry_action& action)
{
    const core::address& issuer = entry->issuer.address;
    if (const auto* reserve = std::get_if<policy::send_reserve>(&action))
    {
        send_to_issuer(issuer,
                       wire::reserve{number, entry->ticket, core::sha256_hex(entry->request->body),
                                     reserve->remaining});
    }
    else if (const auto* commit = std::get_if<policy::send_commit>(&action))
    {
        wire::commit message{number, commit->reservation, entry->ticket,
                             to_wire(*entry->request, m_parts.self, steady_clock::now())};
        message.request.remaining = commit->remaining;
        send_to_issuer(issuer, message);
    }
    else if (std::holds_alternative<policy::send_outcome_request>(action))
    {
        send_to_issuer(issuer,
                       wire::outcome_request{number, entry->issuer.incarnation, entry->ticket});
    }
    else if (std::holds_alternative<policy::send_cancel>(action))
    {
        send_to_issuer(issuer, wire::cancel{number, entry->ticket});
    }
    else if (const auto* answer = std::get_if<policy::give_answer>(&action))
    {
        finish(entry, answer->answer);
    }
    else if (const auto* refused = std::get_if<policy::give_refusal>(&action))
    {
        finish(entry, refused->why);
    }
}

void ticket_service::finish(const attempt_ptr& entry, ticketed_result result)
{
    const std::lock_guard lock(m_entry_mutex);
    if (!entry->result)
        entry->result = std::move(result);
    entry->changed.notify_all();
}

core::call_number ticket_service::add(const attempt_ptr& entry)
{
    const core::call_number number = m_parts.numbers.next();
    const std::lock_guard lock(m_entry_mutex);
    m_attempts.emplace(number, entry);
    return number;
}

void ticket_service::remove(core::call_number number)
{
    const std::lock_guard lock(m_entry_mutex);
    m_attempts.erase(number);
}

ticket_service::attempt_ptr ticket_service::find(core::call_number number) const
{
    const std::lock_guard lock(m_entry_mutex);
    const auto found = m_attempts.find(number);
    return found == m_attempts.end() ? nullptr : found->second;
}

bool ticket_service::is_own(const core::address& issuer) const
{
    return issuer == m_parts.self.node.address;
}

bool ticket_service::is_listed(const core::address& issuer) const
{
    const fleet_view_ptr view = m_parts.view.get();
    for (const node_addresses& node : view->region_nodes)
    {
        if (node.peer == issuer)
            return true;
    }
    return false;
}

void ticket_service::send_to_issuer(const core::address& issuer, const wire::message& message)
{
    if (is_own(issuer))
        on_message(own_identity(), message);
    else
        m_parts.network.send(issuer, message);
}

void ticket_service::send_to_entry(const call_key& to, const wire::message& message)
{
    if (to.entry == m_parts.self.node)
        on_message(own_identity(), message);
    else
        m_parts.network.reply(to.entry, message);
}

wire::peer_identity ticket_service::own_identity() const
{
    return {m_parts.self.node, m_parts.self.region, m_parts.self.zone};
}

bool ticket_service::on_message(const wire::peer_identity& from, const wire::message& received)
{
    if (const auto* reserve = std::get_if<wire::reserve>(&received))
    {
        on_reserve({from.node, reserve->number}, *reserve);
        return true;
    }
    if (const auto* commit = std::get_if<wire::commit>(&received))
    {
        on_commit(from, *commit);
        return true;
    }
    if (const auto* request = std::get_if<wire::outcome_request>(&received))
    {
        on_outcome_request({from.node, request->number}, *request);
        return true;
    }
    if (const auto* handover = std::get_if<wire::handover>(&received))
    {
        on_handover(from, *handover);
        return true;
    }
    if (const auto* ack = std::get_if<wire::handover_ack>(&received))
    {
        const std::lock_guard lock(m_handover_mutex);
        m_acknowledged.insert(ack->part);
        m_handover_changed.notify_all();
        return true;
    }
    if (const auto* cancel = std::get_if<wire::cancel>(&received))
    {
        if (cancel->ticket.empty())
            return false;
        std::unique_lock lock(m_issuer_mutex);
        const policy::issuer_actions actions =
            m_issuer.on_cancel({from.node, cancel->number}, cancel->ticket, steady_clock::now());
        lock.unlock();
        perform(actions);
        return true;
    }
    if (const auto* reserved = std::get_if<wire::reserved>(&received))
    {
        const attempt_ptr entry = find(reserved->number);
        if (!entry || !entry->request || entry->issuer.address != from.node.address)
            return false;
        std::unique_lock lock(m_entry_mutex);
        const policy::entry_actions actions =
            entry->machine.on_reserved(reserved->reservation, steady_clock::now());
        lock.unlock();
        perform(reserved->number, entry, actions);
        return true;
    }
    if (const auto* outcome = std::get_if<wire::outcome>(&received))
    {
        const attempt_ptr entry = find(outcome->number);
        if (!entry)
            return false;
        on_outcome(outcome->number, entry, outcome->result, from.node.address);
        return true;
    }
    return on_stream(from, received);
}

void ticket_service::on_outcome(core::call_number number, const attempt_ptr& entry,
                                const call_outcome& outcome, const core::address& from)
{
    if (from != entry->issuer.address)
    {
        on_successor_answer(number, entry, outcome, from);
        return;
    }
    if (is_issuer_gone(outcome))
    {
        query_successors(number, entry);
        return;
    }
    std::unique_lock lock(m_entry_mutex);
    if (!entry->request)
    {
        entry->looked_up = outcome;
        entry->changed.notify_all();
        return;
    }
    const policy::entry_actions actions = entry->machine.on_outcome(outcome);
    lock.unlock();
    perform(number, entry, actions);
}

std::vector<std::pair<core::call_number, ticket_service::attempt_ptr>>
ticket_service::attempts_at(const core::address& issuer) const
{
    std::vector<std::pair<core::call_number, attempt_ptr>> found;
    const std::lock_guard lock(m_entry_mutex);
    for (const auto& [number, entry] : m_attempts)
    {
        if (entry->issuer.address == issuer)
            found.emplace_back(number, entry);
    }
    return found;
}

void ticket_service::on_connection_lost(const core::address& peer)
{
    for (const auto& [number, entry] : attempts_at(peer))
    {
        policy::entry_actions actions;
        if (entry->request)
        {
            const std::lock_guard lock(m_entry_mutex);
            actions = entry->machine.on_connection_lost(steady_clock::now());
        }
        perform(number, entry, actions);
    }
}

void ticket_service::on_unreachable(const core::address& peer)
{
    for (const auto& [number, entry] : attempts_at(peer))
    {
        query_successors(number, entry);
    }
}

void ticket_service::expire()
{
    const core::time_point now = steady_clock::now();
    std::unique_lock lock(m_issuer_mutex);
    const policy::issuer_actions actions = m_issuer.on_timer(now);
    m_successor.expire(now);
    lock.unlock();
    perform(actions);
}

std::size_t ticket_service::in_flight() const
{
    std::size_t count = 0;
    {
        const std::lock_guard lock(m_issuer_mutex);
        count += m_table.running();
    }
    const std::lock_guard lock(m_entry_mutex);
    return count + m_attempts.size();
}

} // namespace snipeplank::gateway
