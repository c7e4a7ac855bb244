/// @file
/// An accepted connection: reads requests one after the other and writes their answers.

#ifndef SNIPEPLANK_HTTP_SRC_CONNECTION_HPP
#define SNIPEPLANK_HTTP_SRC_CONNECTION_HPP

#include <snipeplank/http/server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipeplank::http
{

/// @brief State of one client connection; it is the `exchange` of its current request.
class connection final : public exchange, public std::enable_shared_from_this<connection>
{
  public:
    /// @param all_body_bytes sum of the requests that all connections of the server hold
    connection(boost::asio::ip::tcp::socket socket, request_handler& handler,
               std::shared_ptr<std::size_t> all_body_bytes);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @brief Serves requests until the connection is closed.
    boost::asio::awaitable<void> run();

    /// @brief Closes the connection at once if it is idle, otherwise after the answer that
    /// announces it, or soon after the current one. A new one has a moment for its first request.
    void close_when_idle();

    /// @brief Adds `Connection: close` to the next answer.
    void announce_close() { m_close_after = true; }

    /// @brief Refuses the request of this connection, which is beyond the limit.
    /// @param admit returns whether the connection is within the limit when its request has arrived
    void refuse_requests(std::function<bool()> admit) { m_admit = std::move(admit); }

    bool is_refusing() const { return m_admit != nullptr; }

    bool is_active() const { return m_is_active; }

    const request_head& head() const override { return m_head; }
    const std::string& body() const override { return m_body; }
    core::time_point received_at() const override { return m_received_at; }
    boost::asio::awaitable<bool> send(response answer) override;
    boost::asio::awaitable<bool> begin(response_head head) override;
    boost::asio::awaitable<bool> write(std::string_view data) override;
    boost::asio::awaitable<bool> finish() override;
    void abort() override;
    bool has_begun() const override { return m_has_begun; }
    void on_client_disconnected(std::function<void()> action) override;

  private:
    /// What the watchdog does when its time has passed.
    enum class watchdog_action
    {
        close,
        cancel_read, ///< the pending read fails, so that the request can be refused
        check_idle,  ///< close, unless a request has arrived or the idle timeout has grown
    };

    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<boost::system::error_code> read_body(parser_type& parser,
                                                                const server_limits& limits);
    boost::asio::awaitable<bool> wait_first_byte();
    boost::asio::awaitable<void> answer_request();
    boost::asio::awaitable<void> reject(const boost::system::error_code& error);
    boost::asio::awaitable<void> refuse_request(int status, std::string why);
    boost::asio::awaitable<void> drop_rest();
    boost::asio::awaitable<bool> write_text(std::string text);
    boost::asio::awaitable<bool> write_framed(std::string_view before, std::string_view data,
                                              std::string_view after);
    bool hold_request(std::size_t body, const server_limits& limits);
    void take_head(const parser_type& parser);
    void release_request();
    bool has_client_left();
    void watch_client();
    void notify_client_disconnected();
    void start_watchdog(core::milliseconds limit, watchdog_action action = watchdog_action::close);
    void stop_watchdog();
    void on_watchdog(watchdog_action action);
    bool may_stay_idle();
    bool may_read_on(watchdog_action action);
    bool may_read_request() const;
    core::milliseconds idle_limit() const;
    std::optional<std::string> announce_idle_timeout();
    bool has_unread_bytes();
    void close_socket();
    core::result<std::string> frame_head(response_head head, std::optional<std::size_t> length);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_watchdog;
    request_handler& m_handler;
    std::shared_ptr<std::size_t> m_all_body_bytes;
    std::size_t m_head_bytes = 0;      ///< of the current request
    std::size_t m_held_body_bytes = 0; ///< of its head and body, counted in `m_all_body_bytes`
    boost::beast::flat_buffer m_buffer;
    request_head m_head;
    std::string m_body;
    core::time_point m_received_at{};
    core::time_point m_idle_since{};
    core::milliseconds m_promised_idle_timeout{0}; ///< in force when the last answer began
    std::function<void()> m_on_client_disconnected;
    std::function<bool()> m_admit; ///< set while requests are refused
    /// Identifies the current timer; the handler of an earlier one does nothing.
    std::uint64_t m_watchdog_generation = 0;
    bool m_is_active = false;        ///< a complete request is being answered
    bool m_is_idle = false;          ///< waiting for the first byte of a request
    bool m_has_read_request = false; ///< at least one
    bool m_has_begun = false;
    bool m_is_finished = false;
    bool m_has_head_only = false; ///< the current answer has no body
    bool m_is_disconnected = false;
    bool m_has_read_timeout = false; ///< the watchdog cancelled the read of a body
    bool m_has_looked_again = false; ///< for a request whose time to be read has passed
    bool m_is_closing = false;
    bool m_close_after = false;
    bool m_keep_alive = true;
    bool m_is_watching_client = false;
    bool m_chunked = false; ///< the client supports the chunked transfer coding (HTTP/1.1)
};

} // namespace snipeplank::http

#endif
