#include "connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include "endpoint.hpp"

namespace snipeplank::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Largest part of a request, besides its head, that is parsed as a unit: a chunk header or the
/// trailers.
constexpr std::size_t max_buffered_bytes = 131'072;
/// Buffer that a connection keeps between requests; a larger one grew for a body.
constexpr std::size_t max_idle_buffer_bytes = 8'192;
/// What is read and dropped of a refused request before its connection is closed.
constexpr std::size_t max_dropped_bytes = 5'242'880;
/// Part of an answer that a client has to take within the write timeout.
constexpr std::size_t max_written_bytes = 65'536;
/// A client whose answer could not announce the end of the connection may use it once more.
constexpr core::milliseconds last_request_wait{100};

/// A client that is told an idle timeout is told this much less, so that its last request on the
/// connection does not cross the close.
constexpr core::seconds idle_timeout_margin{1};

constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int payload_too_large = 413;
constexpr int header_too_large = 431;
constexpr int internal_error = 500;
constexpr int not_implemented = 501;

/// Returns a completion token that stores the error of an operation instead of throwing it.
auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

bool has_at_most_one_host(const header_list& headers)
{
    return std::count_if(headers.begin(), headers.end(),
                         [](const auto& field) { return same_name(field.first, "Host"); }) <= 1;
}

bool has_unsupported_coding(const header_list& headers)
{
    const auto coding = find_header(headers, "Transfer-Encoding");
    return coding && !same_name(*coding, "chunked");
}

/// Whether answers with this status end with their head (RFC 9112, 6.3).
bool is_status_without_body(int status)
{
    return status == no_content || status == not_modified;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, request_handler& handler,
                       std::shared_ptr<std::size_t> all_body_bytes)
    : m_socket(std::move(socket)), m_watchdog(m_socket.get_executor()), m_handler(handler),
      m_all_body_bytes(std::move(all_body_bytes))
{
    set_connection_options(m_socket);
}

connection::~connection()
{
    *m_all_body_bytes -= m_held_body_bytes;
}

/// Counts the head and the body of the current request.
/// @return false if the server holds more than its limit; the first request always fits
bool connection::hold_request(std::size_t body, const server_limits& limits)
{
    const std::size_t bytes = m_head_bytes + body;
    *m_all_body_bytes += bytes;
    *m_all_body_bytes -= std::exchange(m_held_body_bytes, bytes);
    return *m_all_body_bytes <= limits.all_body_bytes || *m_all_body_bytes == m_held_body_bytes;
}

asio::awaitable<void> connection::run()
{
    const auto self = shared_from_this();
    while (may_read_request())
    {
        if (!co_await read_request())
            break;
        m_has_read_request = true;
        if (m_admit && m_admit())
            m_admit = nullptr;
        if (is_refusing())
        {
            co_await refuse_request(service_unavailable, "too many connections");
            break;
        }
        m_is_active = true;
        co_await answer_request();
        m_is_active = false;
        release_request();
        if (!m_is_finished)
            abort();
    }
    stop_watchdog();
    close_socket();
}

/// A closing connection still waits for a request: the answer before it may have begun before it
/// could announce the end of the connection.
bool connection::may_read_request() const
{
    return !m_is_disconnected && m_keep_alive;
}

/// A limit that the client was told holds for this connection, also after a shorter one is in
/// force.
core::milliseconds connection::idle_limit() const
{
    const core::milliseconds usual =
        std::max(m_handler.limits().idle_timeout, m_promised_idle_timeout);
    return m_is_closing ? std::min(usual, last_request_wait) : usual;
}

/// The idle timeout that the client is told, in whole seconds; nothing if it is too short for that.
std::optional<std::string> connection::announce_idle_timeout()
{
    m_promised_idle_timeout = m_handler.limits().idle_timeout;
    const auto announced =
        std::chrono::floor<core::seconds>(m_promised_idle_timeout) - idle_timeout_margin;
    if (announced.count() <= 0)
        return std::nullopt;
    return "timeout=" + std::to_string(announced.count());
}

/// Whether bytes of a request have arrived that were not parsed yet.
bool connection::has_unread_bytes()
{
    return m_buffer.size() > 0 || has_arrived_bytes(m_socket);
}

void connection::close_when_idle()
{
    m_is_closing = true;
    if (!m_is_idle || has_unread_bytes())
        return;
    // The first request of a new connection may be on its way.
    if (!m_has_read_request && may_stay_idle())
        return;
    close_socket();
}

