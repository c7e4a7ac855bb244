#include "http_server.hpp"

#include <snipeplank/core/interrupted_call.hpp>
#include <snipeplank/gateway/address.hpp>
#include <snipeplank/http/listener.hpp>

#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <limits>

#include "framed_stream.hpp"
#include "request_framing.hpp"

namespace snipeplank::gateway
{

namespace
{

using std::chrono::milliseconds;

/// Largest body of a request, unless the server sets another limit.
constexpr std::size_t max_body_bytes = 65'536;
/// What may arrive of a body beyond the limit before its refusal is sent.
constexpr std::uint64_t refused_body_bytes = 1'048'576;

/// Maximum time that an idle keep-alive connection occupies a thread.
constexpr time_t keep_alive_seconds = 5;
constexpr time_t read_seconds = 10;
constexpr time_t write_seconds = 10;

/// With the library's default of 5, bursts of new connections wait for a TCP retransmission.
constexpr int listen_backlog = 1'024;

} // namespace

/// Runs each connection on the worker pool, which starts threads on demand.
class http_server::task_queue final : public httplib::TaskQueue
{
  public:
    explicit task_queue(std::size_t max_threads) : m_pool(max_threads) {}

    void enqueue(std::function<void()> job) override { m_pool.submit(std::move(job)); }
    void shutdown() override { m_pool.shutdown(); }

    worker_pool& pool() { return m_pool; }

  private:
    worker_pool m_pool;
};

bool bounded_server::process_and_close_socket(socket_t socket)
{
    const bool is_served = serve_requests(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return is_served;
}

/// Waits for the next request in steps, so that a server that is stopped is noticed. A connection
/// that was accepted last has a step for its first request.
bool bounded_server::serve_requests(socket_t socket)
{
    constexpr milliseconds step{100};
    request_framing framing(payload_max_length_ + refused_body_bytes);
    framed_stream stream(socket,
                         {to_limit(read_timeout_sec_, read_timeout_usec_),
                          to_limit(write_timeout_sec_, write_timeout_usec_)},
                         [&](std::string_view bytes) { return framing.add(bytes); });
    bool is_served = false;
    const milliseconds idle_limit = to_limit(keep_alive_timeout_sec_, 0);
    const auto is_stopped = [this] { return svr_sock_ == INVALID_SOCKET; };
    bool is_first_step = true;
    for (milliseconds idle{0}; idle < idle_limit && (is_first_step || !is_stopped()); idle += step)
    {
        is_first_step = false;
        if (!stream.waits_for_bytes(step))
            continue;
        bool is_closed = false;
        is_served = process_request(stream, is_stopped(), is_closed, nullptr);
        if (!is_served || is_closed)
            break;
        idle = milliseconds{0} - step;
    }
    return is_served;
}

http_server::http_server(std::size_t max_connections)
{
    m_server.set_payload_max_length(max_body_bytes);
    m_server.new_task_queue = [this, max_connections]
    {
        auto* queue = new task_queue(max_connections);
        m_pool = &queue->pool();
        return queue;
    };
    m_server.set_socket_options(
        [this](socket_t socket)
        {
            // The library's default lets two processes bind one port without an error.
            const int enabled = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
            m_listener = socket;
        });
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    m_server.set_keep_alive_timeout(keep_alive_seconds);
    m_server.set_read_timeout(read_seconds);
    m_server.set_write_timeout(write_seconds);
}

core::result<void> http_server::start(const core::address& address)
{
    const host_and_port target = split_host_port(address);
    if (!m_server.bind_to_port(target.host, target.port))
        return core::fail(core::error_code::connection_failed, "cannot listen on " + address.get(),
                          "choose a free address of this host in the settings");
    ::listen(m_listener, listen_backlog);
    m_acceptor = std::thread([this] { m_server.listen_after_bind(); });
    return boost::outcome_v2::success();
}

/// Waits until every connection that the kernel has opened is accepted.
void http_server::drain_listener() const
{
    constexpr milliseconds step{1};
    constexpr milliseconds limit{1'000};
    if (http::stop_handshakes(m_listener))
        std::this_thread::sleep_for(http::handshake_time);
    pollfd waiting{m_listener, POLLIN, 0};
    const auto has_waiting = [&]
    { return core::retry_interrupted([&] { return ::poll(&waiting, 1, 0); }) > 0; };
    for (milliseconds waited{0}; waited < limit && has_waiting(); waited += step)
    {
        std::this_thread::sleep_for(step);
    }
}

void http_server::stop()
{
    if (!m_acceptor.joinable())
        return;
    drain_listener();
    m_server.stop();
    m_acceptor.join();
}

std::size_t http_server::connections() const
{
    return m_pool == nullptr ? 0 : m_pool->busy();
}

} // namespace snipeplank::gateway
