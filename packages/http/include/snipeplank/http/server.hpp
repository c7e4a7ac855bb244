/// @file
/// Event-driven HTTP/1.1 server: one coroutine per connection on a given event loop.

#ifndef SNIPEPLANK_HTTP_SERVER_HPP
#define SNIPEPLANK_HTTP_SERVER_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace snipeplank::http
{

/// Status of a refusal that proves that the request was not executed.
constexpr int service_unavailable = 503;

/// @brief Limits on the size of requests, the time that a client takes, and open connections.
struct server_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    core::milliseconds header_timeout{3'000}; ///< from the first byte to the end of the header
    core::milliseconds idle_timeout{15'000};  ///< between requests, and between parts of a body
    core::milliseconds body_timeout{60'000};  ///< from the end of the header to the end of the body
    core::milliseconds write_timeout{10'000}; ///< of 64 KB or the rest of a write to the client
    std::size_t connections = 3'000;          ///< requests on further ones are refused with 503
    /// Heads and bodies of all requests that are being read or answered; one beyond is refused with
    /// 503.
    std::size_t all_body_bytes = 67'108'864;
};

/// @brief A complete answer.
struct response
{
    response_head head; ///< without framing fields (length, transfer coding), which the server adds
    std::string body;
};

/// @brief One request and the answer to it.
///
/// The answer is sent either by one call of `send`, or by `begin`, any number of `write` and then
/// `finish` or `abort`. Every function that writes returns false once the connection is lost.
class exchange
{
  public:
    virtual ~exchange() = default;

    virtual const request_head& head() const = 0;
    virtual const std::string& body() const = 0;

    /// @brief When the first byte of the request became readable.
    virtual core::time_point received_at() const = 0;

    virtual boost::asio::awaitable<bool> send(response answer) = 0;

    /// @brief Starts an answer of unknown length, sent in the chunked transfer coding.
    virtual boost::asio::awaitable<bool> begin(response_head head) = 0;
    /// @param data must stay as it is until the write has ended
    virtual boost::asio::awaitable<bool> write(std::string_view data) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// @brief Closes the connection, so that the client sees an incomplete answer.
    virtual void abort() = 0;

    /// @brief Whether sending the answer has begun.
    virtual bool has_begun() const = 0;

    /// @brief Calls `action` once if the client disconnects before the answer is finished.
    virtual void on_client_disconnected(std::function<void()> action) = 0;
};

/// @brief Answers requests. The connection is closed when `handle` returns without having finished
/// the answer.
class request_handler
{
  public:
    virtual ~request_handler() = default;

    /// @brief Limits for the next request.
    virtual server_limits limits() const { return {}; }

    virtual boost::asio::awaitable<void> handle(exchange& request) = 0;

    /// @brief Returns the answer to a request that violates the protocol or the limits.
    virtual response reject(int status, std::string_view why);
};

/// @brief Listens on one address. Not thread-safe; used on the thread of its event loop.
class server
{
  public:
    /// @param handler outlives the server
    server(boost::asio::io_context& loop, request_handler& handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @brief Binds and starts to accept.
    /// @return the bound address, or `connection_failed`
    core::result<core::address> listen(const core::address& where);

    /// @brief Stops listening after `handshake_time`; open connections are kept, and each that the
    /// kernel has opened until then is served.
    void close_listener();

    /// @brief Whether connections are still accepted.
    bool is_listening() const;

    /// @brief Closes each connection after its next answer, and idle connections after `grace`.
    void begin_closing(core::milliseconds grace);

    /// @brief Closes the connections without a request that waits, is being read or is being
    /// answered; the others are closed after their answer.
    void close_idle();

    /// @brief Whether `begin_closing` was called. Thread-safe.
    bool is_closing() const;

    /// @brief Number of requests that are being answered.
    std::size_t active() const;

    /// @brief Number of open connections.
    std::size_t connections() const;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace snipeplank::http

#endif
