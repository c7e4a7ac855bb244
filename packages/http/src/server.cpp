#include <snipeplank/http/listener.hpp>
#include <snipeplank/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <memory>
#include <set>

#include "connection.hpp"
#include "endpoint.hpp"

namespace snipeplank::http
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr core::milliseconds accept_retry_delay{50};
/// Connections that wait to be accepted.
constexpr int max_waiting = asio::socket_base::max_listen_connections;
/// Connections beyond the limit that are open at a time, to refuse their requests. Further ones
/// wait to be accepted.
constexpr std::size_t max_refusing = 100;

} // namespace

response request_handler::reject(int status, std::string_view why)
{
    response answer;
    answer.head.status = status;
    answer.head.headers.emplace_back("Content-Type", "text/plain");
    if (status == service_unavailable)
        answer.head.headers.emplace_back("Retry-After", "1");
    answer.body.assign(why).append("\n");
    return answer;
}

class server::state : public std::enable_shared_from_this<server::state>
{
  public:
    state(asio::io_context& loop, request_handler& handler)
        : m_loop(loop), m_handler(handler), m_acceptor(loop), m_grace_timer(loop),
          m_handshake_timer(loop)
    {
    }

    core::result<core::address> listen(const core::address& where)
    {
        const auto endpoint = to_endpoint(where);
        if (!endpoint)
            return core::fail(core::error_code::invalid_address,
                              "cannot listen on '" + where.get() + "'",
                              "give an address as IP:PORT");
        error_code error;
        m_acceptor.open(endpoint->protocol(), error);
        if (!error)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(*endpoint, error);
        if (!error)
            m_acceptor.listen(max_waiting, error);
        if (error)
            return core::fail(core::error_code::connection_failed,
                              "cannot listen on " + where.get() + ": " + error.message(),
                              "free the port or give another address");
        asio::co_spawn(m_loop, accept_loop(shared_from_this()), asio::detached);
        return to_address(m_acceptor.local_endpoint());
    }

    /// Closes the listener once the kernel opens no further connection, so that none can come
    /// between the last accept and the close: the kernel would reset it.
    void begin_closing_listener()
    {
        if (!m_acceptor.is_open() || m_is_ending_handshakes)
            return;
        m_is_ending_handshakes = true;
        if (!stop_handshakes(m_acceptor.native_handle()))
        {
            drain_listener();
            return;
        }
        m_handshake_timer.expires_after(handshake_time);
        m_handshake_timer.async_wait(
            [self = shared_from_this()](const error_code& error)
            {
                if (!error)
                    self->drain_listener();
            });
    }

    bool is_listening() const { return m_acceptor.is_open(); }

    void close_listener()
    {
        error_code ignored;
        m_acceptor.close(ignored);
    }

    void begin_closing(core::milliseconds grace)
    {
        for (connection* open : m_connections)
        {
            open->announce_close();
        }
        m_is_closing = true;
        m_grace_timer.expires_after(grace);
        m_grace_timer.async_wait(
            [self = shared_from_this()](const error_code& error)
            {
                if (error)
                    return;
                self->close_idle();
            });
    }

    void close_idle()
    {
        m_is_idle_closed = true;
        const std::set<connection*> open = m_connections;
        for (connection* each : open)
        {
            each->close_when_idle();
        }
    }

    std::size_t active() const
    {
        std::size_t count = 0;
        for (const connection* open : m_connections)
        {
            count += open->is_active() ? 1 : 0;
        }
        return count;
    }

    std::size_t connections() const { return m_connections.size(); }
    bool is_closing() const { return m_is_closing; }

  private:
    /// Accepts the connections that the kernel has opened already, then stops listening. Clients
    /// that go on connecting do not hold up the stop: no more can have waited than the backlog. A
    /// failure other than an empty queue concerns one connection, or a signal interrupted the call.
    void drain_listener()
    {
        error_code error;
        m_acceptor.non_blocking(true, error);
        for (int i = 0; i <= max_waiting && m_acceptor.is_open(); ++i)
        {
            tcp::socket socket(m_loop);
            m_acceptor.accept(socket, error);
            if (error == asio::error::would_block)
                break;
            if (error)
                continue;
            begin_serving(std::move(socket));
        }
        close_listener();
        if (m_is_idle_closed)
            close_idle();
    }

    static asio::awaitable<void> accept_loop(std::shared_ptr<state> self)
    {
        asio::steady_timer retry_timer(self->m_loop);
        while (self->m_acceptor.is_open())
        {
            error_code error;
            if (self->m_connections.size() < self->m_handler.limits().connections + max_refusing)
            {
                tcp::socket socket = co_await self->m_acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
                if (!error)
                {
                    self->begin_serving(std::move(socket));
                    continue;
                }
            }
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    void begin_serving(tcp::socket socket)
    {
        const auto open = std::make_shared<connection>(std::move(socket), m_handler, m_body_bytes);
        if (!may_serve_another())
        {
            open->refuse_requests([this] { return admit_late(); });
            ++m_refusing;
        }
        m_connections.insert(open.get());
        if (m_is_closing)
            open->announce_close();
        asio::co_spawn(m_loop, serve(shared_from_this(), open), asio::detached);
    }

    /// Whether one more connection than those whose requests are answered is within the limit.
    bool may_serve_another() const
    {
        return m_connections.size() - m_refusing < m_handler.limits().connections;
    }

    /// Admits a connection that was beyond the limit when it was opened, unless it still is.
    bool admit_late()
    {
        const bool is_admitted = may_serve_another();
        m_refusing -= is_admitted ? 1 : 0;
        return is_admitted;
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       std::shared_ptr<connection> open)
    {
        co_await open->run();
        if (open->is_refusing())
            --self->m_refusing;
        self->m_connections.erase(open.get());
    }

    asio::io_context& m_loop;
    request_handler& m_handler;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_grace_timer;
    asio::steady_timer m_handshake_timer;
    std::set<connection*> m_connections;
    /// Held by all connections, which may outlive the server.
    std::shared_ptr<std::size_t> m_body_bytes = std::make_shared<std::size_t>(0);
    std::size_t m_refusing = 0; ///< connections beyond the limit
    bool m_is_ending_handshakes = false;
    bool m_is_idle_closed = false; ///< connections are closed as soon as they are idle
    std::atomic<bool> m_is_closing{false};
};

server::server(asio::io_context& loop, request_handler& handler)
    : m_state(std::make_shared<state>(loop, handler))
{
}

server::~server()
{
    m_state->close_listener();
}

core::result<core::address> server::listen(const core::address& where)
{
    return m_state->listen(where);
}

void server::close_listener()
{
    m_state->begin_closing_listener();
}

bool server::is_listening() const
{
    return m_state->is_listening();
}

void server::begin_closing(core::milliseconds grace)
{
    m_state->begin_closing(grace);
}

void server::close_idle()
{
    m_state->close_idle();
}

bool server::is_closing() const
{
    return m_state->is_closing();
}

std::size_t server::active() const
{
    return m_state->active();
}

std::size_t server::connections() const
{
    return m_state->connections();
}

} // namespace snipeplank::http
