#include "http_server.hpp"

#include <snipeplank/gateway/address.hpp>

#include <sys/socket.h>

#include <limits>

namespace snipeplank::gateway
{

namespace
{

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

http_server::http_server(std::size_t max_connections)
{
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

void http_server::stop()
{
    if (!m_acceptor.joinable())
        return;
    m_server.stop();
    m_acceptor.join();
}

std::size_t http_server::connections() const
{
    return m_pool == nullptr ? 0 : m_pool->busy();
}

} // namespace snipeplank::gateway
