#include "process_check.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include "answer_body.hpp"
#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

constexpr core::milliseconds wait_step{10};
/// Questions of one attempt. A second one is needed if the node stood still during the first.
constexpr int max_questions = 2;
/// An attempt waits this long for the answer that another one gets.
constexpr core::milliseconds max_wait = policy::process_proof::verification_time;

} // namespace

asio::awaitable<check_end> process_check::run(http::client_connection& over,
                                              policy::connection_record& record,
                                              core::milliseconds remaining)
{
    if (m_questions == max_questions || remaining.count() <= 0)
        co_return check_end::gave_up;
    if (m_parts.path.empty())
    {
        m_parts.places.on_unverified(m_parts.target.id, false, now());
        co_return check_end::gave_up;
    }
    switch (m_parts.places.begin_verification(m_parts.target.id, now()))
    {
    case policy::verification_turn::own:
        co_return co_await ask(over, record,
                               std::min(policy::process_proof::verification_time, remaining));
    case policy::verification_turn::others:
        co_return co_await wait(over);
    case policy::verification_turn::not_now:
        break;
    }
    co_return check_end::gave_up;
}

asio::awaitable<check_end> process_check::wait(http::client_connection& over)
{
    asio::steady_timer timer(m_parts.loop, wait_step);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_waited += wait_step;
    co_return m_waited < max_wait && !over.is_stale() ? check_end::ask_again : check_end::gave_up;
}

asio::awaitable<check_end> process_check::ask(http::client_connection& over,
                                              policy::connection_record& record,
                                              core::milliseconds limit)
{
    const core::time_point asked_at = now();
    const process_answer answer = co_await exchange(over, record, limit);
    m_idle_time = answer.idle_time;
    const bool is_usable = over.is_reusable() && !answer.is_mismatched;
    if (!is_usable)
        over.close();
    const bool had_its_time = limit >= policy::process_proof::verification_time;
    if (!answer.is_of_target && (m_is_cancelled || !had_its_time))
    {
        m_parts.places.on_verification_cancelled(m_parts.target.id);
        co_return check_end::gave_up;
    }
    if (!answer.is_of_target)
    {
        m_parts.statistics.count_verification(verification_result::no_answer);
        m_parts.places.on_unverified(m_parts.target.id, is_usable, now());
        co_return check_end::gave_up;
    }
    m_parts.statistics.count_verification(answer.cold_for.count() > 0 ? verification_result::cold
                                                                      : verification_result::warm);
    m_parts.places.on_verified(m_parts.target.id, answer.cold_for, asked_at, record, now());
    co_return is_usable ? check_end::ask_again : check_end::lost_connection;
}

/// An answer counts only when it is whole.
asio::awaitable<process_answer> process_check::exchange(http::client_connection& over,
                                                        const policy::connection_record& record,
                                                        core::milliseconds limit)
{
    ++m_questions;
    over.expire_after(limit);
    const std::string no_body;
    if (!over.send(m_parts.protocol.ask_process(m_parts.target, m_parts.path, limit), no_body))
        co_return process_answer{};
    const auto head = co_await over.read_head();
    if (!head)
        co_return process_answer{};
    if (const auto arrived_after = over.arrived_after())
        m_parts.places.on_received(m_parts.target.id, record, *arrived_after, now());
    const auto dropped = co_await drop_body(over);
    over.stop_timer();
    if (!dropped)
        co_return process_answer{};
    co_return m_parts.protocol.read_process(head.value(), m_parts.target);
}

} // namespace snipeplank::serving
