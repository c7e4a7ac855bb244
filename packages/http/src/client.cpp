#include <snipeplank/http/client.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <optional>

#include "endpoint.hpp"

namespace snipeplank::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_buffer_size = 4'096;
constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
/// Largest part of an answer that is parsed as a unit: the head, a chunk header or the trailers.
constexpr std::size_t max_buffered_bytes = 131'072;
/// Interim answers (1xx) before the final one.
constexpr int max_interim_answers = 8;

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Whether the head may come before that of the answer: it has a status of its own and no body.
bool is_interim(const response_head& head)
{
    return head.status >= first_interim_status && head.status < first_final_status &&
           head.status != switching_protocols && !find_header(head.headers, "Content-Length") &&
           !find_header(head.headers, "Transfer-Encoding");
}

bool is_final(const response_head& head)
{
    return head.status >= first_final_status && head.status <= last_status;
}

} // namespace

class client_connection::state : public std::enable_shared_from_this<client_connection::state>
{
  public:
    state(asio::io_context& loop, core::address server)
        : m_server(std::move(server)), m_socket(loop), m_timer(loop)
    {
    }

    const core::address& server() const { return m_server; }

    asio::awaitable<core::result<void>> connect(core::milliseconds limit)
    {
        const auto self = shared_from_this();
        const auto endpoint = to_endpoint(m_server);
        if (!endpoint)
            co_return invalid_address_error();
        expire_after(limit);
        error_code error;
        co_await m_socket.async_connect(*endpoint, into(error));
        stop_timer();
        if (error || m_is_closed)
            co_return boost::outcome_v2::failure(failure(error, "cannot connect to "));
        set_connection_options(m_socket);
        m_opened_at = std::chrono::steady_clock::now();
        co_return boost::outcome_v2::success();
    }

    core::time_point opened_at() const { return m_opened_at; }

    std::optional<core::time_point> verified_at() const { return m_verified_at; }

    void set_verified_at(core::time_point when) { m_verified_at = when; }

    std::optional<core::time_point> arrived_after() const { return m_arrived_after; }

    core::result<void> send(const request_head& head, const std::string& body)
    {
        auto text = to_text(head);
        if (!text)
            return boost::outcome_v2::failure(text.error());
        m_is_head_request = head.method == "HEAD";
        m_request_text = std::move(text.value());
        m_has_started_write = true;
        m_is_write_complete = false;
        m_is_answer_complete = false;
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_request_text),
                                                        asio::buffer(body)};
        asio::async_write(m_socket, buffers,
                          [self = shared_from_this()](const error_code& error, std::size_t)
                          {
                              // The connection may stay open without another request for long.
                              std::string().swap(self->m_request_text);
                              self->m_is_write_complete = !error;
                          });
        return boost::outcome_v2::success();
    }

    asio::awaitable<core::result<response_head>> read_head()
    {
        const auto self = shared_from_this();
        check_arrivals();
        for (int interim = 0; interim <= max_interim_answers; ++interim)
        {
            m_parser.emplace();
            m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
            m_parser->skip(m_is_head_request);
            m_is_answer_complete = false;
            error_code error;
            co_await beast::http::async_read_header(m_socket, m_buffer, *m_parser, into(error));
            if (error)
                co_return boost::outcome_v2::failure(failure(error, "no answer from "));
            response_head head = take_head();
            if (is_final(head))
                co_return head;
            if (!is_interim(head))
                co_return status_error(head.status);
        }
        co_return core::fail(core::error_code::connection_closed,
                             "no final answer from " + m_server.get() + ", only interim ones",
                             "check that the server runs");
    }

    asio::awaitable<core::result<body_chunk>> read_chunk()
    {
        const auto self = shared_from_this();
        check_arrivals();
        body_chunk chunk;
        if (!m_parser->is_done())
        {
            std::array<char, read_buffer_size> space; // NOLINT: filled by the read
            auto& target = m_parser->get().body();
            target.data = space.data();
            target.size = space.size();
            error_code error;
            co_await beast::http::async_read_some(m_socket, m_buffer, *m_parser, into(error));
            if (error == beast::http::error::need_buffer)
                error = {};
            if (error == beast::http::error::end_of_stream && m_parser->need_eof())
                error = {};
            // A server that ends the connection while the request is being written may have been
            // cut: nothing else tells where an answer without a length ends.
            if (!error && m_parser->is_done() && m_parser->need_eof() && !m_is_write_complete)
                error = beast::http::error::partial_message;
            if (error)
                co_return boost::outcome_v2::failure(failure(error, "answer broken off by "));
            chunk.data.assign(space.data(), space.size() - target.size);
        }
        chunk.is_last = m_parser->is_done();
        chunk.ends_with_connection = chunk.is_last && m_parser->need_eof();
        m_is_answer_complete = chunk.is_last;
        co_return chunk;
    }

    void expire_after(core::milliseconds limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait(
            [weak = weak_from_this(), generation = ++m_timer_generation](const error_code& error)
            {
                const auto self = weak.lock();
                if (error || !self || generation != self->m_timer_generation)
                    return;
                self->m_is_expired = true;
                self->close();
            });
    }

    bool has_written() const { return m_has_started_write; }

    bool is_reusable() const
    {
        return !m_is_closed && m_is_answer_complete && m_is_write_complete && m_parser &&
               m_parser->keep_alive() && m_buffer.size() == 0;
    }

    bool is_stale() { return m_is_closed || !is_quiet(m_socket); }

    void close()
    {
        m_is_closed = true;
        stop_timer();
        error_code ignored;
        m_socket.close(ignored);
    }

    void stop_timer()
    {
        ++m_timer_generation;
        m_timer.cancel();
    }

  private:
    using parser_type = beast::http::response_parser<beast::http::buffer_body>;

    core::result<void> invalid_address_error() const
    {
        return core::fail(core::error_code::invalid_address,
                          "'" + m_server.get() + "' is not an address",
                          "publish upstreams as IP:PORT");
    }

    core::result<response_head> status_error(int status) const
    {
        return core::fail(core::error_code::connection_closed,
                          "an answer of " + m_server.get() + " has the status " +
                              std::to_string(status) + ", which is none",
                          "check that the server runs");
    }

    core::error failure(const error_code& error, const std::string& what) const
    {
        const std::string cause = m_is_expired ? "timed out" : error.message();
        return {m_is_expired ? core::error_code::upstream_timeout
                             : core::error_code::connection_closed,
                what + m_server.get() + ": " + cause, "check that the server runs"};
    }

    /// Called when a read begins.
    void check_arrivals()
    {
        m_arrived_after.reset();
        const core::time_point now = std::chrono::steady_clock::now();
        if (now < m_next_arrival_check)
            return;
        m_next_arrival_check = now + client_connection::arrival_check_interval;
        if (m_buffer.size() == 0 && is_quiet(m_socket))
            m_arrived_after = now;
    }

    response_head take_head()
    {
        response_head head;
        const auto& message = m_parser->get();
        head.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
        {
            head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        return head;
    }

    core::address m_server;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer{max_buffered_bytes};
    std::optional<parser_type> m_parser;
    std::string m_request_text;
    core::time_point m_opened_at{};
    std::optional<core::time_point> m_verified_at;
    std::optional<core::time_point> m_arrived_after;
    core::time_point m_next_arrival_check{};
    /// Identifies the current timer; the handler of an earlier one does nothing.
    std::uint64_t m_timer_generation = 0;
    bool m_is_head_request = false;
    bool m_has_started_write = false;
    bool m_is_write_complete = true;
    bool m_is_answer_complete = false;
    bool m_is_closed = false;
    bool m_is_expired = false;
};

