/// @file
/// Event-driven HTTP/1.1 client connection and a pool of kept ones.

#ifndef SNIPEPLANK_HTTP_CLIENT_HPP
#define SNIPEPLANK_HTTP_CLIENT_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::http
{

/// @brief A piece of an answer's body.
struct body_chunk
{
    std::string data;
    bool is_last = false; ///< the body is whole
};

/// @brief One connection to a server; one request at a time. Lives on one event loop.
///
/// `close` may be called at any moment; operations that wait then fail at once. The object must
/// outlive the operations on it.
class client_connection
{
  public:
    /// @param loop outlives the connection
    client_connection(boost::asio::io_context& loop, core::address server);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    const core::address& server() const;

    boost::asio::awaitable<core::result<void>> connect(core::milliseconds limit);

    /// @brief Starts to send a request. Its body is sent while the answer is awaited, because a
    /// server may answer before it has read everything.
    void send(const request_head& head, const std::string& body);

    /// @brief The next response head, interim responses left out.
    boost::asio::awaitable<core::result<response_head>> read_head();

    /// @brief The next piece of the body after `read_head`.
    ///
    /// A body without a length ends with a clean close of the connection; a reset breaks it.
    boost::asio::awaitable<core::result<body_chunk>> read_chunk();

    /// @brief Bounds all waiting from now on; an operation that exceeds it fails.
    void expire_after(core::milliseconds limit);

    /// @brief Lifts the bound of `expire_after`.
    void stop_timer();

    /// @brief Whether any byte of the request may have reached a socket.
    bool has_written() const;

    /// @brief Whether the answer is whole and the connection can carry another request.
    bool is_reusable() const;

    /// @brief Whether an idle connection has been closed or has bytes that nobody asked for.
    bool is_stale() const;

    void close();

  private:
    class state;
    std::shared_ptr<state> m_state;
};

/// @brief Kept connections by server.
///
/// A connection is given out only while it has been idle for a part of what the server keeps it
/// open, since a request on a connection that the server is closing may or may not run.
class connection_pool
{
  public:
    using owned = std::unique_ptr<client_connection>;

    explicit connection_pool(boost::asio::io_context& loop) : m_loop(loop) {}

    /// @brief The most recently used good connection to a server, or nothing.
    /// @param max_idle one that was idle for longer is not given out
    owned take(const core::address& server, core::time_point now,
               core::duration max_idle = core::duration::max());

    /// @brief A new connection that is not yet open.
    owned create(const core::address& server);

    /// @brief Keeps a reusable connection; any other is closed.
    /// @param idle_time what the server keeps an idle connection open
    void put(owned used, core::milliseconds idle_time, core::time_point now);

    /// @brief Closes the kept connections to a server.
    void drop(const core::address& server) { m_idle.erase(server); }

    /// @brief Closes connections that have become too old. O(connections).
    void sweep(core::time_point now);

    std::size_t size() const;

  private:
    struct idle_connection
    {
        owned link;
        core::time_point idle_since;
        core::time_point good_until;
    };

    boost::asio::io_context& m_loop;
    std::map<core::address, std::vector<idle_connection>> m_idle;
};

} // namespace snipeplank::http

#endif
