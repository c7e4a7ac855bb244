/// @file
/// Authenticated connections between nodes.

#ifndef SNIPEPLANK_WIRE_PEER_NETWORK_HPP
#define SNIPEPLANK_WIRE_PEER_NETWORK_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/wire/clock.hpp>
#include <snipeplank/wire/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace snipeplank::wire
{

/// @brief Who is at the other end, as proven in its hello.
struct peer_identity
{
    core::node_id node;
    core::region_id region;
    core::zone_id zone;
};

/// @brief Settings of the connections between nodes.
struct peer_settings
{
    core::node_id self; ///< the address is the one that peers dial
    core::region_id region;
    core::zone_id zone;
    core::address listen; ///< with port 0, `self.address` takes the port that was bound
    std::vector<std::string> fleet_keys; ///< the first one proves; all are accepted

    core::milliseconds heartbeat_interval{1'000};
    core::milliseconds silence_bound{3'000};
    core::milliseconds handshake_bound{3'000};
    core::milliseconds reconnect_first{50};
    core::milliseconds reconnect_most{2'000};
    core::bytes write_queue{8'388'608}; ///< per connection; a full queue closes it
    std::size_t max_connections = 1'024;
};

/// @brief Receives what comes from peers.
///
/// Called on the I/O thread, which serves all peers: return quickly, do not block and do not throw.
/// `send` and `reply` may be called from here, `stop` may not.
class peer_handler
{
  public:
    virtual ~peer_handler() = default;

    /// @brief A message from an authenticated peer; never `hello` or `heartbeat`.
    virtual void on_message(const peer_identity& from, message received) = 0;

    /// @brief A connection to the peer was lost (closed, silent, full queue). Frames to or from it
    /// may be lost: ask on a new connection for the outcomes of calls in flight.
    virtual void on_connection_lost(const peer_identity& peer) = 0;

    /// @brief No connection could be made and the messages queued for the address were dropped;
    /// none of their bytes reached a socket.
    virtual void on_unreachable(const core::address& peer) = 0;

    /// @brief A connection was closed because of an error, for the log; it is counted already.
    /// @param remote the address as the socket has it, which for an incoming connection is not the
    /// peer's own
    virtual void on_connection_error(const core::address& /*remote*/, const core::error& /*cause*/)
    {
    }
};

/// @brief One counter per kind of error, and totals.
struct peer_counters
{
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_dialed = 0;
    std::uint64_t connections_closed = 0;
    std::uint64_t closed_by_peer = 0;  ///< between two frames
    std::uint64_t frame_truncated = 0; ///< the peer closed inside a frame
    std::uint64_t frame_too_large = 0;
    std::uint64_t frame_unverified = 0;
    std::uint64_t frame_wrong_version = 0;
    std::uint64_t frame_unknown_message = 0;
    std::uint64_t frame_unexpected = 0; ///< a hello out of turn, or a message before it
    std::uint64_t peer_unauthenticated = 0;
    std::uint64_t peer_silent = 0;
    std::uint64_t handshake_timeout = 0;
    std::uint64_t write_queue_full = 0;
    std::uint64_t connect_failed = 0;
    std::uint64_t connection_limit = 0;
    std::uint64_t mailbox_full = 0;              ///< refused: the I/O thread lags behind
    std::uint64_t message_undeliverable = 0;     ///< dropped: no connection to the address
    std::uint64_t message_too_large = 0;         ///< dropped before it was sent
    std::uint64_t message_wrong_incarnation = 0; ///< reply to a life of a node that has ended
};

/// @brief The network of peers of one node. All functions are thread-safe.
///
/// @code
/// auto network = make_peer_network();
/// auto started = network->start(settings, handler);
/// network->send(core::address{"10.0.0.2:7001"}, call{number, request});
/// @endcode
class peer_network
{
  public:
    virtual ~peer_network() = default;

    /// @brief Binds, listens and starts the I/O thread. `handler` outlives `stop`.
    /// @return own node id with the bound port, or `connection_failed`
    virtual core::result<core::node_id> start(peer_settings settings, peer_handler& handler) = 0;

    /// @brief Queues a message for whichever incarnation is at the address, and returns at once.
    /// Connects when needed. Messages to one address keep their order within one connection.
    /// @return false when the message is certain not to be sent (too large, stopped, queue full)
    virtual bool send(const core::address& to, const message& what) = 0;

    /// @brief As `send`, for one incarnation only: dropped when the address has another one.
    virtual bool reply(const core::node_id& to, const message& what) = 0;

    /// @brief Replaces the accepted fleet keys; the first one proves. Connections stay.
    virtual void set_fleet_keys(std::vector<std::string> keys) = 0;

    /// @brief Peers with an authenticated connection.
    virtual std::vector<peer_identity> connected() const = 0;

    virtual peer_counters counters() const = 0;

    /// @brief Sends what is queued for a short bound, closes all connections, joins the thread.
    /// A stopped network is not started again.
    virtual void stop() = 0;
};

/// @brief A peer network over TCP with one poll-based I/O thread.
/// @param time drives heartbeats, silence and backoff; outlives the network
std::unique_ptr<peer_network> make_peer_network(const clock& time);

/// @brief As above, with the system's monotonic clock.
std::unique_ptr<peer_network> make_peer_network();

} // namespace snipeplank::wire

#endif
