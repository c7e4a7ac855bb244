#include "peer_loop.hpp"

#include <snipeplank/core/hash.hpp>

#include <sys/epoll.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <utility>

namespace snipeplank::wire
{

namespace
{

constexpr std::size_t nonce_bytes = 32;

/// Maximum time in poll(); limits how late the loop notices that a test advanced its clock.
constexpr core::milliseconds max_poll_wait{100};

/// Maximum time for writing queued frames after `stop`.
constexpr core::milliseconds stop_timeout{500};

constexpr int max_events_per_step = 256;

/// How often the states of unused addresses are removed.
constexpr core::seconds removal_interval{5};

/// How long the state of an unused address is retained after `dial_after`, to preserve the backoff.
constexpr core::seconds peer_state_retention{60};

/// Maximum number of incoming connections before authentication, so that unknown peers cannot
/// exhaust the file descriptors.
constexpr std::size_t max_unknown_peers = 128;

constexpr int max_accepts_per_step = 64;

core::milliseconds round_up(core::duration wait)
{
    return std::chrono::ceil<core::milliseconds>(wait);
}

} // namespace

peer_loop::peer_loop(peer_settings settings, unique_fd listener, peer_handler& handler,
                     mailbox& box, counter_set& counters, const clock& time)
    : m_settings(std::move(settings)), m_listener(std::move(listener)), m_handler(handler),
      m_mailbox(box), m_counters(counters), m_time(time), m_random(core::system_seed()),
      m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    m_is_ready = watch(m_mailbox.wake_fd(), mailbox_event, EPOLLIN) &&
                 watch(m_listener.get(), listener_event, EPOLLIN);
}

void peer_loop::run()
{
    while (!m_is_stopping)
    {
        step();
    }
    finish_writing();
    m_connections.clear();
    publish_connected();
}

void peer_loop::step()
{
    const std::vector<socket_event> events = wait_for_events();
    drain_mailbox();
    if (std::exchange(m_is_accept_paused, false))
    {
        watch(m_listener.get(), listener_event, EPOLLIN);
    }
    for (const socket_event& event : events)
    {
        if (event.id == listener_event)
        {
            accept_all();
        }
        else if (event.id != mailbox_event)
        {
            on_events(event);
        }
    }
    check_timers();
    dial_pending_peers();
    remove_idle_peers();
    write_all();
}

std::vector<peer_loop::socket_event> peer_loop::wait_for_events()
{
    std::array<epoll_event, max_events_per_step> ready{};
    int count = 0;
    // A process that was stopped and continues is interrupted here: what has arrived meanwhile is
    // read before the timers are checked.
    do
    {
        count = ::epoll_wait(m_epoll.get(), ready.data(), max_events_per_step, poll_timeout());
    } while (count < 0 && errno == EINTR);
    std::vector<socket_event> events;
    for (int i = 0; i < count; ++i)
    {
        const epoll_event& each = ready.at(static_cast<std::size_t>(i));
        events.push_back({each.data.u64, each.events});
    }
    return events;
}

/// Registers a socket, or changes the events that are reported of it.
/// @return whether the system accepted it
bool peer_loop::watch(int fd, connection_id id, std::uint32_t events)
{
    epoll_event wanted{};
    wanted.events = events;
    wanted.data.u64 = id;
    return ::epoll_ctl(m_epoll.get(), EPOLL_CTL_MOD, fd, &wanted) == 0 ||
           ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, fd, &wanted) == 0;
}

/// @return whether the events of the connection are reported; otherwise it must be closed
bool peer_loop::update_interest(connection_id id)
{
    const peer_connection& connection = m_connections.at(id);
    const std::uint32_t wanted = connection.wants_write() ? EPOLLIN | EPOLLOUT : EPOLLIN;
    std::uint32_t& registered = m_interests[id];
    if (registered == wanted)
    {
        return true;
    }
    registered = wanted;
    return watch(connection.fd(), id, wanted);
}

