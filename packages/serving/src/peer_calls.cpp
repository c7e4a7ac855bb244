#include "peer_calls.hpp"

#include <snipeplank/core/hash.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <variant>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// Largest body that fits into one frame together with the headers.
constexpr std::size_t max_forwarded_body = 1'000'000;
/// What a node holds of one answer of another region even at its limit for all answers.
constexpr std::size_t max_part_at_limit = 65'536;
/// Bytes that may wait on a connection to another node before more of an answer is read.
constexpr std::size_t max_unsent_bytes = 1'048'576;
constexpr core::milliseconds unsent_poll_interval{10};

/// The call ends at its own deadline. The other node is told what is left of it in whole
/// milliseconds, so an attempt that ended with these would pass for one that the other node broke
/// off.
constexpr core::milliseconds answer_slack{300};

} // namespace

/// @brief A call that this node sent to a node of another region.
class peer_attempt final : public attempt
{
  public:
    peer_attempt(peer_calls& owner, asio::io_context& loop, core::address peer, wire::call request,
                 core::milliseconds timeout)
        : m_owner(owner), m_peer(std::move(peer)), m_request(std::move(request)), m_wake(loop),
          m_deadline(now() + timeout + answer_slack), m_held(*owner.m_limits.answers)
    {
        m_owner.m_pending[m_request.number] = this;
    }

    ~peer_attempt() override { m_owner.m_pending.erase(m_request.number); }
    peer_attempt(const peer_attempt&) = delete;
    peer_attempt& operator=(const peer_attempt&) = delete;

    const core::address& peer() const { return m_peer; }

    /// The connection that carries the call; none before it was sent.
    wire::connection_number connection() const { return m_connection; }
    void on_sent(wire::connection_number by) { m_connection = by; }

    asio::awaitable<attempt_start> start() override
    {
        attempt_start result;
        result.was_sent = m_owner.m_network.send(m_peer, m_request);
        if (!result.was_sent)
        {
            result.is_unreachable = true;
            result.cause = "the other region's node cannot be sent to";
            co_return result;
        }
        m_request.request.body.clear();
        const wire::message received = co_await next_message();
        if (const auto* head = std::get_if<wire::call_head>(&received))
        {
            m_assembly.on_head(head->status);
            result.kind = answer_kind::success;
            result.head.status = head->status;
            result.head.headers = head->headers;
            result.software_version = head->software_version;
            co_return result;
        }
        if (const auto* refused = std::get_if<wire::call_refused>(&received))
        {
            const bool is_proven = refused->why.executed == policy::execution::no;
            result.kind = is_proven ? answer_kind::not_run : answer_kind::broken;
            result.was_sent = refused->why.has_reached_upstream;
            result.cause = std::string(policy::to_string(refused->why.reason));
            result.refused = refused->why;
            co_return result;
        }
        result.cause = "unexpected message";
        co_return result;
    }

    asio::awaitable<core::result<http::body_chunk>> next() override
    {
        for (;;)
        {
            const wire::message received = co_await next_message();
            if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
            {
                const auto result = m_assembly.on_chunk(chunk->offset, chunk->data);
                http::body_chunk data_chunk;
                data_chunk.data = result.fresh;
                if (result.step == policy::assembly_step::forward)
                    co_return data_chunk;
                if (result.step == policy::assembly_step::drop)
                    continue;
                co_return truncation_error("a part is missing");
            }
            if (const auto* end = std::get_if<wire::call_end>(&received))
            {
                const auto result = m_assembly.on_end(end->length, end->checksum);
                if (result.step == policy::assembly_step::finished)
                {
                    m_is_finished = true;
                    http::body_chunk last;
                    last.is_last = true;
                    co_return last;
                }
                co_return truncation_error("its length or checksum is wrong");
            }
            if (const auto* refused = std::get_if<wire::call_refused>(&received))
                co_return truncation_error(policy::to_string(refused->why.reason));
            co_return truncation_error("unexpected message");
        }
    }

