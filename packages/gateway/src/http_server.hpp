/// @file
/// Setup shared by the callers' and the operators' HTTP servers.

#ifndef SNIPEPLANK_GATEWAY_SRC_HTTP_SERVER_HPP
#define SNIPEPLANK_GATEWAY_SRC_HTTP_SERVER_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/gateway/worker_pool.hpp>

#include <httplib.h>

#include <thread>

namespace snipeplank::gateway
{

/// @brief A server of cpp-httplib that limits every part of a request.
class bounded_server final : public httplib::Server
{
  private:
    bool process_and_close_socket(socket_t socket) override;
    bool serve_requests(socket_t socket);
};

/// @brief An HTTP server that runs on its own threads.
class http_server
{
  public:
    /// @param max_connections connections served concurrently; each occupies a thread
    explicit http_server(std::size_t max_connections);
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief The server to add routes to before `start`.
    httplib::Server& routes() { return m_server; }

    /// @brief Binds and starts to accept.
    core::result<void> start(const core::address& address);

    /// @brief Stops accepting, waits for requests in flight and joins.
    void stop();

    /// @brief Number of connections that occupy a thread or wait for one.
    std::size_t connections() const;

  private:
    class task_queue;

    void drain_listener() const;

    bounded_server m_server;
    worker_pool* m_pool = nullptr; ///< owned by the server's task queue
    std::thread m_acceptor;
    int m_listener = -1;
};

} // namespace snipeplank::gateway

#endif