void peer_loop::schedule_timer(connection_id id)
{
    const core::time_point due = m_connections.at(id).session().due_at();
    const auto scheduled = m_timer_of.find(id);
    if (scheduled != m_timer_of.end() && scheduled->second <= due)
    {
        return;
    }
    cancel_timer(id);
    m_timers.emplace(due, id);
    m_timer_of.emplace(id, due);
}

void peer_loop::cancel_timer(connection_id id)
{
    const auto scheduled = m_timer_of.find(id);
    if (scheduled == m_timer_of.end())
    {
        return;
    }
    m_timers.erase({scheduled->second, id});
    m_timer_of.erase(scheduled);
}

int peer_loop::poll_timeout() const
{
    const core::time_point now = m_time.now();
    core::milliseconds wait = max_poll_wait;
    if (!m_timers.empty())
    {
        wait = std::min(wait, round_up(m_timers.begin()->first - now));
    }
    for (const core::address& address : m_to_dial)
    {
        wait = std::min(wait, round_up(m_peers.at(address).dial_after - now));
    }
    return static_cast<int>(std::max(wait, core::milliseconds(0)).count());
}

void peer_loop::drain_mailbox()
{
    mailbox_contents taken = m_mailbox.take();
    m_is_stopping = taken.is_stopped;
    if (taken.fleet_keys)
    {
        m_settings.fleet_keys = std::move(*taken.fleet_keys);
    }
    for (outgoing_frame& one : taken.frames)
    {
        peer_state& peer = m_peers[one.to];
        send_to(peer, std::move(one));
    }
    for (const connection_number incomplete : taken.incomplete)
    {
        if (m_connections.contains(incomplete.get()))
        {
            close(incomplete.get(), nullptr);
        }
    }
}

void peer_loop::send_to(peer_state& peer, outgoing_frame item)
{
    const connection_id required = item.required.get();
    if (required != 0 && !m_connections.contains(required))
    {
        m_counters.add(&peer_counters::message_undeliverable);
        return;
    }
    if (required == 0 && peer.current == 0)
    {
        queue_until_connected(peer, std::move(item));
        return;
    }
    send_on(required != 0 ? required : peer.current, item);
}

void peer_loop::send_on(connection_id id, const outgoing_frame& item)
{
    const peer_connection& connection = m_connections.at(id);
    if (item.required_incarnation &&
        *item.required_incarnation != connection.session().peer().node.incarnation)
    {
        m_counters.add(&peer_counters::message_wrong_incarnation);
        return;
    }
    if (connection.queued() + item.frame.size() <= m_settings.max_write_queue.count)
    {
        write_frame(id, item);
        if (item.kind == frame_kind::call)
        {
            m_handler.on_call_sent(identity_of(id), item.number);
        }
        return;
    }
    m_counters.add(&peer_counters::write_queue_full);
    if (item.kind != frame_kind::other)
    {
        drop(item, drop_cause::queue_full);
        return;
    }
    m_handler.on_connection_error(connection.remote(),
                                  {core::error_code::connection_closed,
                                   "the write queue of a connection is full",
                                   "check whether the peer or the link is overloaded"});
    close(id, nullptr);
}

/// The peer of an open connection.
peer_identity peer_loop::identity_of(connection_id id) const
{
    peer_identity peer = m_connections.at(id).session().peer();
    peer.connection = connection_number{id};
    return peer;
}

bool peer_loop::is_connected_to(const core::address& peer) const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [&](const auto& each)
                       {
                           const peer_session& session = each.second.session();
                           return session.is_open() && session.peer().node.address == peer;
                       });
}

void peer_loop::queue_until_connected(peer_state& peer, outgoing_frame item)
{
    if (peer.pending_bytes + item.frame.size() > m_settings.max_write_queue.count)
    {
        m_counters.add(&peer_counters::write_queue_full);
        drop(item, drop_cause::queue_full);
        return;
    }
    peer.pending_bytes += item.frame.size();
    m_to_dial.insert(item.to);
    peer.pending.push_back(std::move(item));
}

/// Reports a frame that was not written, if its sender waits for an answer.
void peer_loop::drop(const outgoing_frame& item, drop_cause cause)
{
    if (item.kind == frame_kind::call)
    {
        m_handler.on_call_dropped(item.to, item.number, cause);
    }
}

