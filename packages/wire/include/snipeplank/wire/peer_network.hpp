/// @file
/// Authenticated connections between nodes.

#ifndef SNIPEPLANK_WIRE_PEER_NETWORK_HPP
#define SNIPEPLANK_WIRE_PEER_NETWORK_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/wire/clock.hpp>
#include <snipeplank/wire/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::wire
{

/// Number of a connection, unique within one network; 0 for none.
using connection_number = core::strong_type<std::uint64_t, struct connection_number_tag>;

/// @brief Authenticated identity of the peer of a connection.
struct peer_identity
{
    core::node_id node;
    core::region_id region;
    core::zone_id zone;
    connection_number connection{}; ///< set in the events of a handler
};

/// @brief Settings of the connections between nodes.
struct peer_settings
{
    core::node_id self; ///< its address is the one that peers connect to
    core::region_id region;
    core::zone_id zone;
    core::address listen;                ///< with port 0, `self.address` takes the bound port
    std::vector<std::string> fleet_keys; ///< own proofs use the first; any is accepted from peers

    core::milliseconds heartbeat_interval{1'000};
    /// The same for a connection that has carried no frame of a call for `busy_time`. Gossip finds
    /// out which nodes are alive, so that it costs a large fleet no more.
    core::milliseconds idle_heartbeat_interval{5'000};
    core::milliseconds busy_time{10'000};
    core::milliseconds silence_timeout{3'000};
    core::milliseconds handshake_timeout{3'000};
    core::milliseconds initial_reconnect_delay{50};
    core::milliseconds max_reconnect_delay{2'000};
    /// Per connection. A call or a load report that exceeds it is dropped, any other message closes
    /// the connection.
    core::bytes max_write_queue{8'388'608};
    std::size_t max_connections = 1'024;
};

/// @brief Why a message was dropped after `send` had taken it.
enum class drop_cause
{
    queue_full,    ///< the peer or the link is overloaded
    no_connection, ///< none could be opened
};

/// @brief Receives messages and connection events.
///
/// Called on the I/O thread, which serves all peers: implementations must return quickly and must
/// not block or throw. They may call `send` and `reply` but not `stop`.
class peer_handler
{
  public:
    virtual ~peer_handler() = default;

    /// @brief A message from an authenticated peer; never `hello` or `heartbeat`.
    virtual void on_message(const peer_identity& from, message received) = 0;

    /// @brief Messages that were read together, in their order. A handler with a thread of its own
    /// takes them over as one: a call is not begun before the cancellation behind it was seen.
    virtual void on_messages(const peer_identity& from, std::vector<message> received)
    {
        for (message& each : received)
        {
            on_message(from, std::move(each));
        }
    }

    /// @brief A connection to the peer was lost (closed, timed out, or its write queue was full).
    /// Frames in both directions may be lost; ask for the outcomes of calls in flight on a new
    /// connection. Calls on another connection to the peer are not affected.
    virtual void on_connection_lost(const peer_identity& peer) = 0;

    /// @brief The last connection to the peer was lost. Follows `on_connection_lost`.
    virtual void on_peer_lost(const peer_identity& /*peer*/) {}

    /// @brief A `call` was given to a connection. What the peer sends with `answer` arrives by it.
    virtual void on_call_sent(const peer_identity& /*to*/, core::call_number /*number*/) {}

    /// @brief No connection could be opened, and the messages queued for the address were dropped.
    /// None of their bytes were written to a socket.
    virtual void on_unreachable(const core::address& peer) = 0;

    /// @brief A `call` was dropped after `send` had taken it. No byte of it reached a socket, so it
    /// has not run at the peer and never will.
    virtual void on_call_dropped(const core::address& /*to*/, core::call_number /*number*/,
                                 drop_cause /*cause*/)
    {
    }

    /// @brief A connection was closed because of an error. For logging only: the counters already
    /// include it.
    /// @param remote remote address of the socket; for an incoming connection this is not the
    /// address that the peer listens on
    virtual void on_connection_error(const core::address& /*remote*/, const core::error& /*cause*/)
    {
    }
};

/// @brief Totals, and one counter for each kind of error.
struct peer_counters
{
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_dialed = 0;
    std::uint64_t connections_opened = 0; ///< their peer was authenticated
    std::uint64_t connections_closed = 0;
    std::uint64_t closed_by_peer = 0;  ///< between two frames
    std::uint64_t frame_truncated = 0; ///< the peer closed inside a frame
    std::uint64_t frame_too_large = 0;
    std::uint64_t frame_unverified = 0;
    std::uint64_t frame_wrong_version = 0;
    std::uint64_t frame_unknown_message = 0;
    std::uint64_t frame_unexpected = 0; ///< a hello after the handshake, or a message before it
    std::uint64_t peer_unauthenticated = 0;
    std::uint64_t peer_silent = 0;
    std::uint64_t handshake_timeout = 0;
    std::uint64_t write_queue_full = 0;
    std::uint64_t connect_failed = 0;
    std::uint64_t connection_limit = 0;
    std::uint64_t mailbox_full = 0;              ///< not queued: the I/O thread lags behind
    std::uint64_t message_undeliverable = 0;     ///< dropped: no connection to the address
    std::uint64_t message_too_large = 0;         ///< dropped before sending
    std::uint64_t message_wrong_incarnation = 0; ///< dropped: reply to a former incarnation
};

/// @brief Connections of one node to its peers. All functions are thread-safe.
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

    /// @brief Listens and starts the I/O thread.
    /// @param handler must stay valid until `stop` returns
    /// @return own node id with the bound port, or `invalid_address`, `connection_failed` or
    /// `peer_unauthenticated`
    virtual core::result<core::node_id> start(peer_settings settings, peer_handler& handler) = 0;

    /// @brief Queues a message for any incarnation at the address and returns at once.
    /// Connects when needed. Messages to one address keep their order within one connection.
    /// @return false when the message is not queued (too large, own address, stopped, queue full)
    virtual bool send(const core::address& to, const message& msg) = 0;

    /// @brief As `send`, but the message is dropped when another incarnation is at the address.
    virtual bool reply(const core::node_id& to, const message& msg) = 0;

    /// @brief As `send`, but on the connection by which a message was received, and on no other.
    /// Both ends thus lose a call and its answer together. The message is dropped when that
    /// connection has closed. The connection is closed when the queue to the I/O thread is full, so
    /// that the peer does not wait for the message.
    /// @param to as received
    virtual bool answer(const peer_identity& to, const message& msg) = 0;

    /// @brief Bytes that wait to be written on a connection, as of the last write; 0 if they are
    /// few. A sender of long answers waits for them: at `max_write_queue` the connection is closed.
    virtual std::size_t unsent(connection_number /*connection*/) const { return 0; }

    /// @brief Replaces the fleet keys, as `peer_settings::fleet_keys`. Open connections stay open.
    /// An empty list is ignored.
    virtual void set_fleet_keys(std::vector<std::string> keys) = 0;

    /// @brief Peers with an authenticated connection.
    virtual std::vector<peer_identity> connected() const = 0;

    virtual peer_counters counters() const = 0;

    /// @brief Writes queued messages for a limited time, closes all connections and joins the I/O
    /// thread. A stopped network cannot be started again.
    virtual void stop() = 0;
};

/// @brief Makes a peer network over TCP with one poll-based I/O thread.
/// @param time clock for heartbeats, timeouts and backoff; must outlive the network
std::unique_ptr<peer_network> make_peer_network(const clock& time);

/// @brief As above, with the system's monotonic clock.
std::unique_ptr<peer_network> make_peer_network();

} // namespace snipeplank::wire

#endif
