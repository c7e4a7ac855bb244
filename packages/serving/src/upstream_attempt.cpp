#include "upstream_attempt.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "answer_body.hpp"
#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// Upstreams are in the own region, a few milliseconds away; a longer delay means that the host is
/// down or cut off.
constexpr core::milliseconds connect_timeout{400};

/// An upstream stops at the deadline that it was sent; its answer arrives a little later.
constexpr core::milliseconds answer_slack{300};

/// Upstreams may drop idle connections without notice. A request that may run only once could not
/// be retried then, so it uses a recently used connection or a new one.
constexpr core::milliseconds max_idle_when_not_retryable{500};

/// An upstream may first send a duplicate answer to an earlier request.
constexpr int max_mismatched_answers = 2;

/// Why a request was not sent, for the log.
std::string to_string(admission admitted)
{
    switch (admitted)
    {
    case admission::granted:
        return "granted";
    case admission::out_of_service:
        return "out_of_service";
    case admission::throttled:
        return "throttled";
    case admission::cold:
        return "cold";
    case admission::unverified:
        return "unverified";
    }
    return "unknown";
}

bool is_refusal(answer_kind kind)
{
    return kind == answer_kind::not_run || kind == answer_kind::wrong_server;
}

} // namespace

upstream_attempt::upstream_attempt(upstream_attempt_parts parts) : m_parts(std::move(parts)) {}

asio::awaitable<bool> upstream_attempt::open(attempt_start& result)
{
    const core::duration max_idle =
        m_parts.may_retry ? core::duration::max() : core::duration(max_idle_when_not_retryable);
    m_link = m_parts.pool.take(m_parts.target.address, now(), max_idle);
    m_is_reused = m_link != nullptr;
    if (m_is_reused)
        co_return true;
    m_link = m_parts.pool.create(m_parts.target.address);
    const auto connected = co_await m_link->connect(std::min(connect_timeout, m_parts.remaining()));
    if (connected && !m_is_cancelled)
        co_return true;
    result.is_unreachable = !m_is_cancelled;
    result.is_closed = result.is_unreachable && !connected &&
                       connected.error().code != core::error_code::upstream_timeout;
    result.cause = connected ? "cancelled" : connected.error().message;
    co_return false;
}

/// Opens a connection on which the request may be sent, a second one if the upstream ends the first
/// after it has said that it is the expected one.
asio::awaitable<bool> upstream_attempt::open_admitted(attempt_start& result)
{
    bool has_lost_connection = false;
    do
    {
        if (!co_await open(result))
            co_return false;
        const admission admitted = co_await admit(has_lost_connection);
        if (admitted == admission::granted)
            co_return true;
        result.cause = to_string(admitted);
    } while (std::exchange(has_lost_connection, false) && !m_is_cancelled);
    co_return false;
}

asio::awaitable<admission> upstream_attempt::admit(bool& has_lost_connection)
{
    const core::time_point began = now();
    policy::connection_record record{m_link->opened_at(), m_link->verified_at()};
    admission admitted = m_parts.admit(record);
    check_end checked = check_end::ask_again;
    while (admitted == admission::unverified && checked == check_end::ask_again)
    {
        checked = co_await m_parts.check.run(*m_link, record, m_parts.remaining());
        if (checked == check_end::ask_again)
            admitted = m_parts.admit(record);
    }
    m_parts.on_checked(now() - began);
    m_is_reused = m_is_reused || m_parts.check.has_asked();
    has_lost_connection = checked == check_end::lost_connection;
    m_record = record;
    if (record.proven_at)
        m_link->set_verified_at(*record.proven_at);
    if (admitted == admission::unverified && m_link->is_reusable())
        m_parts.pool.put(std::move(m_link), m_parts.check.idle_time(), now());
    co_return admitted;
}

core::result<void> upstream_attempt::send(core::milliseconds remaining)
{
    const send_options options{&m_parts.target, remaining, m_parts.priority, m_parts.last_event_id,
                               m_parts.account};
    return m_link->send(m_parts.protocol.compose(m_parts.request, m_parts.body.size(), options),
                        m_parts.body);
}

asio::awaitable<attempt_start> upstream_attempt::start()
{
    attempt_start result;
    if (!co_await open_admitted(result))
        co_return result;
    const core::milliseconds remaining = m_parts.remaining();
    if (remaining.count() <= 0)
    {
        result.cause = "the deadline has passed";
        co_return result;
    }
    m_link->expire_after(remaining + answer_slack);
    if (const auto sent = send(remaining); !sent)
    {
        result.cause = sent.error().message;
        co_return result;
    }
    result.was_sent = true;
    co_await read_answer(result);
    co_return result;
}

asio::awaitable<void> upstream_attempt::read_answer(attempt_start& result)
{
    for (int mismatched = 0; mismatched <= max_mismatched_answers; ++mismatched)
    {
        auto head = co_await m_link->read_head();
        if (!head)
        {
            result.kind = answer_kind::broken;
            result.cause = head.error().message;
            co_return;
        }
        record_received();
        const upstream_answer_head read = m_parts.protocol.read(head.value(), m_parts.request_id);
        if (is_refusal(read.kind) && m_is_reused && !read.names_request)
        {
            result.cause = "a refusal that may belong to an earlier request";
            co_return;
        }
        result.kind = read.kind;
        if (read.kind != answer_kind::mismatched)
        {
            m_idle_time = read.idle_time;
            m_is_reusable = !read.closes_connection;
            result.said = read.said;
            result.head = std::move(head.value());
            co_return;
        }
        m_is_reusable = false;
        const auto dropped = co_await drop_body(*m_link);
        if (!dropped)
        {
            result.cause = dropped.error().message;
            co_return;
        }
    }
    result.cause = "answers to other requests only";
}

asio::awaitable<core::result<http::body_chunk>> upstream_attempt::next()
{
    auto chunk = co_await m_link->read_chunk();
    if (chunk)
        record_received();
    co_return chunk;
}

void upstream_attempt::record_received()
{
    if (const auto arrived_after = m_link->arrived_after())
        m_parts.on_received(m_record, *arrived_after);
}

void upstream_attempt::cancel()
{
    m_is_cancelled = true;
    m_parts.check.cancel();
    if (m_link)
        m_link->close();
}

void upstream_attempt::finish()
{
    if (m_link && m_is_reusable)
        m_parts.pool.put(std::move(m_link), m_idle_time, now());
    m_link.reset();
}

} // namespace snipeplank::serving
