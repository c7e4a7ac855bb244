/// @file
/// Asks the process behind an open connection which one it is, before a request is sent there.

#ifndef SNIPEPLANK_SERVING_SRC_PROCESS_CHECK_HPP
#define SNIPEPLANK_SERVING_SRC_PROCESS_CHECK_HPP

#include <snipeplank/http/client.hpp>
#include <snipeplank/policy/process_proof.hpp>
#include <snipeplank/serving/placement.hpp>
#include <snipeplank/serving/protocols.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

#include "call_statistics.hpp"

namespace snipeplank::serving
{

/// @brief Dependencies and parameters of a check. The references outlive it.
struct process_check_parts
{
    boost::asio::io_context& loop;
    placement& places;
    const upstream_protocol& protocol;
    call_statistics& statistics;
    upstream target;
    std::string path; ///< of the service's health check
};

/// @brief How a check ended.
enum class check_end
{
    ask_again,       ///< more is known now
    lost_connection, ///< more is known, but this connection carries no other request
    gave_up,         ///< nothing more will be known soon
};

/// @brief Checks the process behind a connection to one upstream. The attempts of a node ask an
/// upstream once at a time; the others wait for what the answer tells.
class process_check
{
  public:
    explicit process_check(process_check_parts parts) : m_parts(std::move(parts)) {}

    /// @brief Asks the process, or waits a moment for the answer that another attempt gets.
    /// @param record of the connection; becomes proven when the process says that it is warm
    /// @param remaining of the request
    boost::asio::awaitable<check_end> run(http::client_connection& over,
                                          policy::connection_record& record,
                                          core::milliseconds remaining);

    /// @brief Records that the request has been given up; a question that is under way says
    /// nothing.
    void cancel() { m_is_cancelled = true; }

    /// @brief Whether the connection carried a question, so that an answer to it may come again.
    bool has_asked() const { return m_questions > 0; }

    /// @brief How long the upstream keeps the connection open, by its answer.
    core::milliseconds idle_time() const { return m_idle_time; }

  private:
    boost::asio::awaitable<check_end>
    ask(http::client_connection& over, policy::connection_record& record, core::milliseconds limit);
    boost::asio::awaitable<process_answer> exchange(http::client_connection& over,
                                                    const policy::connection_record& record,
                                                    core::milliseconds limit);
    boost::asio::awaitable<check_end> wait(http::client_connection& over);

    process_check_parts m_parts;
    core::milliseconds m_idle_time{0};
    core::duration m_waited{0};
    int m_questions = 0;
    bool m_is_cancelled = false;
};

} // namespace snipeplank::serving

#endif
