/// @file
/// TCP relay between a listening address and a target, with fault injection.

#ifndef SNIPEPLANK_STANDINS_RELAY_TCP_RELAY_HPP
#define SNIPEPLANK_STANDINS_RELAY_TCP_RELAY_HPP

#include <standins/relay/marker_search.hpp>
#include <standins/support/http_server.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipeplank::standins
{

/// @brief Direction of transfer.
enum class direction
{
    to_target,
    to_client,
};

/// @brief Faults and counters of the relayed link; every connection reads the faults while it runs.
struct link_state
{
    std::atomic<bool> refuse{false};         ///< refuse new connections
    std::atomic<std::int64_t> delay_ms{0};   ///< in each direction
    std::atomic<bool> drop_to_target{false}; ///< discard the bytes of this direction
    std::atomic<bool> drop_to_client{false}; ///< as `drop_to_target`
    std::atomic<std::uint64_t> rate{0};      ///< bytes per second in each direction; 0 is unlimited
    std::atomic<std::uint64_t> cut_before{0};  ///< cut connections with a lower number
    std::atomic<std::uint64_t> mute_before{0}; ///< stop forwarding for lower numbers
    std::atomic<bool> stopping{false};
    /// A connection that is cut, or that has lost bytes, ends with a reset instead of a clean end.
    bool ends_by_reset = false;

    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> bytes_to_target{0};
    std::atomic<std::uint64_t> bytes_to_client{0};
    marker_counts markers;
};

/// @brief Accepts connections and relays each with two threads, one per direction.
class tcp_relay
{
  public:
    /// @brief Starts to listen and accept connections.
    /// @throws std::runtime_error when the address is taken
    /// @param ends_by_reset see `link_state`
    tcp_relay(const host_port& listen, host_port target, bool ends_by_reset = false);

    /// @brief Closes all connections and joins the threads.
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /// @brief The port that the relay listens on.
    int port() const { return m_listen.port; }

    /// @brief Faults and counters.
    link_state& link() { return m_link; }

    /// @brief Cuts the connections that are open now.
    void cut_existing() { m_link.cut_before = m_link.connections.load(); }

    /// @brief Stops forwarding on the connections that are open now, without closing them.
    void silence_existing() { m_link.mute_before = m_link.connections.load(); }

  private:
    void open_listener();
    void accept_loop();
    void accept_one();
    void relay_connection(int client, std::uint64_t number);

    host_port m_listen;
    const host_port m_target;
    link_state m_link;
    int m_listener = -1;
    std::mutex m_mutex;
    std::vector<std::thread> m_connections;
    std::thread m_acceptor;
};

} // namespace snipeplank::standins

#endif
