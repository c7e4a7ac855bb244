#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <boost/outcome/try.hpp>

#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "counter_set.hpp"
#include "mailbox.hpp"
#include "peer_loop.hpp"
#include "socket.hpp"

namespace snipeplank::wire
{

namespace
{

/// Labels a frame with what the loop must know of its message.
void label(outgoing_frame& item, const message& msg)
{
    if (std::holds_alternative<fleet::gossip>(msg))
    {
        item.kind = frame_kind::load_report;
    }
    if (const auto* what = std::get_if<call>(&msg))
    {
        item.kind = frame_kind::call;
        item.number = what->number;
    }
}

class tcp_peer_network final : public peer_network
{
  public:
    explicit tcp_peer_network(const clock& time) : m_time(time) {}
    ~tcp_peer_network() override { tcp_peer_network::stop(); }
    tcp_peer_network(const tcp_peer_network&) = delete;
    tcp_peer_network& operator=(const tcp_peer_network&) = delete;

    core::result<core::node_id> start(peer_settings settings, peer_handler& handler) override
    {
        if (settings.fleet_keys.empty())
        {
            return core::fail(core::error_code::peer_unauthenticated, "no fleet key is configured",
                              "set fleet_keys to one key, or two while keys are rotated");
        }
        BOOST_OUTCOME_TRY(listener, listen_on(settings.listen));
        if (settings.self.address.get().ends_with(":0"))
        {
            settings.self.address = bound_address(listener.get());
        }
        const core::node_id self = settings.self;
        m_self = self.address;
        m_loop.emplace(std::move(settings), std::move(listener), handler, m_mailbox, m_counters,
                       m_time);
        if (!m_loop->is_ready())
        {
            m_loop.reset();
            return core::fail(core::error_code::connection_failed,
                              "the sockets between nodes cannot be watched",
                              "raise the limit of open files");
        }
        m_thread = std::thread([this] { m_loop->run(); });
        return self;
    }

    bool send(const core::address& to, const message& msg) override
    {
        return put({to, std::nullopt, {}}, msg);
    }

    bool reply(const core::node_id& to, const message& msg) override
    {
        return put({to.address, to.incarnation, {}}, msg);
    }

    bool answer(const peer_identity& to, const message& msg) override
    {
        outgoing_frame item{to.node.address, to.node.incarnation, {}};
        item.required = to.connection;
        return put(std::move(item), msg);
    }

    std::size_t unsent(connection_number connection) const override
    {
        return m_mailbox.unsent(connection);
    }

    void set_fleet_keys(std::vector<std::string> keys) override
    {
        if (!keys.empty())
        {
            m_mailbox.put_keys(std::move(keys));
        }
    }

    std::vector<peer_identity> connected() const override { return m_mailbox.connected(); }

    peer_counters counters() const override { return m_counters.read(); }

    void stop() override
    {
        m_mailbox.stop();
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

  private:
    bool put(outgoing_frame item, const message& msg)
    {
        if (item.to == m_self)
        {
            m_counters.add(&peer_counters::message_undeliverable);
            return false;
        }
        core::result<std::string> frame = encode(msg);
        if (!frame)
        {
            m_counters.add(&peer_counters::message_too_large);
            return false;
        }
        item.frame = std::move(frame).value();
        label(item, msg);
        if (!m_mailbox.put(std::move(item)))
        {
            m_counters.add(&peer_counters::mailbox_full);
            return false;
        }
        return true;
    }

    const clock& m_time;
    core::address m_self;
    mailbox m_mailbox;
    counter_set m_counters;
    std::optional<peer_loop> m_loop;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<peer_network> make_peer_network(const clock& time)
{
    return std::make_unique<tcp_peer_network>(time);
}

std::unique_ptr<peer_network> make_peer_network()
{
    static const system_clock time;
    return make_peer_network(time);
}

} // namespace snipeplank::wire