asio::awaitable<bool> connection::wait_first_byte()
{
    if (m_buffer.size() > 0)
        co_return true;
    error_code error;
    m_idle_since = std::chrono::steady_clock::now();
    start_watchdog(idle_limit(), watchdog_action::check_idle);
    m_is_idle = true;
    co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, into(error));
    m_is_idle = false;
    stop_watchdog();
    co_return !error && !m_is_disconnected;
}

asio::awaitable<bool> connection::read_request()
{
    if (!co_await wait_first_byte())
        co_return false;
    const server_limits limits = m_handler.limits();
    m_buffer.max_size(std::max(limits.header_bytes, max_buffered_bytes));
    m_received_at = std::chrono::steady_clock::now();
    m_has_begun = false;
    m_is_finished = false;
    m_on_client_disconnected = nullptr;
    parser_type parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    error_code error;
    m_has_looked_again = false;
    m_has_read_timeout = false;
    start_watchdog(limits.header_timeout, watchdog_action::cancel_read);
    co_await beast::http::async_read_header(m_socket, m_buffer, parser, into(error));
    if (error && m_has_read_timeout)
        error = beast::http::error::partial_message;
    if (!error)
        take_head(parser);
    if (!error && !has_at_most_one_host(m_head.headers))
        error = beast::http::error::bad_value;
    if (!error && has_unsupported_coding(m_head.headers))
    {
        stop_watchdog();
        co_await refuse_request(not_implemented, "only the transfer coding chunked is understood");
        co_return false;
    }
    if (!error && !hold_request(0, limits))
        error = make_error_code(boost::system::errc::not_enough_memory);
    if (!error && !parser.is_done())
    {
        if (find_header(m_head.headers, "Expect"))
            co_await write_text("HTTP/1.1 100 Continue\r\n\r\n");
        error = co_await read_body(parser, limits);
    }
    stop_watchdog();
    if (error)
    {
        // The refusal may take a while, and others need the room.
        std::string().swap(parser.get().body());
        release_request();
        co_await reject(error);
        co_return false;
    }
    m_body = std::move(parser.get().body());
    co_return true;
}

/// Reads the rest of a request. The client may be slow, but must keep sending.
asio::awaitable<error_code> connection::read_body(parser_type& parser, const server_limits& limits)
{
    const core::time_point deadline = std::chrono::steady_clock::now() + limits.body_timeout;
    parser.eager(true);
    error_code error;
    while (!error && !parser.is_done())
    {
        const auto remaining = std::chrono::duration_cast<core::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        if (remaining.count() > 0)
            m_has_looked_again = false;
        m_has_read_timeout = false;
        start_watchdog(std::min(limits.idle_timeout, remaining), watchdog_action::cancel_read);
        co_await beast::http::async_read_some(m_socket, m_buffer, parser, into(error));
        if (error && m_has_read_timeout)
            error = beast::http::error::partial_message;
        if (!error && !hold_request(parser.get().body().size(), limits))
            error = make_error_code(boost::system::errc::not_enough_memory);
    }
    co_return error;
}

