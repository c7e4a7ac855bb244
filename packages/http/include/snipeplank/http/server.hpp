/// @file
/// Event-driven HTTP/1.1 server: one coroutine per connection on the caller's event loop.

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

/// @brief What a client may send and how long it may take.
struct server_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    core::milliseconds header_timeout{3'000}; ///< from the first byte to the end of the header
    core::milliseconds idle_time{15'000};     ///< without a request on a kept connection
    core::milliseconds write_timeout{
        10'000}; ///< longest time that one write may wait for the client
    std::size_t connections = 3'000;
};

/// @brief A whole answer.
struct response
{
    response_head head; ///< without framing fields, which the server adds
    std::string body;
};

/// @brief One request and the answer to it.
///
/// Either `send` gives the whole answer, or `begin`, any number of `write` and then `finish` or
/// `abort` do. Every function that writes returns false once the connection is lost.
class exchange
{
  public:
    virtual ~exchange() = default;

    virtual const request_head& head() const = 0;
    virtual const std::string& body() const = 0;

    /// @brief When the first byte of the request was seen.
    virtual core::time_point received_at() const = 0;

    virtual boost::asio::awaitable<bool> send(response answer) = 0;

    /// @brief Starts an answer of unknown length, sent in chunks.
    virtual boost::asio::awaitable<bool> begin(response_head head) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view data) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// @brief Ends the connection so that the answer cannot look complete.
    virtual void abort() = 0;

    /// @brief Whether any byte of an answer was written.
    virtual bool has_begun() const = 0;

    /// @brief Calls `action` once if the client closes before the answer is finished.
    virtual void on_client_disconnected(std::function<void()> action) = 0;
};

/// @brief Answers requests. An answer that is not given is a failure: the connection is ended.
class request_handler
{
  public:
    virtual ~request_handler() = default;

    /// @brief Limits for the next request.
    virtual server_limits limits() const { return {}; }

    virtual boost::asio::awaitable<void> handle(exchange& request) = 0;

    /// @brief Answer to a request that breaks the protocol or the limits.
    virtual response reject(int status, std::string_view why);
};

/// @brief Listens on one address. Not thread-safe; lives on one event loop.
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

    /// @brief Accepts no more; open connections go on.
    void close_listener();

    /// @brief Ends kept connections after their current answer, and idle ones after `grace`.
    void begin_closing(core::milliseconds grace);

    /// @brief Closes the connections on which no request is waiting or being answered; the others
    /// are closed after their answer.
    void close_idle();

    /// @brief Whether `begin_closing` was called; may be asked from any thread.
    bool is_closing() const;

    /// @brief Requests that are being answered.
    std::size_t active() const;

    /// @brief Open connections.
    std::size_t connections() const;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace snipeplank::http

#endif
