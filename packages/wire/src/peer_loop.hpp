/// @file
/// Event loop of the I/O thread: connections, and frames queued for each address.

#ifndef SNIPEPLANK_WIRE_SRC_PEER_LOOP_HPP
#define SNIPEPLANK_WIRE_SRC_PEER_LOOP_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/wire/clock.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "counter_set.hpp"
#include "mailbox.hpp"
#include "peer_connection.hpp"

namespace snipeplank::wire
{

/// @brief Polls and serves all sockets. Used by one thread only.
class peer_loop
{
  public:
    peer_loop(peer_settings settings, unique_fd listener, peer_handler& handler, mailbox& box,
              counter_set& counters, const clock& time);

    /// @brief Whether the sockets that exist from the start can be watched; the loop must not run
    /// otherwise.
    bool is_ready() const { return m_is_ready; }

    /// @brief Runs until the mailbox is stopped, then writes queued frames for a limited time.
    void run();

  private:
    using connection_id = std::uint64_t;
    using connection_map = std::map<connection_id, peer_connection>;

    /// State of one peer address.
    struct peer_state
    {
        std::deque<outgoing_frame> pending; ///< frames that wait for a connection
        std::size_t pending_bytes = 0;
        connection_id current = 0; ///< open connection used for sending; 0 if none
        connection_id dialing = 0; ///< connection in the handshake; 0 if none
        core::time_point dial_after;
        core::milliseconds backoff{0};
    };

    /// Ids of the epoll events that do not belong to a connection.
    static constexpr connection_id mailbox_event = 0;
    static constexpr connection_id listener_event = 1;

    struct socket_event
    {
        connection_id id = 0;
        std::uint32_t events = 0; ///< EPOLL* flags
    };

    void step();
    std::vector<socket_event> wait_for_events();
    bool watch(int fd, connection_id id, std::uint32_t events);
    bool update_interest(connection_id id);
    void schedule_timer(connection_id id);
    void cancel_timer(connection_id id);
    int poll_timeout() const;
    void drain_mailbox();
    void send_to(peer_state& peer, outgoing_frame item);
    void send_on(connection_id id, const outgoing_frame& item);
    peer_identity identity_of(connection_id id) const;
    bool is_connected_to(const core::address& peer) const;
    void queue_until_connected(peer_state& peer, outgoing_frame item);
    void drop(const outgoing_frame& item, drop_cause cause);
    void write_frame(connection_id id, const outgoing_frame& item);
    void flush_pending(peer_state& peer);
    void dial_pending_peers();
    void remove_idle_peers();
    void start_dialing(const core::address& to, peer_state& peer);
    void on_dial_failed(const core::address& to, peer_state& peer, const core::error& cause);
    void accept_all();
    void evict_unknown_peer();
    void on_events(const socket_event& event);
    void apply(connection_id id, session_output output);
    void on_opened(connection_id id);
    void close_superseded(connection_id newest);
    void check_timers();
    void write_all();
    void close(connection_id id, const session_failure* failure);
    void on_connection_lost(connection_id id, const peer_identity& lost);
    void publish_connected();
    void publish_unsent(connection_id id, std::size_t bytes);
    void finish_writing();
    connection_id add_connection(unique_fd fd, session_role role, core::address remote);

    peer_settings m_settings;
    unique_fd m_listener;
    peer_handler& m_handler;
    mailbox& m_mailbox;
    counter_set& m_counters;
    const clock& m_time;
    core::seeded_random m_random;
    unique_fd m_epoll;
    connection_map m_connections;
    std::unordered_map<connection_id, std::uint32_t> m_interests; ///< registered EPOLL* flags
    /// When the timer of each connection is checked. A connection is due at this time or later,
    /// since sent and received bytes only postpone it.
    std::set<std::pair<core::time_point, connection_id>> m_timers;
    std::unordered_map<connection_id, core::time_point> m_timer_of;
    std::set<connection_id> m_to_write;   ///< may have queued bytes
    std::set<connection_id> m_has_unsent; ///< published as having much to write
    std::set<core::address> m_to_dial;    ///< have pending frames and no connection
    core::time_point m_next_removal{};    ///< of idle peers
    std::unordered_map<core::address, peer_state> m_peers;
    connection_id m_last_id = listener_event;
    bool m_is_ready = false;
    bool m_is_stopping = false;
    bool m_is_accept_paused = false;
};

} // namespace snipeplank::wire

#endif