void connection::take_head(const parser_type& parser)
{
    const auto& message = parser.get();
    m_head.method = std::string(message.method_string());
    m_head.target = std::string(message.target());
    m_head.headers.clear();
    m_head_bytes = m_head.method.size() + m_head.target.size();
    for (const auto& field : message)
    {
        m_head_bytes += field.name_string().size() + field.value().size();
        m_head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    constexpr unsigned version_1_1 = 11;
    m_chunked = message.version() >= version_1_1;
    m_keep_alive = message.keep_alive();
}

/// Frees what the answered request took: the connection may stay open without another one for as
/// long as the idle timeout.
void connection::release_request()
{
    m_head = {};
    // An assignment would keep the allocation.
    std::string().swap(m_body);
    m_head_bytes = 0;
    hold_request(0, {});
    if (m_buffer.capacity() > max_idle_buffer_bytes)
        m_buffer.shrink_to_fit();
}

asio::awaitable<void> connection::reject(const error_code& error)
{
    namespace http = beast::http;
    if (error == boost::system::errc::not_enough_memory)
    {
        co_await refuse_request(service_unavailable, "too many bytes of requests are held");
        co_return;
    }
    if (error == http::error::end_of_stream || error == asio::error::eof ||
        error.category() == asio::error::get_system_category() || m_is_disconnected)
        co_return;
    int status = bad_request;
    if (error == http::error::header_limit)
        status = header_too_large;
    if (error == http::error::body_limit)
        status = payload_too_large;
    if (error == http::error::partial_message)
        status = request_timeout;
    co_await refuse_request(status, error.message());
}

asio::awaitable<void> connection::refuse_request(int status, std::string why)
{
    m_keep_alive = false;
    m_head = {};
    co_await send(m_handler.reject(status, why));
    co_await drop_rest();
}

/// Reads and drops the rest of a refused request, for as long as the body of another one may take.
/// Closing a socket with unread bytes sends a reset: the client, which may still be sending, would
/// not read the refusal.
asio::awaitable<void> connection::drop_rest()
{
    constexpr core::milliseconds linger_timeout{500};
    const core::time_point deadline =
        std::chrono::steady_clock::now() + m_handler.limits().body_timeout;
    error_code ended;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ended);
    std::array<char, 4096> sink{};
    for (std::size_t dropped = 0; !ended && dropped < max_dropped_bytes;)
    {
        const core::duration remaining = deadline - std::chrono::steady_clock::now();
        if (remaining.count() <= 0)
            break;
        start_watchdog(std::min(linger_timeout, std::chrono::ceil<core::milliseconds>(remaining)));
        dropped += co_await m_socket.async_read_some(asio::buffer(sink), into(ended));
    }
    stop_watchdog();
}

asio::awaitable<void> connection::answer_request()
{
    std::string failure;
    try
    {
        co_await m_handler.handle(*this);
    }
    catch (const std::exception& thrown)
    {
        failure = thrown.what();
    }
    if (failure.empty())
        co_return;
    m_keep_alive = false;
    if (!m_has_begun)
        co_await send(m_handler.reject(internal_error, failure));
}

core::result<std::string> connection::frame_head(response_head head,
                                                 std::optional<std::size_t> length)
{
    // A request that has arrived behind this one is answered, too.
    if ((m_close_after || m_is_closing) && !has_unread_bytes())
        m_keep_alive = false;
    m_has_head_only = m_head.method == "HEAD" || is_status_without_body(head.status);
    if (length)
        head.headers.emplace_back("Content-Length", std::to_string(*length));
    else if (m_chunked && !m_has_head_only)
        head.headers.emplace_back("Transfer-Encoding", "chunked");
    else if (!m_has_head_only)
        m_keep_alive = false;
    if (!m_keep_alive)
        head.headers.emplace_back("Connection", "close");
    else if (auto timeout = announce_idle_timeout())
        head.headers.emplace_back("Keep-Alive", std::move(*timeout));
    return to_text(head);
}

asio::awaitable<bool> connection::write_text(std::string text)
{
    co_return co_await write_framed(text, {}, {});
}

/// Writes data and what frames it, without a copy: a slow reader makes it wait here.
asio::awaitable<bool> connection::write_framed(std::string_view before, std::string_view data,
                                               std::string_view after)
{
    if (m_is_disconnected)
        co_return false;
    error_code error;
    bool is_last = false;
    while (!error && !is_last)
    {
        const std::string_view part = data.substr(0, max_written_bytes);
        data.remove_prefix(part.size());
        is_last = data.empty();
        const std::array<asio::const_buffer, 3> buffers{
            asio::buffer(std::exchange(before, {})), asio::buffer(part),
            asio::buffer(is_last ? after : std::string_view())};
        start_watchdog(m_handler.limits().write_timeout);
        co_await asio::async_write(m_socket, buffers, into(error));
    }
    stop_watchdog();
    if (error)
        notify_client_disconnected();
    co_return !error;
}

asio::awaitable<bool> connection::send(response answer)
{
    m_has_begun = true;
    m_is_finished = true;
    auto head = frame_head(std::move(answer.head), answer.body.size());
    if (!head)
    {
        answer = m_handler.reject(internal_error, head.error().message);
        head = frame_head(std::move(answer.head), answer.body.size());
    }
    if (!head)
    {
        abort();
        co_return false;
    }
    const std::string_view body = m_has_head_only ? std::string_view() : answer.body;
    co_return co_await write_framed(head.value(), body, {});
}