void peer_loop::write_frame(connection_id id, const outgoing_frame& item)
{
    peer_connection& connection = m_connections.at(id);
    connection.queue(item.frame);
    m_to_write.insert(id);
    connection.session().on_sent(m_time.now(), item.kind != frame_kind::load_report);
    schedule_timer(id);
    m_counters.add(&peer_counters::frames_sent);
}

void peer_loop::flush_pending(peer_state& peer)
{
    std::deque<outgoing_frame> pending = std::exchange(peer.pending, {});
    peer.pending_bytes = 0;
    for (outgoing_frame& one : pending)
    {
        send_to(peer, std::move(one));
    }
}

void peer_loop::dial_pending_peers()
{
    const core::time_point now = m_time.now();
    for (auto at = m_to_dial.begin(); at != m_to_dial.end();)
    {
        const core::address address = *at;
        peer_state& peer = m_peers[address];
        const bool is_unconnected = peer.current == 0 && peer.dialing == 0;
        if (is_unconnected && !peer.pending.empty() && now < peer.dial_after)
        {
            ++at;
            continue;
        }
        at = m_to_dial.erase(at);
        if (is_unconnected && !peer.pending.empty())
        {
            start_dialing(address, peer);
        }
    }
}

void peer_loop::remove_idle_peers()
{
    const core::time_point now = m_time.now();
    if (now < m_next_removal)
    {
        return;
    }
    m_next_removal = now + removal_interval;
    std::erase_if(m_peers,
                  [now](const auto& entry)
                  {
                      const peer_state& peer = entry.second;
                      const bool is_idle =
                          peer.current == 0 && peer.dialing == 0 && peer.pending.empty();
                      return is_idle && now > peer.dial_after + peer_state_retention;
                  });
}

void peer_loop::start_dialing(const core::address& to, peer_state& peer)
{
    core::result<unique_fd> socket = dial(to);
    if (!socket)
    {
        on_dial_failed(to, peer, socket.error());
        return;
    }
    m_counters.add(&peer_counters::connections_dialed);
    peer.dialing = add_connection(std::move(socket).value(), session_role::dialer, to);
}

void peer_loop::on_dial_failed(const core::address& to, peer_state& peer, const core::error& cause)
{
    m_counters.add(&peer_counters::connect_failed);
    m_handler.on_connection_error(to, cause);
    peer.dialing = 0;
    peer.backoff =
        std::clamp(peer.backoff * 2, m_settings.initial_reconnect_delay,
                   std::max(m_settings.initial_reconnect_delay, m_settings.max_reconnect_delay));
    // Jitter over half of the backoff spreads the reconnects of many nodes to a restarted peer.
    const auto half = static_cast<std::uint64_t>(peer.backoff.count()) / 2;
    const core::milliseconds wait = peer.backoff - core::milliseconds(m_random.below(half + 1));
    peer.dial_after = m_time.now() + wait;
    if (peer.pending.empty())
    {
        return;
    }
    m_counters.add(&peer_counters::message_undeliverable, peer.pending.size());
    for (const outgoing_frame& unsent : std::exchange(peer.pending, {}))
    {
        drop(unsent, drop_cause::no_connection);
    }
    peer.pending_bytes = 0;
    m_handler.on_unreachable(to);
}

void peer_loop::accept_all()
{
    for (int i = 0; i < max_accepts_per_step; ++i)
    {
        auto [socket, remote] = accept_from(m_listener.get());
        if (socket.get() < 0)
        {
            // Without free descriptors the listener stays readable and poll() would return at once.
            m_is_accept_paused = i == 0;
            if (m_is_accept_paused)
            {
                watch(m_listener.get(), listener_event, 0);
            }
            return;
        }
        evict_unknown_peer();
        if (m_connections.size() >= m_settings.max_connections)
        {
            m_counters.add(&peer_counters::connection_limit);
            continue;
        }
        m_counters.add(&peer_counters::connections_accepted);
        add_connection(std::move(socket), session_role::listener, remote);
    }
}

