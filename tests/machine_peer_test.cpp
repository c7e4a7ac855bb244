/// Calls of another region's node, which the test itself plays, at a node on a machine of the
/// users' platform.

#include <snipeplank/wire/peer_network.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <mutex>
#include <optional>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank;
using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

/// The key that all nodes on the platform have.
constexpr char fleet_key[] = "736e697065706c616e6b2d6f6e2d7468652d706c6174666f726d2d6e6574303031";
const core::call_number only_call{1};

/// Records what a node answers, and whether connections to it are lost.
class recording_handler final : public wire::peer_handler
{
  public:
    void on_message(const wire::peer_identity&, wire::message received) override
    {
        const std::lock_guard lock(m_mutex);
        m_messages.push_back(std::move(received));
    }

    void on_connection_lost(const wire::peer_identity&) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_lost;
    }

    void on_unreachable(const core::address&) override {}

    int lost() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lost;
    }

    /// The refusal of the call, if it was refused.
    std::optional<policy::refusal> refusal() const
    {
        const std::lock_guard lock(m_mutex);
        for (const wire::message& each : m_messages)
        {
            const auto* refused = std::get_if<wire::call_refused>(&each);
            if (refused != nullptr && refused->number == only_call)
                return refused->why;
        }
        return std::nullopt;
    }

  private:
    mutable std::mutex m_mutex;
    std::vector<wire::message> m_messages;
    int m_lost = 0;
};

/// A node of another region that is always heard and never gives up a silent connection.
struct test_peer
{
    explicit test_peer(const std::string& region)
    {
        wire::peer_settings settings;
        settings.self = {core::address{"127.0.0.99:0"}, core::incarnation{1}};
        settings.listen = settings.self.address;
        settings.region = core::region_id{region};
        settings.zone = core::zone_id{region + "-a"};
        settings.fleet_keys = {fleet_key};
        settings.heartbeat_interval = 100ms;
        settings.silence_timeout = 60s;
        self = {settings.region, settings.zone, {}};
        self.node = network->start(std::move(settings), handler).value();
    }
    ~test_peer() { network->stop(); }
    test_peer(const test_peer&) = delete;
    test_peer& operator=(const test_peer&) = delete;

    /// Forwards a request to a node.
    void send_call(const machine_node& node, const http_request& what, core::milliseconds remaining)
    {
        wire::call sent;
        sent.number = only_call;
        sent.request.request_id = "1";
        sent.request.remaining = remaining;
        sent.request.path = {self};
        sent.request.method = what.method;
        sent.request.target = what.path;
        sent.request.headers.assign(what.headers.begin(), what.headers.end());
        CHECK_TRUE(network->send(core::address{node.peer}, sent));
    }

    recording_handler handler;
    std::unique_ptr<wire::peer_network> network = wire::make_peer_network();
    wire::hop self;
};

int runs_of(const standin& server, const std::string& id)
{
    return machine_fleet::seen(server)["runs"].value(id, 0);
}

} // namespace

TEST_GROUP_BASE(machine_peer, machine_test){};

// Fails when a stopping node takes a call of another region so late that its end cuts the answer,
// instead of refusing it as not run.
TEST(machine_peer, a_stopping_node_refuses_late_calls_of_other_regions)
{
    standin& shop = start_with("i-s", "shop", "/read/x");
    machine_fleet::set_fault(shop, "mute");
    http_exchange waiting(fleet->node(0).callers,
                          machine_fleet::request("GET", "/read/x", "waiting", 20'000));
    wait_until("the server runs the request", [&] { return runs_of(shop, "waiting") > 0; });
    test_peer peer(remote);
    fleet->node(0).program->send_signal(SIGTERM);
    std::this_thread::sleep_for(3s); // new requests of clients are refused by now
    peer.send_call(fleet->node(0), machine_fleet::request("GET", "/read/x", "late"), 5s);
    wait_until("the call is refused or runs",
               [&] { return peer.handler.refusal() || runs_of(shop, "late") > 0; });
    LONGS_EQUAL(0, runs_of(shop, "late"));
    const auto refused = peer.handler.refusal();
    CHECK_TRUE(refused.has_value() && refused->executed == policy::execution::no);
}

// Fails when the process of a node crashes at the end of its grace, because a call of another
// region is still in flight.
TEST(machine_peer, a_stop_with_calls_of_other_regions_in_flight_ends_cleanly)
{
    standin& shop = start_with("i-s", "shop", "/read/x");
    machine_fleet::set_fault(shop, "mute");
    test_peer peer(remote);
    peer.send_call(fleet->node(0), machine_fleet::request("POST", "/book/x", "long"), 20s);
    wait_until("the server runs the call", [&] { return runs_of(shop, "long") > 0; });
    fleet->node(0).program->send_signal(SIGTERM);
    LONGS_EQUAL(0, fleet->node(0).program->wait());
}

// Fails when a node that stops leaves the calls of another region in flight without a last answer,
// so that they end with the loss of the connection, or says of one at work that it has not run.
TEST(machine_peer, a_stopping_node_ends_calls_of_other_regions_with_a_refusal)
{
    standin& shop = start_with("i-s", "shop", "/read/x");
    machine_fleet::set_fault(shop, "mute");
    test_peer peer(remote);
    peer.send_call(fleet->node(0), machine_fleet::request("POST", "/book/x", "long"), 20s);
    wait_until("the server runs the call", [&] { return runs_of(shop, "long") > 0; });
    fleet->node(0).program->send_signal(SIGTERM);
    LONGS_EQUAL(0, fleet->node(0).program->wait());
    wait_until("the connection is closed", [&] { return peer.handler.lost() > 0; });
    const auto refused = peer.handler.refusal();
    CHECK_TRUE(refused.has_value() && refused->executed == policy::execution::unknown);
}

// Fails when a node that was suspended for some seconds drops the calls of a peer as silent,
// although what the peer has sent meanwhile waits in its socket.
TEST(machine_peer, a_suspended_node_reads_its_peers_before_it_counts_them_as_silent)
{
    start_with("i-s", "shop", "/read/x");
    test_peer peer(remote);
    peer.network->send(core::address{fleet->node(0).peer}, wire::cancel{only_call, {}});
    wait_until("the peer is connected", [&] { return !peer.network->connected().empty(); });
    fleet->node(0).program->pause();
    std::this_thread::sleep_for(4s);
    fleet->node(0).program->resume();
    std::this_thread::sleep_for(1s);
    LONGS_EQUAL(0, peer.handler.lost());
}