client_connection::client_connection(asio::io_context& loop, core::address server)
    : m_state(std::make_shared<state>(loop, std::move(server)))
{
}

client_connection::~client_connection()
{
    m_state->close();
}

const core::address& client_connection::server() const
{
    return m_state->server();
}

asio::awaitable<core::result<void>> client_connection::connect(core::milliseconds limit)
{
    return m_state->connect(limit);
}

core::time_point client_connection::opened_at() const
{
    return m_state->opened_at();
}

std::optional<core::time_point> client_connection::verified_at() const
{
    return m_state->verified_at();
}

void client_connection::set_verified_at(core::time_point when)
{
    m_state->set_verified_at(when);
}

std::optional<core::time_point> client_connection::arrived_after() const
{
    return m_state->arrived_after();
}

core::result<void> client_connection::send(const request_head& head, const std::string& body)
{
    return m_state->send(head, body);
}

asio::awaitable<core::result<response_head>> client_connection::read_head()
{
    return m_state->read_head();
}

asio::awaitable<core::result<body_chunk>> client_connection::read_chunk()
{
    return m_state->read_chunk();
}

void client_connection::expire_after(core::milliseconds limit)
{
    m_state->expire_after(limit);
}

void client_connection::stop_timer()
{
    m_state->stop_timer();
}

bool client_connection::has_written() const
{
    return m_state->has_written();
}

bool client_connection::is_reusable() const
{
    return m_state->is_reusable();
}

bool client_connection::is_stale() const
{
    return m_state->is_stale();
}

void client_connection::close()
{
    m_state->close();
}

connection_pool::owned connection_pool::take(const core::address& server, core::time_point now,
                                             core::duration max_idle)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    while (!found->second.empty() && now - found->second.back().idle_since <= max_idle)
    {
        idle_connection latest = std::move(found->second.back());
        found->second.pop_back();
        if (now < latest.reusable_until && !latest.connection->is_stale())
            return std::move(latest.connection);
    }
    return nullptr;
}

connection_pool::owned connection_pool::create(const core::address& server)
{
    return std::make_unique<client_connection>(m_loop, server);
}

void connection_pool::put(owned used, core::milliseconds keep_alive_timeout, core::time_point now)
{
    if (!used->is_reusable())
        return;
    used->stop_timer();
    // The server measures the idle time from an earlier moment than this client, so only half of
    // its timeout is used.
    const core::time_point reusable_until = now + keep_alive_timeout / 2;
    std::vector<idle_connection>& idle = m_idle[used->server()];
    idle.push_back({std::move(used), now, reusable_until});
}

void connection_pool::sweep(core::time_point now)
{
    for (auto& [server, connections] : m_idle)
    {
        std::erase_if(connections, [&](const idle_connection& each)
                      { return now >= each.reusable_until || each.connection->is_stale(); });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::size() const
{
    std::size_t count = 0;
    for (const auto& [server, connections] : m_idle)
    {
        count += connections.size();
    }
    return count;
}

} // namespace snipeplank::http