    void cancel() override
    {
        if (!m_is_finished)
            m_owner.m_network.send(m_peer, wire::cancel{m_request.number, {}});
        m_is_finished = true;
        deliver(broken(policy::refusal_reason::peer_unreachable));
    }

    void finish() override {}

    std::optional<core::address> node() const override { return m_peer; }

    void deliver(wire::message received)
    {
        m_has_received = true;
        if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
            m_held.set(m_held.bytes() + chunk->data.size());
        if (m_owner.m_limits.answers->is_full() && m_held.bytes() > max_part_at_limit)
            give_up();
        else
            m_received.push_back(std::move(received));
        m_wake.cancel();
    }

    /// Called when the connection was lost; the call may have run.
    void on_connection_lost() { deliver(broken(policy::refusal_reason::peer_unreachable)); }

    /// Called when the message was dropped before any byte of it reached a socket; ignored when
    /// something was received for the call, also the loss of its connection.
    void on_call_dropped(wire::drop_cause cause)
    {
        if (m_has_received)
            return;
        const bool is_full = cause == wire::drop_cause::queue_full;
        deliver(wire::call_refused{m_request.number,
                                   {is_full ? policy::refusal_reason::overloaded
                                            : policy::refusal_reason::peer_unreachable,
                                    policy::execution::no,
                                    "send the call to another node",
                                    {},
                                    false}});
    }

  private:
    /// Drops an answer that arrives faster than its caller takes it, when the node holds too much.
    void give_up()
    {
        if (!m_is_finished)
            m_owner.m_network.send(m_peer, wire::cancel{m_request.number, {}});
        m_is_finished = true;
        m_received.clear();
        m_received.push_back(broken(policy::refusal_reason::overloaded));
        m_held.set(0);
    }

    core::result<http::body_chunk> truncation_error(std::string_view cause) const
    {
        return core::fail(core::error_code::answer_truncated,
                          "the answer from " + m_peer.get() + " broke off: " + std::string(cause),
                          "see the log of that node");
    }

    wire::message broken(policy::refusal_reason reason) const
    {
        return wire::call_refused{m_request.number,
                                  {reason, policy::execution::unknown, {}, core::milliseconds{0}}};
    }

    asio::awaitable<wire::message> next_message()
    {
        while (m_received.empty())
        {
            if (now() >= m_deadline)
                co_return broken(policy::refusal_reason::deadline_passed);
            boost::system::error_code ignored;
            m_wake.expires_at(m_deadline);
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        wire::message first = std::move(m_received.front());
        m_received.pop_front();
        if (const auto* chunk = std::get_if<wire::call_chunk>(&first))
            m_held.set(m_held.bytes() - chunk->data.size());
        co_return first;
    }

    peer_calls& m_owner;
    core::address m_peer;
    wire::connection_number m_connection;
    wire::call m_request;
    asio::steady_timer m_wake;
    core::time_point m_deadline;
    std::deque<wire::message> m_received;
    held_answers::share m_held; ///< parts of the answer in `m_received`
    policy::answer_assembly m_assembly;
    bool m_is_finished = false;
    bool m_has_received = false;
};

/// @brief A call received from another node, as an exchange that this node serves.
class peer_calls::served_exchange final : public http::exchange
{
  public:
    served_exchange(peer_calls& owner, wire::peer_identity from, const wire::call& received)
        : m_owner(owner), m_from(std::move(from)), m_key{m_from.node, received.number},
          m_body(received.request.body), m_received(now())
    {
        const wire::call_request& request = received.request;
        m_head = {request.method, request.target, request.headers};
        m_owner.m_served[m_key] = this;
        m_owner.m_served_body_bytes += m_body.size();
    }

    ~served_exchange() override
    {
        m_owner.m_served_body_bytes -= m_body.size();
        if (!m_is_finished)
            abort();
        m_owner.forget_served(m_key);
    }
    served_exchange(const served_exchange&) = delete;
    served_exchange& operator=(const served_exchange&) = delete;

    const http::request_head& head() const override { return m_head; }
    const std::string& body() const override { return m_body; }
    core::time_point received_at() const override { return m_received; }
    bool has_begun() const override { return m_has_begun; }
    const wire::peer_identity& from() const { return m_from; }

