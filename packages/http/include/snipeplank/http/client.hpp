/// @file
/// Event-driven HTTP/1.1 client connection and a pool of idle connections.

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
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::http
{

/// @brief Consecutive bytes of an answer's body, as they were read.
struct body_chunk
{
    std::string data;
    bool is_last = false;              ///< the body is complete
    bool ends_with_connection = false; ///< only the end of the connection shows that it is
};

/// @brief A connection to a server that carries one request at a time. Not thread-safe; used on the
/// thread of its event loop.
///
/// `close` may be called at any time; pending operations then fail at once. The object must outlive
/// the operations on it.
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

    /// @brief When the connection was opened.
    core::time_point opened_at() const;

    /// @brief When the user of the connection last made sure who serves it; nothing if it never
    /// did. Kept while the connection is idle.
    std::optional<core::time_point> verified_at() const;
    void set_verified_at(core::time_point when);

    /// @brief A time after which all bytes of the latest read arrived; nothing when some may have
    /// waited for the read, or when this was not looked at. It is looked at every
    /// `arrival_check_interval`.
    std::optional<core::time_point> arrived_after() const;
    static constexpr core::milliseconds arrival_check_interval{100};

    /// @brief Starts to send a request and returns at once. The body is sent while `read_head`
    /// waits, because a server may answer before it has read the whole request.
    /// @param body must stay as it is until the answer is read or the connection is closed
    /// @return `message_invalid` if the head cannot be written; nothing is sent then
    core::result<void> send(const request_head& head, const std::string& body);
    core::result<void> send(const request_head& head, std::string&& body) = delete;

    /// @brief Reads the next final response head; interim responses (1xx) are skipped.
    boost::asio::awaitable<core::result<response_head>> read_head();

    /// @brief Reads the next chunk of the body; called after `read_head`.
    ///
    /// A body of unspecified length is complete once the server closes the connection cleanly; a
    /// reset is an error.
    boost::asio::awaitable<core::result<body_chunk>> read_chunk();

    /// @brief Closes the connection after `limit`; operations that are pending then fail.
    void expire_after(core::milliseconds limit);

    /// @brief Cancels the timeout of `expire_after`.
    void stop_timer();

    /// @brief Whether any byte of a request may have been written to the socket.
    bool has_written() const;

    /// @brief Whether the answer is complete and the connection can carry another request.
    bool is_reusable() const;

    /// @brief Whether an idle connection was closed by the server or has unexpected bytes to read.
    bool is_stale() const;

    void close();

  private:
    class state;
    std::shared_ptr<state> m_state;
};

/// @brief Idle connections by server.
///
/// A connection is reused only within half of the server's keep-alive timeout: whether a request is
/// executed is unknown when it is sent on a connection that the server is closing.
class connection_pool
{
  public:
    using owned = std::unique_ptr<client_connection>;

    explicit connection_pool(boost::asio::io_context& loop) : m_loop(loop) {}

    /// @brief Removes and returns the most recently used connection to a server that is not stale,
    /// or null.
    /// @param max_idle connections that were idle for longer are not returned
    owned take(const core::address& server, core::time_point now,
               core::duration max_idle = core::duration::max());

    /// @brief Creates a connection that is not connected yet.
    owned create(const core::address& server);

    /// @brief Stores a reusable connection; any other is closed.
    /// @param keep_alive_timeout how long the server keeps an idle connection open
    void put(owned used, core::milliseconds keep_alive_timeout, core::time_point now);

    /// @brief Closes the idle connections to a server.
    void drop(const core::address& server) { m_idle.erase(server); }

    /// @brief Closes connections that are stale or past their reuse time. O(connections).
    void sweep(core::time_point now);

    std::size_t size() const;

  private:
    struct idle_connection
    {
        owned connection;
        core::time_point idle_since;
        core::time_point reusable_until;
    };

    boost::asio::io_context& m_loop;
    std::map<core::address, std::vector<idle_connection>> m_idle;
};

} // namespace snipeplank::http

#endif