asio::awaitable<bool> connection::begin(response_head head)
{
    m_has_begun = true;
    auto text = frame_head(std::move(head), std::nullopt);
    if (!text)
    {
        abort();
        co_return false;
    }
    co_return co_await write_text(std::move(text.value()));
}

asio::awaitable<bool> connection::write(std::string_view data)
{
    if (data.empty() || m_has_head_only)
        co_return !m_is_disconnected;
    if (!m_chunked)
        co_return co_await write_framed({}, data, {});
    std::array<char, 2 * sizeof(std::size_t) + 3> size_line{};
    const int digits = std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", data.size());
    const std::string_view before(size_line.data(), static_cast<std::size_t>(digits));
    co_return co_await write_framed(before, data, "\r\n");
}

asio::awaitable<bool> connection::finish()
{
    m_is_finished = true;
    if (!m_chunked || m_has_head_only)
        co_return !m_is_disconnected;
    co_return co_await write_text("0\r\n\r\n");
}

void connection::abort()
{
    m_is_finished = true;
    m_keep_alive = false;
    // Without chunks, a clean close would look like the end of the answer.
    error_code ignored;
    if (m_has_begun && !m_chunked)
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close_socket();
}

void connection::on_client_disconnected(std::function<void()> action)
{
    m_on_client_disconnected = std::move(action);
    if (m_is_disconnected || (m_on_client_disconnected && has_client_left()))
        notify_client_disconnected();
    else if (m_buffer.size() == 0 && !m_is_watching_client)
        watch_client();
}

/// Whether the end of the connection has arrived behind the bytes that were read. An overloaded
/// server reads a request when its client may have left; the handler learns of it before it passes
/// the request on.
bool connection::has_client_left()
{
    return m_buffer.size() == 0 && !is_quiet(m_socket) && !has_arrived_bytes(m_socket);
}

/// Waits until the socket becomes readable and checks whether the client has disconnected.
void connection::watch_client()
{
    m_is_watching_client = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code& error)
                        {
                            self->m_is_watching_client = false;
                            if (!self->m_is_active || error == asio::error::operation_aborted)
                                return;
                            if (error || self->has_client_left())
                                self->notify_client_disconnected();
                        });
}

void connection::notify_client_disconnected()
{
    m_is_disconnected = true;
    if (m_on_client_disconnected)
        std::exchange(m_on_client_disconnected, nullptr)();
}

void connection::start_watchdog(core::milliseconds limit, watchdog_action action)
{
    m_watchdog.expires_after(limit);
    m_watchdog.async_wait(
        [weak = weak_from_this(), generation = ++m_watchdog_generation,
         action](const error_code& error)
        {
            const auto self = weak.lock();
            if (!error && self && generation == self->m_watchdog_generation)
                self->on_watchdog(action);
        });
}

void connection::on_watchdog(watchdog_action action)
{
    if (action == watchdog_action::cancel_read && may_read_on(action))
        return;
    if (action == watchdog_action::cancel_read)
    {
        m_has_read_timeout = true;
        error_code ignored;
        m_socket.cancel(ignored);
        return;
    }
    if (action == watchdog_action::check_idle && may_stay_idle())
        return;
    m_is_disconnected = true;
    close_socket();
    notify_client_disconnected();
}

/// Whether a request has arrived, or the limits allow the connection to stay idle for longer; waits
/// for the rest then. After a stall of the event loop timers may be handled before sockets.
bool connection::may_stay_idle()
{
    if (has_unread_bytes())
        return true;
    const core::time_point until = m_idle_since + idle_limit();
    const auto rest =
        std::chrono::ceil<core::milliseconds>(until - std::chrono::steady_clock::now());
    if (rest.count() <= 0)
        return false;
    start_watchdog(rest, watchdog_action::check_idle);
    return true;
}

/// Whether a part of a request may have arrived that was not read yet; gives the time to read it
/// then. After a stall of the event loop timers may be handled before sockets.
bool connection::may_read_on(watchdog_action action)
{
    constexpr core::milliseconds time_to_look_again{50};
    if (std::exchange(m_has_looked_again, true) && !has_arrived_bytes(m_socket))
        return false;
    start_watchdog(time_to_look_again, action);
    return true;
}

void connection::stop_watchdog()
{
    ++m_watchdog_generation;
    m_watchdog.cancel();
}

void connection::close_socket()
{
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace snipeplank::http