    /// The software version of the upstream that answers, sent with the head.
    void set_version(policy::software_version_key version) { m_version = version; }

    asio::awaitable<bool> send(http::response answer) override
    {
        co_await begin(std::move(answer.head));
        co_await write(answer.body);
        co_return co_await finish();
    }

    asio::awaitable<bool> begin(http::response_head head) override
    {
        co_return send_head(std::move(head));
    }

    asio::awaitable<bool> write(std::string_view data) override
    {
        constexpr std::size_t max_chunk_bytes = 65'536;
        while (!data.empty())
        {
            send_chunk(data.substr(0, max_chunk_bytes));
            data.remove_prefix(std::min(data.size(), max_chunk_bytes));
            co_await wait_until_sent();
        }
        co_return !m_is_disconnected;
    }

    asio::awaitable<bool> finish() override { co_return send_end(); }

    void abort() override
    {
        refuse({policy::refusal_reason::upstream_failed, policy::execution::unknown,
                "look up what became of the request", core::milliseconds{0}});
    }

    void refuse(const policy::refusal& why)
    {
        m_is_finished = true;
        reply(wire::call_refused{m_key.number, why});
    }

    void on_client_disconnected(std::function<void()> action) override
    {
        m_on_disconnected = std::move(action);
        if (m_is_disconnected)
            on_cancel();
    }

    void on_cancel()
    {
        m_is_disconnected = true;
        if (m_on_disconnected)
            std::exchange(m_on_disconnected, nullptr)();
    }

