/// @file
/// HTTP server base of the stand-ins: one thread per connection, access to the socket that a
/// handler answers on, and a clean end on SIGTERM.

#ifndef SNIPEPLANK_STANDINS_SUPPORT_HTTP_SERVER_HPP
#define SNIPEPLANK_STANDINS_SUPPORT_HTTP_SERVER_HPP

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <string>

namespace snipeplank::standins
{

/// @brief Address of the form `IP:PORT`, split.
struct host_port
{
    std::string host;
    int port = 0;
};

/// @brief Splits `IP:PORT`; ends the program with a message when there is no port.
host_port parse_host_port(const std::string& text);

/// @brief The connection that the calling handler answers on.
///
/// httplib hands no socket to a handler, and faults such as a close without an answer need one.
class connection
{
  public:
    explicit connection(int socket) : m_socket(socket) {}

    /// @brief The connection served by the calling thread.
    static connection current();

    /// @brief Whether the caller has closed its end. Unread pipelined bytes count as open.
    bool is_closed_by_caller() const;

    /// @brief Ends the connection in both directions; nothing more reaches the caller.
    void cut() const;

  private:
    int m_socket;
};

/// @brief httplib server with one thread per connection and no limit on kept connections.
class http_server : public httplib::Server
{
  public:
    http_server();

    /// @brief Listens on `address`, prints `ready <address>` and serves until SIGTERM or SIGINT.
    /// @param carried address that the program serves besides HTTP; the line is then
    ///        `ready <carried> control <address>`
    /// @return exit status of the program
    int run(const std::string& address, const std::string& carried = "");

    /// @brief Whether a signal to end has arrived; every wait in a handler looks at it.
    bool is_stopping() const { return m_stopping; }

    /// @brief Waits for `duration` unless the caller closes or the program ends.
    /// @return whether the whole time passed
    bool wait_for(std::chrono::microseconds duration) const;

    /// @brief Keeps the connection open without a byte until the caller closes or the program
    /// ends, then cuts it.
    void stay_silent() const;

  private:
    bool process_and_close_socket(socket_t socket) override;

    std::atomic<bool> m_stopping{false};
    socket_t m_listener = INVALID_SOCKET;
};

} // namespace snipeplank::standins

#endif