void peer_loop::evict_unknown_peer()
{
    const auto is_unknown_peer = [](const auto& item)
    { return item.second.role() == session_role::listener && !item.second.session().is_open(); };
    const auto unknown_peers =
        std::count_if(m_connections.begin(), m_connections.end(), is_unknown_peer);
    const bool is_full = m_connections.size() >= m_settings.max_connections;
    if (unknown_peers == 0 ||
        (static_cast<std::size_t>(unknown_peers) < max_unknown_peers && !is_full))
    {
        return;
    }
    // The oldest one (lowest id) has had the most time to authenticate.
    m_counters.add(&peer_counters::connection_limit);
    close(std::find_if(m_connections.begin(), m_connections.end(), is_unknown_peer)->first,
          nullptr);
}

peer_loop::connection_id peer_loop::add_connection(unique_fd fd, session_role role,
                                                   core::address remote)
{
    const connection_id id = ++m_last_id;
    const core::address dialed = role == session_role::dialer ? remote : core::address();
    peer_session session(role, m_settings, dialed, core::random_bytes(nonce_bytes), m_time.now());
    const session_output first = session.start();
    const auto added = m_connections
                           .emplace(id, peer_connection(std::move(fd), role, std::move(remote),
                                                        std::move(session), m_counters))
                           .first;
    added->second.queue(first.bytes);
    m_to_write.insert(id);
    schedule_timer(id);
    return id;
}

