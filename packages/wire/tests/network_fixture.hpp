/// @file
/// Nodes on loopback with a manual clock, a raw TCP client and a relay that stops forwarding.

#ifndef SNIPEPLANK_WIRE_TESTS_NETWORK_FIXTURE_HPP
#define SNIPEPLANK_WIRE_TESTS_NETWORK_FIXTURE_HPP

#include <snipeplank/wire/peer_network.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipeplank::wire::tests
{

/// @brief Clock that advances only when the test says so.
class manual_clock final : public clock
{
  public:
    core::time_point now() const override { return core::time_point(core::duration(m_ticks)); }
    void advance(core::duration by) { m_ticks += by.count(); }

  private:
    std::atomic<core::duration::rep> m_ticks{0};
};

/// @brief Polls a condition until it holds. The limit only ends a hung test; no check depends on
/// elapsed time.
template <typename Condition>
bool eventually(Condition condition)
{
    constexpr int max_polls = 2'000;
    constexpr std::chrono::milliseconds pause{5};
    for (int i = 0; i < max_polls; ++i)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

/// @brief Records the events that a node reports.
class recording_handler final : public peer_handler
{
  public:
    void on_message(const peer_identity& from, message received) override
    {
        eventually([&] { return !m_is_blocked; });
        const std::lock_guard lock(m_mutex);
        m_messages.emplace_back(from, std::move(received));
    }

    void on_connection_lost(const peer_identity& peer) override
    {
        const std::lock_guard lock(m_mutex);
        m_lost.push_back(peer.node);
        m_lost_connections.push_back(peer.connection);
    }

    void on_peer_lost(const peer_identity& peer) override
    {
        const std::lock_guard lock(m_mutex);
        m_lost_peers.push_back(peer.node);
    }

    void on_call_sent(const peer_identity& to, core::call_number) override
    {
        const std::lock_guard lock(m_mutex);
        m_call_connections.push_back(to.connection);
    }

    void on_unreachable(const core::address& peer) override
    {
        const std::lock_guard lock(m_mutex);
        m_unreachable.push_back(peer);
    }

    void on_call_dropped(const core::address&, core::call_number number, drop_cause) override
    {
        const std::lock_guard lock(m_mutex);
        m_dropped.push_back(number);
    }

    void on_connection_error(const core::address&, const core::error& cause) override
    {
        const std::lock_guard lock(m_mutex);
        m_errors.push_back(cause);
    }

    /// Blocks the I/O thread at the next message, for at most 10 s.
    void set_blocked(bool is_blocked) { m_is_blocked = is_blocked; }

    std::vector<std::pair<peer_identity, message>> messages() const { return read(m_messages); }
    std::vector<core::node_id> lost() const { return read(m_lost); }
    std::vector<connection_number> lost_connections() const { return read(m_lost_connections); }
    std::vector<core::node_id> lost_peers() const { return read(m_lost_peers); }
    /// The connection of each call that was sent.
    std::vector<connection_number> call_connections() const { return read(m_call_connections); }
    std::vector<core::address> unreachable() const { return read(m_unreachable); }
    std::vector<core::call_number> dropped() const { return read(m_dropped); }
    std::vector<core::error> errors() const { return read(m_errors); }

  private:
    template <typename List>
    List read(const List& list) const
    {
        const std::lock_guard lock(m_mutex);
        return list;
    }

    std::atomic<bool> m_is_blocked{false};
    mutable std::mutex m_mutex;
    std::vector<std::pair<peer_identity, message>> m_messages;
    std::vector<core::node_id> m_lost;
    std::vector<connection_number> m_lost_connections;
    std::vector<core::node_id> m_lost_peers;
    std::vector<connection_number> m_call_connections;
    std::vector<core::address> m_unreachable;
    std::vector<core::call_number> m_dropped;
    std::vector<core::error> m_errors;
};

/// @brief A peer network with its settings and a recording handler.
struct test_node
{
    explicit test_node(const clock& time, std::vector<std::string> keys = {"key"},
                       std::uint64_t incarnation = 1)
    {
        settings.self = {core::address{"127.0.0.1:0"}, core::incarnation{incarnation}};
        settings.listen = settings.self.address;
        settings.region = core::region_id{"murtal"};
        settings.zone = core::zone_id{"murtal-a"};
        settings.fleet_keys = std::move(keys);
        network = make_peer_network(time);
    }
    ~test_node() { network->stop(); }
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;

    test_node& start()
    {
        id = network->start(settings, handler).value();
        return *this;
    }

    const core::address& address() const { return id.address; }

    peer_settings settings;
    recording_handler handler;
    std::unique_ptr<peer_network> network;
    core::node_id id;
};

/// @brief TCP client that writes arbitrary bytes.
class raw_client
{
  public:
    explicit raw_client(const core::address& to);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void write(const std::string& bytes) const;
    void close_writing() const;

    /// @brief Reads `count` bytes, or fewer when the peer closes first.
    std::string read(std::size_t count) const;

    /// @brief Reads until the peer closes.
    std::string read_all() const { return read(std::string().max_size()); }

  private:
    int m_fd;
};

/// @brief Forwards connections to a target. After `silence`, existing connections stay open but
/// carry no more data in either direction; later connections work. `cut` closes existing
/// connections; while it is paused, nothing is accepted or forwarded.
class silent_relay
{
  public:
    /// Listens on a free port of 127.0.0.1 and forwards to the same port of 127.0.0.2.
    silent_relay();
    ~silent_relay();
    silent_relay(const silent_relay&) = delete;
    silent_relay& operator=(const silent_relay&) = delete;

    core::address address() const { return core::address{"127.0.0.1:" + m_port}; }
    core::address target() const { return core::address{"127.0.0.2:" + m_port}; }
    void silence() { ++m_silence_count; }
    void cut() { ++m_cut_count; }
    void set_paused(bool is_paused) { m_is_paused = is_paused; }

  private:
    struct pipe;
    void run();

    int m_listener;
    std::string m_port;
    std::atomic<int> m_silence_count{0};
    std::atomic<int> m_cut_count{0};
    std::atomic<bool> m_is_paused{false};
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
};

} // namespace snipeplank::wire::tests

#endif