  private:
    /// Waits while the connection to the other node has much to write: its queue has a limit, at
    /// which the connection and all calls on it are lost.
    asio::awaitable<void> wait_until_sent()
    {
        while (!m_is_disconnected && m_owner.m_network.unsent(m_from.connection) > max_unsent_bytes)
        {
            asio::steady_timer timer(m_owner.m_loop, unsent_poll_interval);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    bool send_head(http::response_head head)
    {
        m_has_begun = true;
        return reply(
            wire::call_head{m_key.number, head.status, std::move(head.headers), m_version});
    }

    void send_chunk(std::string_view data)
    {
        m_sum.update(data);
        reply(wire::call_chunk{m_key.number, m_length, std::string(data)});
        m_length += data.size();
    }

    bool send_end()
    {
        m_is_finished = true;
        return reply(wire::call_end{m_key.number, m_length, m_sum.digest()});
    }

    /// Sends a part of the answer. The call ends at the other node, too, when it is not taken.
    bool reply(const wire::message& what)
    {
        if (m_is_disconnected)
            return false;
        if (m_owner.m_network.answer(m_from, what))
            return true;
        m_is_disconnected = true;
        m_is_finished = true;
        m_owner.m_network.answer(
            m_from,
            wire::call_refused{m_key.number,
                               {policy::refusal_reason::upstream_failed, policy::execution::unknown,
                                "look up what became of the request", core::milliseconds{0}}});
        return false;
    }

    peer_calls& m_owner;
    wire::peer_identity m_from;
    policy::call_key m_key;
    http::request_head m_head;
    std::string m_body;
    core::time_point m_received;
    std::function<void()> m_on_disconnected;
    core::checksum64 m_sum;
    std::uint64_t m_length = 0;
    policy::software_version_key m_version;
    bool m_has_begun = false;
    bool m_is_finished = false;
    bool m_is_disconnected = false;
};

peer_calls::peer_calls(asio::io_context& loop, wire::peer_network& network, wire::hop self,
                       core::random_source& random, peer_call_limits limits)
    : m_loop(loop), m_network(network), m_self(std::move(self)), m_random(random),
      m_limits(std::move(limits))
{
}

peer_calls::~peer_calls() = default;

std::unique_ptr<attempt> peer_calls::call(const core::region_id& region,
                                          const http::request_head& request,
                                          const std::string& body,
                                          const forwarding_options& options)
{
    std::vector<const region_node*> nodes;
    for (const region_node& each : m_nodes)
    {
        if (each.region != region)
            continue;
        const auto tried =
            std::find(options.tried_nodes.begin(), options.tried_nodes.end(), each.peer);
        if (tried == options.tried_nodes.end())
            nodes.push_back(&each);
    }
    if (nodes.empty() || body.size() > max_forwarded_body)
        return nullptr;
    wire::call what;
    what.number = core::call_number{++m_last_number};
    what.request.request_id = std::to_string(m_last_number);
    what.request.remaining = options.remaining;
    what.request.account = options.account;
    what.request.path = {m_self};
    what.request.method = request.method;
    what.request.target = request.target;
    what.request.headers = request.headers;
    what.request.body = body;
    what.request.software_version = options.software_version;
    what.request.config_version = options.config_version;
    what.request.service = options.service;
    const core::address peer = nodes[m_random.below(nodes.size())]->peer;
    return std::make_unique<peer_attempt>(*this, m_loop, peer, std::move(what), options.remaining);
}

void peer_calls::serve(const wire::peer_identity& from, const wire::call& received)
{
    const bool has_multiple_hops = received.request.path.size() != 1;
    const policy::call_key key{from.node, received.number};
    if (has_multiple_hops || !m_server || m_served.contains(key))
    {
        m_network.answer(from, wire::call_refused{received.number,
                                                  {policy::refusal_reason::loop,
                                                   policy::execution::no,
                                                   "send the call from its entry node",
                                                   {},
                                                   false}});
        return;
    }
    if (!has_room_for(received.request.body.size()))
    {
        m_network.answer(from, wire::call_refused{received.number,
                                                  {policy::refusal_reason::overloaded,
                                                   policy::execution::no,
                                                   "send the call to another node",
                                                   {},
                                                   false}});
        return;
    }
    auto request = std::make_unique<served_exchange>(*this, from, received);
    served_exchange* raw = request.get();
    m_server(std::move(request),
             {received.request.remaining, [raw](const policy::refusal& why) { raw->refuse(why); },
              received.request.software_version, received.request.account,
              [raw](policy::software_version_key version) { raw->set_version(version); },
              received.request.config_version, received.request.service});
}

/// The first body always fits.
bool peer_calls::has_room_for(std::size_t body) const
{
    return m_served_body_bytes == 0 || m_served_body_bytes + body <= m_limits.served_bodies.count;
}

void peer_calls::on_message(const wire::peer_identity& from, const wire::message& received)
{
    if (const auto* what = std::get_if<wire::call>(&received))
    {
        serve(from, *what);
        return;
    }
    if (const auto* what = std::get_if<wire::cancel>(&received))
    {
        const auto found = m_served.find({from.node, what->number});
        if (found != m_served.end())
            found->second->on_cancel();
        return;
    }
    const core::call_number number = std::visit(
        [](const auto& each)
        {
            if constexpr (requires { core::call_number{each.number}; })
                return each.number;
            else
                return core::call_number{0};
        },
        received);
    const auto found = m_pending.find(number);
    if (found != m_pending.end() && found->second->peer() == from.node.address)
        found->second->deliver(received);
}

void peer_calls::on_call_sent(core::call_number number, wire::connection_number by)
{
    const auto found = m_pending.find(number);
    if (found != m_pending.end())
        found->second->on_sent(by);
}

void peer_calls::on_connection_lost(wire::connection_number lost)
{
    for (const auto& [number, waiting] : m_pending)
    {
        if (waiting->connection() == lost)
            waiting->on_connection_lost();
    }
    std::vector<served_exchange*> cancelled;
    for (const auto& [key, each] : m_served)
    {
        if (each->from().connection == lost)
            cancelled.push_back(each);
    }
    for (served_exchange* each : cancelled)
    {
        each->on_cancel();
    }
}

void peer_calls::on_call_dropped(const core::address& peer, core::call_number number,
                                 wire::drop_cause cause)
{
    const auto found = m_pending.find(number);
    if (found != m_pending.end() && found->second->peer() == peer)
        found->second->on_call_dropped(cause);
}

} // namespace snipeplank::serving