void peer_loop::on_events(const socket_event& event)
{
    const auto found = m_connections.find(event.id);
    if (found == m_connections.end())
    {
        return;
    }
    m_to_write.insert(event.id);
    if (!found->second.finish_connecting())
    {
        close(event.id, nullptr);
        return;
    }
    if ((event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
    {
        apply(event.id, found->second.read_some(m_time));
        // A frame of a call makes the next heartbeat due earlier.
        if (m_connections.contains(event.id))
        {
            schedule_timer(event.id);
        }
    }
}

void peer_loop::apply(connection_id id, session_output output)
{
    m_connections.at(id).queue(output.bytes);
    m_to_write.insert(id);
    const peer_identity peer = identity_of(id);
    if (output.has_opened)
    {
        on_opened(id);
    }
    m_counters.add(&peer_counters::frames_received, output.received.size());
    if (!output.received.empty())
    {
        m_handler.on_messages(peer, std::move(output.received));
    }
    // Sending pending frames may have filled the write queue and closed the connection already.
    if (output.failure && m_connections.contains(id))
    {
        close(id, &*output.failure);
    }
}

void peer_loop::on_opened(connection_id id)
{
    const core::node_id node = m_connections.at(id).session().peer().node;
    m_counters.add(&peer_counters::connections_opened);
    close_superseded(id);
    peer_state& peer = m_peers[node.address];
    peer.backoff = core::milliseconds(0);
    if (peer.dialing == id)
    {
        peer.dialing = 0;
    }
    if (peer.current == 0)
    {
        // Sending on the same connection until it closes keeps messages in order.
        peer.current = id;
    }
    schedule_timer(id);
    publish_connected();
    flush_pending(peer);
}

void peer_loop::close_superseded(connection_id newest)
{
    const peer_connection& opened = m_connections.at(newest);
    const core::node_id node = opened.session().peer().node;
    std::vector<connection_id> superseded;
    for (const auto& [id, other] : m_connections)
    {
        const core::node_id& other_node = other.session().peer().node;
        if (id == newest || !other.session().is_open() || other_node.address != node.address)
        {
            continue;
        }
        // A peer dials again only after it has given up its previous connection.
        const bool is_dialed_again =
            other.role() == session_role::listener && opened.role() == session_role::listener;
        if (is_dialed_again || other_node.incarnation != node.incarnation)
        {
            superseded.push_back(id);
        }
    }
    for (const connection_id id : superseded)
    {
        close(id, nullptr);
    }
}

void peer_loop::check_timers()
{
    const core::time_point now = m_time.now();
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const connection_id id = m_timers.begin()->second;
        cancel_timer(id);
        if (m_connections.at(id).session().due_at() <= now)
        {
            apply(id, m_connections.at(id).session().on_timer(now));
        }
        if (m_connections.contains(id))
        {
            schedule_timer(id);
        }
    }
}

void peer_loop::write_all()
{
    for (const connection_id id : std::exchange(m_to_write, {}))
    {
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
        {
            continue;
        }
        if (!found->second.write_some())
        {
            const session_output ended = found->second.session().on_closed();
            close(id, &*ended.failure);
            continue;
        }
        publish_unsent(id, found->second.queued());
        if (!update_interest(id))
        {
            m_handler.on_connection_error(found->second.remote(),
                                          {core::error_code::connection_failed,
                                           "the events of a connection cannot be watched",
                                           "raise the limit of open files"});
            close(id, nullptr);
        }
    }
}

void peer_loop::close(connection_id id, const session_failure* failure)
{
    const session_failure cause = failure == nullptr ? session_failure{} : *failure;
    const auto node = m_connections.extract(id);
    cancel_timer(id);
    m_interests.erase(id);
    publish_unsent(id, 0);
    const peer_connection& closed = node.mapped();
    m_counters.add(&peer_counters::connections_closed);
    if (failure != nullptr)
    {
        m_counters.add(counter_of(cause.fault));
    }
    if (cause.fault != session_fault::closed)
    {
        m_handler.on_connection_error(closed.remote(), cause.cause);
    }
    if (closed.session().is_open())
    {
        peer_identity lost = closed.session().peer();
        lost.connection = connection_number{id};
        on_connection_lost(id, lost);
        return;
    }
    if (closed.role() == session_role::dialer)
    {
        on_dial_failed(closed.remote(), m_peers[closed.remote()],
                       {core::error_code::connection_failed,
                        "no connection to " + closed.remote().get() + " could be opened",
                        "check that the node runs and that the route is open"});
    }
}

void peer_loop::on_connection_lost(connection_id id, const peer_identity& lost)
{
    peer_state& peer = m_peers[lost.node.address];
    if (peer.current == id)
    {
        peer.current = 0;
        for (const auto& [other_id, other] : m_connections)
        {
            if (other.session().is_open() && other.session().peer().node == lost.node)
            {
                peer.current = other_id;
            }
        }
    }
    publish_connected();
    m_handler.on_connection_lost(lost);
    if (!is_connected_to(lost.node.address))
    {
        m_handler.on_peer_lost(lost);
    }
}

/// Publishes the bytes that wait on a connection, if they are or were more than a few.
void peer_loop::publish_unsent(connection_id id, std::size_t bytes)
{
    constexpr std::size_t least_published = 262'144;
    const bool is_much = bytes >= least_published;
    if (!is_much && m_has_unsent.erase(id) == 0)
    {
        return;
    }
    if (is_much)
    {
        m_has_unsent.insert(id);
    }
    m_mailbox.set_unsent(connection_number{id}, is_much ? bytes : 0);
}

void peer_loop::publish_connected()
{
    std::map<core::node_id, peer_identity> open;
    for (const auto& [id, connection] : m_connections)
    {
        if (connection.session().is_open())
        {
            open.emplace(connection.session().peer().node, connection.session().peer());
        }
    }
    std::vector<peer_identity> peers;
    peers.reserve(open.size());
    for (const auto& [node, peer] : open)
    {
        peers.push_back(peer);
    }
    m_mailbox.set_connected(std::move(peers));
}

void peer_loop::finish_writing()
{
    // Uses real time, because a test's clock may not advance.
    const auto until = std::chrono::steady_clock::now() + stop_timeout;
    while (std::chrono::steady_clock::now() < until)
    {
        std::vector<pollfd> sockets;
        for (const auto& [id, connection] : m_connections)
        {
            if (connection.session().is_open() && connection.queued() > 0)
            {
                sockets.push_back({connection.fd(), POLLOUT, 0});
            }
        }
        if (sockets.empty())
        {
            return;
        }
        ::poll(sockets.data(), sockets.size(), static_cast<int>(max_poll_wait.count()));
        for (auto& [id, connection] : m_connections)
        {
            connection.write_some();
        }
    }
}

} // namespace snipeplank::wire
