/// @file
/// HTTP server base of the stand-ins: one thread per connection, access to the socket of the
/// current request, and a clean shutdown on SIGTERM.

#ifndef SNIPEPLANK_STANDINS_SUPPORT_HTTP_SERVER_HPP
#define SNIPEPLANK_STANDINS_SUPPORT_HTTP_SERVER_HPP

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <string>

namespace snipeplank::standins
{

/// @brief Host and port of an address `IP:PORT`.
struct host_port
{
    std::string host;
    int port = 0;
};

/// @brief Splits `IP:PORT`; exits with an error message when there is no port.
host_port parse_host_port(const std::string& text);

/// @brief The connection of the request that the calling thread handles.
///
/// httplib does not expose the socket to handlers, which faults such as a close without an answer
/// need.
class connection
{
  public:
    explicit connection(int socket) : m_socket(socket) {}

    /// @brief The connection served by the calling thread.
    static connection current();

    /// @brief Whether the caller has closed its end. Unread pipelined bytes count as open.
    bool is_closed_by_caller() const;

    /// @brief Shuts down both directions of the connection.
    void cut() const;

    /// @brief Ends the connection with a TCP reset.
    void reset() const;

    /// @brief Sends bytes on the connection after a delay, from another thread.
    void send_later(std::string bytes, std::chrono::milliseconds delay) const;

  private:
    int m_socket;
};

/// @brief httplib server with one thread per connection and no limit on idle connections.
class http_server : public httplib::Server
{
  public:
    http_server();

    /// @brief Listens on `address`, prints `ready <address>` and serves until SIGTERM or SIGINT.
    /// @param relayed_address address that the program serves besides HTTP; the line is then
    ///        `ready <relayed_address> control <address>`
    /// @return exit status of the program
    int run(const std::string& address, const std::string& relayed_address = "");

    /// @brief Closes idle connections after this time, and says so; by default after 10 minutes.
    /// At zero the handlers say `Connection: close`.
    void set_idle_timeout(std::chrono::seconds timeout);

    /// @brief Whether SIGTERM or SIGINT has arrived; every wait in a handler checks this.
    bool is_stopping() const { return m_stopping; }

    /// @brief Waits for `duration`, or until the caller closes or the program stops.
    /// @return whether the full duration elapsed
    bool wait_for(std::chrono::microseconds duration) const;

    /// @brief Sends nothing until the caller closes or the program stops, then cuts the connection.
    void stay_silent() const;

  private:
    bool process_and_close_socket(socket_t socket) override;

    std::atomic<bool> m_stopping{false};
    std::chrono::milliseconds m_idle_timeout;
    socket_t m_listener = INVALID_SOCKET;
};

} // namespace snipeplank::standins

#endif
