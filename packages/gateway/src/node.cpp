#include <snipeplank/gateway/admin_server.hpp>
#include <snipeplank/gateway/caller_server.hpp>
#include <snipeplank/gateway/fleet_driver.hpp>
#include <snipeplank/gateway/node.hpp>
#include <snipeplank/gateway/peer_client.hpp>
#include <snipeplank/gateway/peer_server.hpp>
#include <snipeplank/log/process_log.hpp>

#include <spdlog/spdlog.h>

#include <chrono>
#include <condition_variable>
#include <string>
#include <thread>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

/// A connection may need one worker for an attempt and one for its hedge, and calls of peers use
/// the same pool.
constexpr std::size_t workers_per_connection = 3;

constexpr core::milliseconds drain_poll_interval{20};

/// A leaving node serves for at least this long, so that callers and peers are notified first.
constexpr core::milliseconds min_drain_time{1'000};
constexpr core::milliseconds handover_timeout{3'000};
constexpr core::milliseconds expiry_interval{1'000};

} // namespace

/// Components of a node, in the order of construction.
struct node::parts final : wire::peer_handler
{
    explicit parts(const settings::node_settings& with)
        : settings(with), incarnation(core::system_seed()), self{{with.peer_address, incarnation},
                                                                 with.region,
                                                                 with.zone},
          dispatch({with.caller_address, with.region, with.zone}),
          workers(with.max_connections * workers_per_connection),
          upstreams(make_http_upstream_client(counters)), network(wire::make_peer_network()),
          regions(self, *network, view, numbers),
          calls({config, dispatch, *upstreams, regions, workers, counters}),
          runner(config, dispatch, *upstreams, counters),
          tickets({self, *network, config, view, numbers, runner, workers, log, counters}),
          call_server({self, *network, config, calls, workers, log, counters}),
          fleet({settings, self.node, *network, config, view, dispatch, counters}),
          callers(make_caller_server({settings,
                                      {with.admin_address, incarnation},
                                      config,
                                      view,
                                      is_draining,
                                      dispatch,
                                      calls,
                                      tickets,
                                      numbers,
                                      log,
                                      counters})),
          admin(make_admin_server({with.admin_address, log, counters,
                                   [this] { return fleet.status_json(); },
                                   [this] { return view.get()->is_ready && !is_draining; },
                                   [this] { begin_drain(); }, [this] { refresh_gauges(); }}))
    {
    }

    void on_message(const wire::peer_identity& from, wire::message received) override
    {
        if (auto* gossip = std::get_if<fleet::gossip>(&received))
            fleet.on_message(from.node.address, std::move(*gossip));
        else if (auto* request = std::get_if<fleet::config_request>(&received))
            fleet.on_message(from.node.address, std::move(*request));
        else if (auto* reply = std::get_if<fleet::config_reply>(&received))
            fleet.on_message(from.node.address, std::move(*reply));
        else if (auto* call = std::get_if<wire::call>(&received))
            call_server.on_call(from, std::move(*call));
        else if (!tickets.on_message(from, received) && !on_call_frame(from, received))
            counters.count(counter::frames_dropped);
    }

    /// Handles frames of calls without a ticket. Returns false for an unknown or finished call.
    bool on_call_frame(const wire::peer_identity& from, const wire::message& received)
    {
        if (const auto* head = std::get_if<wire::call_head>(&received))
            return regions.on_head(from, *head);
        if (const auto* chunk = std::get_if<wire::call_chunk>(&received))
            return regions.on_chunk(from, *chunk);
        if (const auto* end = std::get_if<wire::call_end>(&received))
            return regions.on_end(from, *end);
        if (const auto* refused = std::get_if<wire::call_refused>(&received))
            return regions.on_refused(from, *refused);
        if (const auto* cancel = std::get_if<wire::cancel>(&received))
        {
            call_server.on_cancel(from.node, cancel->number);
            return true;
        }
        return false;
    }

    void on_connection_lost(const wire::peer_identity& peer) override
    {
        regions.on_connection_lost(peer.node.address);
        call_server.on_connection_lost(peer.node);
        tickets.on_connection_lost(peer.node.address);
    }

    void on_unreachable(const core::address& peer) override
    {
        regions.on_unreachable(peer);
        tickets.on_unreachable(peer);
    }

    wire::peer_settings peer_settings() const
    {
        wire::peer_settings peers;
        peers.self = self.node;
        peers.region = settings.region;
        peers.zone = settings.zone;
        peers.listen = settings.peer_listen;
        peers.fleet_keys = settings.fleet_keys;
        return peers;
    }

    /// Copies the counters of the peer network into the metrics when these are read.
    void refresh_gauges()
    {
        fleet.refresh_gauges();
        counters.set_gauge("snipeplank_log_lines_dropped",
                           static_cast<double>(log::standard_output().dropped()));
        counters.set_gauge("snipeplank_log_lines_left_out", static_cast<double>(log::left_out()));
        const wire::peer_counters peers = network->counters();
        const std::pair<const char*, std::uint64_t> values[] = {
            {"frames_sent", peers.frames_sent},
            {"frames_received", peers.frames_received},
            {"bytes_sent", peers.bytes_sent},
            {"bytes_received", peers.bytes_received},
            {"connections_accepted", peers.connections_accepted},
            {"connections_dialed", peers.connections_dialed},
            {"connections_closed", peers.connections_closed},
            {"frame_truncated", peers.frame_truncated},
            {"frame_too_large", peers.frame_too_large},
            {"frame_unverified", peers.frame_unverified},
            {"frame_wrong_version", peers.frame_wrong_version},
            {"frame_unknown_message", peers.frame_unknown_message},
            {"frame_unexpected", peers.frame_unexpected},
            {"unauthenticated", peers.peer_unauthenticated},
            {"silent", peers.peer_silent},
            {"handshake_timeout", peers.handshake_timeout},
            {"write_queue_full", peers.write_queue_full},
            {"connect_failed", peers.connect_failed},
            {"connection_limit", peers.connection_limit},
            {"message_undeliverable", peers.message_undeliverable},
            {"message_too_large", peers.message_too_large},
            {"message_wrong_incarnation", peers.message_wrong_incarnation},
        };
        for (const auto& [name, value] : values)
        {
            counters.set_gauge("snipeplank_peer_" + std::string(name) + "_total",
                               static_cast<double>(value));
        }
    }

    void begin_drain()
    {
        if (is_draining.exchange(true))
            return;
        spdlog::info(
            "graceful shutdown started: new requests are refused, requests in flight continue");
        fleet.begin_leaving();
        const std::lock_guard lock(drain_mutex);
        drain_begun.notify_all();
    }

    std::size_t in_flight() const
    {
        return callers->in_flight() + tickets.in_flight() + call_server.in_flight();
    }

    void run_expiry()
    {
        std::unique_lock lock(drain_mutex);
        while (!is_stopping)
        {
            drain_begun.wait_for(lock, expiry_interval, [&] { return is_stopping; });
            tickets.expire();
        }
    }

    const settings::node_settings settings;
    core::incarnation incarnation;
    node_location self;
    metrics counters;
    decision_log log;
    config_cell config;
    fleet_view_cell view;
    call_number_generator numbers;
    std::atomic<bool> is_draining{false};
    dispatch_guard dispatch;
    worker_pool workers;
    std::unique_ptr<upstream_client> upstreams;
    std::unique_ptr<wire::peer_network> network;
    peer_client regions;
    call_service calls;
    ticket_runner runner;
    ticket_service tickets;
    peer_server call_server;
    fleet_driver fleet;
    std::unique_ptr<caller_server> callers;
    std::unique_ptr<admin_server> admin;

    std::mutex drain_mutex;
    std::condition_variable drain_begun;
    bool is_stopping = false;
    std::thread expiry;
};

node::node(const settings::node_settings& settings) : m_parts(std::make_unique<parts>(settings)) {}

node::~node()
{
    stop();
}

core::result<void> node::start()
{
    auto bound = m_parts->network->start(m_parts->peer_settings(), *m_parts);
    if (!bound)
        return boost::outcome_v2::failure(bound.error());
    m_parts->fleet.start();
    m_parts->expiry = std::thread([this] { m_parts->run_expiry(); });
    if (auto started = m_parts->admin->start(); !started)
        return started;
    return m_parts->callers->start();
}

void node::begin_drain()
{
    m_parts->begin_drain();
}

void node::wait_for_drain()
{
    {
        std::unique_lock lock(m_parts->drain_mutex);
        m_parts->drain_begun.wait(lock, [&] { return m_parts->is_draining.load(); });
    }
    std::this_thread::sleep_for(min_drain_time);
    for (;;)
    {
        while (m_parts->in_flight() > 0 || !m_parts->call_server.close_if_idle())
        {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        if (m_parts->tickets.hand_over(handover_timeout) || m_parts->in_flight() == 0)
            break;
    }
}

void node::stop()
{
    if (!m_parts->expiry.joinable())
        return;
    m_parts->callers->stop();
    m_parts->fleet.stop();
    m_parts->network->stop();
    m_parts->workers.shutdown();
    m_parts->admin->stop();
    {
        const std::lock_guard lock(m_parts->drain_mutex);
        m_parts->is_stopping = true;
        m_parts->drain_begun.notify_all();
    }
    m_parts->expiry.join();
}

} // namespace snipeplank::gateway
