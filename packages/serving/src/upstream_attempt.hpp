/// @file
/// An attempt at an upstream of the own region.

#ifndef SNIPEPLANK_SERVING_SRC_UPSTREAM_ATTEMPT_HPP
#define SNIPEPLANK_SERVING_SRC_UPSTREAM_ATTEMPT_HPP

#include <snipeplank/serving/placement.hpp>

#include <functional>
#include <memory>
#include <string>

#include "attempt.hpp"
#include "process_check.hpp"

namespace snipeplank::serving
{

/// @brief Dependencies and parameters of an attempt at an upstream.
struct upstream_attempt_parts
{
    http::connection_pool& pool;
    const upstream_protocol& protocol;
    const http::request_head& request;
    const std::string& body;
    std::string request_id;
    upstream target;
    std::function<core::milliseconds()> remaining; ///< time until the deadline
    /// Called right before the first byte is sent.
    std::function<admission(policy::connection_record&)> admit;
    /// Called when bytes were read on a connection, with a time after which they arrived.
    std::function<void(const policy::connection_record&, core::time_point)> on_received;
    /// Called with the time that a check took.
    std::function<void(core::duration)> on_checked;
    process_check check;
    bool may_retry = false; ///< the request may be sent again if its connection is lost
    unsigned priority = 5;
    std::string last_event_id;
    std::optional<core::account_id> account; ///< see `send_options`
};

/// @brief Sends one request to one upstream.
class upstream_attempt final : public attempt
{
  public:
    explicit upstream_attempt(upstream_attempt_parts parts);

    boost::asio::awaitable<attempt_start> start() override;
    boost::asio::awaitable<core::result<http::body_chunk>> next() override;
    void cancel() override;
    void finish() override;

  private:
    boost::asio::awaitable<bool> open(attempt_start& result);
    boost::asio::awaitable<bool> open_admitted(attempt_start& result);
    boost::asio::awaitable<admission> admit(bool& has_lost_connection);
    void record_received();
    core::result<void> send(core::milliseconds remaining);
    boost::asio::awaitable<void> read_answer(attempt_start& result);

    upstream_attempt_parts m_parts;
    http::connection_pool::owned m_link;
    policy::connection_record m_record; ///< of the connection
    core::milliseconds m_idle_time{0};
    bool m_is_reused = false; ///< the connection carried another request before
    bool m_is_reusable = true;
    bool m_is_cancelled = false;
};

} // namespace snipeplank::serving

#endif
