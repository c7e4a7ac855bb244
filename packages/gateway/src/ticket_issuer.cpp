/// The issuing side of `ticket_service`.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/gateway/ticket_service.hpp>

#include <chrono>
#include <string_view>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::call_key;
using policy::call_outcome;
using policy::execution;
using policy::outcome_kind;
using policy::refusal_reason;
using std::chrono::steady_clock;

/// Maximum answer that fits one frame together with its headers; a longer one is sent in chunks.
constexpr std::size_t max_framed_answer_bytes = 524'288;
constexpr std::size_t chunk_bytes = 262'144;

/// Records of one handover part. 8 stored answers of 64 KB fit a frame.
constexpr std::size_t records_per_part = 8;
constexpr core::milliseconds resend_interval{500};

call_outcome unknown_ticket_outcome()
{
    call_outcome outcome;
    outcome.kind = outcome_kind::unknown;
    outcome.why = {refusal_reason::ticket_issuer_gone, execution::unknown,
                   "ask another node of the region", core::milliseconds{1'000}};
    return outcome;
}

} // namespace

void ticket_service::on_reserve(const call_key& from, const wire::reserve& received)
{
    std::unique_lock lock(m_issuer_mutex);
    const policy::issuer_actions actions =
        m_issuer.on_reserve(from, received.ticket, received.body_hash, steady_clock::now());
    lock.unlock();
    perform(actions);
}

void ticket_service::on_commit(const wire::peer_identity& from, const wire::commit& received)
{
    const call_key key{from.node, received.number};
    std::unique_lock lock(m_issuer_mutex);
    const policy::issuer_actions actions = m_issuer.on_commit(
        key, received.ticket, received.reservation, core::sha256_hex(received.request.body),
        received.request.remaining, steady_clock::now());
    lock.unlock();
    for (const policy::issuer_action& action : actions)
    {
        if (const auto* run = std::get_if<policy::run_call>(&action))
            m_parts.workers.submit([this, run = *run, from, request = received.request]
                                   { run_committed(run, from, request); });
        else
            perform({action});
    }
}

void ticket_service::run_committed(const policy::run_call& what, const wire::peer_identity& from,
                                   wire::call_request request)
{
    call_record record;
    record.request_id = request.request_id;
    call_outcome outcome;
    auto checked =
        from.node == m_parts.self.node
            ? from_own_node(std::move(request), m_parts.config.get(), steady_clock::now())
            : from_wire(std::move(request), m_parts.config.get(), from, m_parts.self,
                        steady_clock::now());
    if (auto* refused = std::get_if<policy::refusal>(&checked))
    {
        outcome.kind = outcome_kind::not_run;
        outcome.why = std::move(*refused);
    }
    else
    {
        call& ready = std::get<call>(checked);
        ready.deadline = what.deadline;
        record.service = ready.service.get();
        record.path = ready.path.to_string();
        record.config_version = ready.config->version.get();
        bool is_ended = false;
        const auto may_send = [&]
        {
            policy::issuer_actions ended;
            std::unique_lock lock(m_issuer_mutex);
            const bool is_allowed = m_issuer.may_send(what.id, steady_clock::now(), ended);
            lock.unlock();
            is_ended = !is_allowed;
            perform(ended);
            return is_allowed;
        };
        outcome = m_parts.runner.run(ready, record, may_send);
        if (is_ended)
            return;
    }
    const bool is_streamed = stream_if_large(what.attempt, outcome);
    record.result = outcome.kind == outcome_kind::answered
                        ? "answered"
                        : std::string(policy::to_string(outcome.why.reason));
    // The entry node logs the record that callers query; this one is only for calls of peers.
    if (from.node != m_parts.self.node)
        m_parts.log.add(std::move(record));
    std::unique_lock lock(m_issuer_mutex);
    const policy::issuer_actions actions =
        m_issuer.on_result(what.id, std::move(outcome), is_streamed);
    lock.unlock();
    perform(actions);
}

void ticket_service::perform(const policy::issuer_actions& actions)
{
    for (const policy::issuer_action& action : actions)
    {
        if (const auto* reserved = std::get_if<policy::send_reserved>(&action))
            send_to_entry(reserved->to, wire::reserved{reserved->to.number, reserved->reservation});
        else if (const auto* outcome = std::get_if<policy::send_outcome>(&action))
            send_to_entry(outcome->to, wire::outcome{outcome->to.number, outcome->outcome});
    }
}

bool ticket_service::stream_if_large(const call_key& to, const call_outcome& outcome)
{
    const std::string_view body = outcome.answer.body;
    const bool is_large = outcome.kind == outcome_kind::answered &&
                          body.size() > max_framed_answer_bytes && to.entry != m_parts.self.node;
    if (!is_large)
        return false;
    send_to_entry(to,
                  wire::call_head{to.number, outcome.answer.status, outcome.answer.headers, {}});
    for (std::size_t offset = 0; offset < body.size(); offset += chunk_bytes)
    {
        send_to_entry(
            to, wire::call_chunk{to.number, offset, std::string(body.substr(offset, chunk_bytes))});
    }
    send_to_entry(to, wire::call_end{to.number, body.size(), core::hash64(body)});
    return true;
}

void ticket_service::on_outcome_request(const call_key& from, const wire::outcome_request& received)
{
    std::unique_lock lock(m_issuer_mutex);
    const core::time_point now = steady_clock::now();
    const core::result<policy::ticket> parsed = policy::parse_ticket(received.ticket);
    if (!parsed || parsed.value().issuer == m_parts.self.node)
    {
        const policy::issuer_actions actions =
            m_issuer.on_outcome_request(from, received.ticket, now);
        lock.unlock();
        perform(actions);
        return;
    }
    const std::optional<call_outcome> found = m_successor.look_up(parsed.value(), {});
    lock.unlock();
    send_to_entry(from, wire::outcome{received.number, found.value_or(unknown_ticket_outcome())});
}

void ticket_service::on_handover(const wire::peer_identity& from, const wire::handover& received)
{
    if (from.node != received.former)
        return; // only the former incarnation itself may hand over
    std::unique_lock lock(m_issuer_mutex);
    const bool is_accepted =
        m_successor.add_part(received.former, received.frozen_at, received.part, received.parts,
                             received.records, steady_clock::now());
    lock.unlock();
    if (is_accepted)
        m_parts.network.reply(from.node, wire::handover_ack{received.former, received.part});
}

bool ticket_service::hand_over(core::milliseconds limit)
{
    std::vector<policy::outcome_record> records;
    core::milliseconds frozen_at{0};
    {
        const std::lock_guard lock(m_issuer_mutex);
        if (!m_table.freeze(steady_clock::now()))
            return false;
        records = m_table.outcomes();
        frozen_at = m_table.frozen_at();
    }
    if (m_parts.counters.value(counter::tickets_issued) == 0)
        return true;
    const fleet_view_ptr view = m_parts.view.get();
    std::vector<core::address> peers;
    for (const node_addresses& node : view->live)
    {
        if (node.peer != m_parts.self.node.address)
            peers.push_back(node.peer);
    }
    if (peers.empty())
        return false;
    const auto name = [](const core::address& a) -> std::string_view { return a.get(); };
    const core::address successor =
        peers[core::rendezvous_order(m_parts.self.node.address.get(), peers, name).front()];

    const auto parts = static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (records.size() + records_per_part - 1) / records_per_part));
    const core::time_point until = steady_clock::now() + limit;
    for (;;)
    {
        for (std::uint32_t part = 0; part < parts; ++part)
        {
            {
                const std::lock_guard lock(m_handover_mutex);
                if (m_acknowledged.contains(part))
                    continue;
            }
            const auto first =
                records.begin() +
                static_cast<std::ptrdiff_t>(std::min(records.size(), part * records_per_part));
            const auto last = records.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                    records.size(), (part + 1) * records_per_part));
            m_parts.network.send(
                successor,
                wire::handover{m_parts.self.node, frozen_at, part, parts, {first, last}});
        }
        std::unique_lock lock(m_handover_mutex);
        const core::time_point next = std::min(until, steady_clock::now() + resend_interval);
        if (m_handover_changed.wait_until(lock, next,
                                          [&] { return m_acknowledged.size() == parts; }))
            return true;
        if (steady_clock::now() >= until)
            return false;
    }
}

} // namespace snipeplank::gateway
