/// @file
/// Carries TCP connections between a listening address and a target, with faults.

#ifndef SNIPEPLANK_STANDINS_RELAY_CARRIER_HPP
#define SNIPEPLANK_STANDINS_RELAY_CARRIER_HPP

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

/// @brief Which way bytes go.
enum class direction
{
    to_target,
    to_client,
};

/// @brief Faults of the link; read by every connection while it runs.
struct link_state
{
    std::atomic<bool> refuse{false};           ///< new connections are refused
    std::atomic<std::int64_t> delay_ms{0};     ///< each way
    std::atomic<bool> drop_to_target{false};   ///< bytes of this direction are lost
    std::atomic<bool> drop_to_client{false};   ///< likewise
    std::atomic<std::uint64_t> rate{0};        ///< bytes per second and direction, 0 unlimited
    std::atomic<std::uint64_t> cut_before{0};  ///< connections with a lower number are cut
    std::atomic<std::uint64_t> mute_before{0}; ///< connections with a lower number carry nothing
    std::atomic<bool> ending{false};

    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> bytes_to_target{0};
    std::atomic<std::uint64_t> bytes_to_client{0};
    marker_counts markers;
};

/// @brief Accepts connections and carries each on two threads of its own.
class carrier
{
  public:
    /// @brief Starts to listen.
    /// @throws std::runtime_error when the address is taken
    carrier(const host_port& listen, host_port target);

    /// @brief Ends all connections and threads.
    ~carrier();
    carrier(const carrier&) = delete;
    carrier& operator=(const carrier&) = delete;

    /// @brief Port that is listened on.
    int port() const { return m_listen.port; }

    /// @brief Faults and counts.
    link_state& link() { return m_link; }

    /// @brief Cuts the connections that are open now.
    void cut_existing() { m_link.cut_before = m_link.connections.load(); }

    /// @brief The connections that are open now stay open and carry nothing any more.
    void silence_existing() { m_link.mute_before = m_link.connections.load(); }

  private:
    void open_listener();
    void accept_loop();
    void accept_one();
    void carry(int client, std::uint64_t number);

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
