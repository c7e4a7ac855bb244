#include <snipeplank/core/hash.hpp>
#include <snipeplank/gateway/peer_server.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::execution;
using policy::refusal;
using policy::refusal_reason;
using std::chrono::steady_clock;

/// Interval at which a waiting thread checks whether the peer has cancelled.
constexpr core::milliseconds cancel_poll_interval{100};

} // namespace

void peer_server::on_call(const wire::peer_identity& from, wire::call received)
{
    const call_id id{from.node, received.number};
    auto cancelled = std::make_shared<std::atomic<bool>>(false);
    bool is_closed = false;
    bool is_new = false;
    {
        const std::lock_guard lock(m_mutex);
        is_closed = m_is_closed;
        is_new = !is_closed && m_calls.emplace(id, cancelled).second;
    }
    if (is_closed)
    {
        constexpr core::milliseconds retry_after{100};
        refuse(from.node, received.number,
               {refusal_reason::draining, execution::no, "use another node", retry_after, false});
        return;
    }
    if (!is_new)
    {
        m_parts.counters.count(counter::frames_dropped);
        return; // duplicate frame of a call that is being served
    }
    m_parts.counters.count(counter::forwarded_in);
    m_parts.workers.submit(
        [this, id, from, received = std::move(received), cancelled]() mutable
        {
            serve(from, std::move(received), cancelled);
            const std::lock_guard lock(m_mutex);
            m_calls.erase(id);
        });
}

void peer_server::on_cancel(const core::node_id& from, core::call_number number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find({from, number});
    if (found != m_calls.end())
        found->second->store(true);
}

void peer_server::on_connection_lost(const core::node_id& from)
{
    const std::lock_guard lock(m_mutex);
    for (auto& [id, cancelled] : m_calls)
    {
        if (id.first == from)
            cancelled->store(true);
    }
}

std::size_t peer_server::in_flight() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.size();
}

bool peer_server::close_if_idle()
{
    const std::lock_guard lock(m_mutex);
    m_is_closed = m_is_closed || m_calls.empty();
    return m_is_closed;
}

void peer_server::serve(const wire::peer_identity& from, wire::call received,
                        const cancel_flag& cancelled)
{
    const core::call_number number = received.number;
    auto checked = from_wire(std::move(received.request), m_parts.config.get(), from, m_parts.self,
                             steady_clock::now());
    if (const auto* refused = std::get_if<refusal>(&checked))
    {
        refuse(from.node, number, *refused);
        return;
    }
    const call& request = std::get<call>(checked);
    const bool needs_ticket = !request.is_idempotent &&
                              request.service_config().ticket == settings::ticket_rule::required;
    if (needs_ticket)
    {
        refuse(from.node, number,
               {refusal_reason::ticket_required, execution::no, "get a ticket", {}});
        return;
    }
    call_record record;
    record.request_id = request.request_id;
    record.service = request.service.get();
    record.path = request.path.to_string();
    record.config_version = request.config->version.get();
    call_result result = m_parts.calls.start(request, record);
    if (const auto* refused = std::get_if<refusal>(&result))
    {
        record.result = policy::to_string(refused->reason);
        record.executed = policy::to_string(refused->executed);
        refuse(from.node, number, *refused);
    }
    else
    {
        send_answer(from.node, number, *std::get<0>(result), cancelled);
        record.result = std::get<0>(result)->is_complete() ? "answered" : "aborted";
    }
    m_parts.log.add(std::move(record));
}

void peer_server::send_answer(const core::node_id& to, core::call_number number,
                              running_answer& answer, const cancel_flag& cancelled)
{
    const answer_head& head = answer.head();
    m_parts.network.reply(to, wire::call_head{number, head.status, head_headers(head), {}});
    core::checksum64 sum;
    std::uint64_t offset = 0;
    while (!cancelled->load() && !answer.is_complete() && !answer.failure())
    {
        const std::optional<std::string> chunk = answer.next(cancel_poll_interval);
        if (!chunk)
            continue;
        sum.update(*chunk);
        if (!m_parts.network.reply(to, wire::call_chunk{number, offset, *chunk}))
            return;
        offset += chunk->size();
    }
    if (answer.is_complete())
    {
        m_parts.network.reply(to, wire::call_end{number, offset, sum.digest()});
        return;
    }
    refuse(to, number,
           {refusal_reason::upstream_failed, execution::unknown, "the answer broke off; ask again",
            core::milliseconds{1'000}});
}

void peer_server::refuse(const core::node_id& to, core::call_number number, refusal why)
{
    m_parts.network.reply(to, wire::call_refused{number, std::move(why)});
}

} // namespace snipeplank::gateway
