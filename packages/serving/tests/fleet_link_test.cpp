/// Tests which nodes the fleet link returns while connections between nodes are lost, without a
/// network.

#include <snipeplank/core/random.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "../src/fleet_link.hpp"
#include "unconnected_network.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;

namespace
{

const core::address self{"10.0.0.1:1"};
const core::address peer{"10.0.0.2:1"};
const core::zone_id remote_zone{"remote-a"};
const core::region_id remote{"remote"};

/// Records what is sent; nothing is connected.
class recording_network final : public unconnected_network
{
  public:
    bool send(const core::address& to, const wire::message& msg) override
    {
        sent.emplace_back(to, msg);
        return true;
    }

    std::size_t pings_to(const core::address& to) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [&](const auto& each)
                          {
                              const auto* body = std::get_if<fleet::gossip>(&each.second);
                              return each.first == to && body != nullptr &&
                                     body->kind == fleet::gossip_kind::ping;
                          }));
    }

    std::vector<std::pair<core::address, wire::message>> sent;
};

/// Keeps the list of nodes of the last notification, as a node does.
class recording_listener final : public fleet_listener
{
  public:
    void on_members_changed() override { nodes = link->live_nodes(); }
    void on_call_message(const wire::peer_identity&, const wire::message&) override
    {
        ++call_messages;
    }
    void on_peer_lost(const core::address&) override {}
    void on_connection_lost(wire::connection_number) override {}
    void on_call_sent(core::call_number, wire::connection_number) override {}
    void on_call_dropped(const core::address&, core::call_number, wire::drop_cause) override {}
    void on_peer_loads(const fleet::gossip&) override {}
    void on_evidence(const fleet::gossip& received) override
    {
        crashes_received += received.prompt_crashes.size();
    }
    void on_stream_origins(const fleet::gossip&) override {}
    bool add_evidence(fleet::gossip& message) override
    {
        message.prompt_crashes = known_crashes;
        return !known_crashes.empty();
    }
    std::vector<fleet::upstream_load> own_loads() override { return {}; }
    fleet::region_summary own_region() override { return {}; }
    core::config_version version_in_force() const override { return core::config_version{1}; }
    fleet::state_change newest_change(state_kind kind) const override
    {
        return kind == state_kind::evacuations ? evacuations : fleet::state_change{};
    }
    void on_state_told(const fleet::gossip& received) override
    {
        told = received.evacuations_change;
    }

    bool uses(const core::address& wanted) const
    {
        return std::any_of(nodes.begin(), nodes.end(),
                           [&](const live_node& each) { return each.peer == wanted; });
    }

    fleet_link* link = nullptr;
    std::vector<live_node> nodes;
    std::vector<fleet::prompt_crash> known_crashes;
    std::size_t crashes_received = 0;
    int call_messages = 0;
    fleet::state_change evacuations;
    fleet::state_change told;
};

} // namespace

TEST_GROUP(fleet_link)
{
    boost::asio::io_context loop;
    core::seeded_random random{1};
    node_options options;
    recording_listener listener;
    recording_network* network = nullptr;
    std::unique_ptr<fleet_link> link;
    const wire::peer_identity identity{{peer, core::incarnation{7}}, remote, remote_zone};

    void setup() override
    {
        options.peer_address = self;
        options.region = core::region_id{"home"};
        options.zone = core::zone_id{"home-a"};
        options.zones = {{options.zone, options.region}, {remote_zone, remote}};
        auto recorded = std::make_unique<recording_network>();
        network = recorded.get();
        link = std::make_unique<fleet_link>(loop, options, random, listener, std::move(recorded));
        listener.link = link.get();
        CHECK_TRUE(link->start().has_value());
        receive_gossip();
        CHECK_TRUE(listener.uses(peer));
    }

    void teardown() override
    {
        link.reset();
    }

    void receive_gossip()
    {
        fleet::gossip body;
        body.kind = fleet::gossip_kind::announce;
        body.sender = {identity.node, core::address{"10.0.0.2:2"}, remote_zone};
        body.sender_region = remote;
        body.digest.version = core::config_version{1};
        link->on_message(identity, body);
        run_for(core::milliseconds{0});
    }

    void lose_last_connection()
    {
        link->on_connection_lost(identity);
        link->on_peer_lost(identity);
    }

    std::size_t crashes_sent() const
    {
        std::size_t count = 0;
        for (const auto& [to, message] : network->sent)
        {
            const auto* body = std::get_if<fleet::gossip>(&message);
            count += body != nullptr ? body->prompt_crashes.size() : 0;
        }
        return count;
    }

    void run_for(core::milliseconds span)
    {
        loop.restart();
        loop.run_for(span);
        loop.poll();
    }
};

// Fails when a node that is reachable again stays unused until the next change of the member list
// (silent-and-reset day of peachline-tour: two regions unused for 25 s after a reset).
TEST(fleet_link, a_lost_node_is_used_again_as_soon_as_it_is_heard)
{
    lose_last_connection();
    run_for(core::milliseconds{0});
    CHECK_FALSE(listener.uses(peer));
    receive_gossip();
    CHECK_TRUE(listener.uses(peer));
}

// Fails when a node counts as unreachable after the loss of one of two connections to it.
TEST(fleet_link, a_node_is_used_while_a_connection_to_it_is_left)
{
    link->on_connection_lost(identity);
    run_for(core::milliseconds{0});
    CHECK_TRUE(listener.uses(peer));
    link->on_peer_lost(identity);
    run_for(core::milliseconds{0});
    CHECK_FALSE(listener.uses(peer));
}

// Fails when a node that could not be connected to is used again only after a membership ping.
TEST(fleet_link, a_call_message_proves_that_a_node_is_reachable)
{
    link->on_unreachable(peer);
    run_for(core::milliseconds{0});
    CHECK_FALSE(listener.uses(peer));
    link->on_message(identity, wire::cancel{core::call_number{1}, {}});
    run_for(core::milliseconds{0});
    CHECK_TRUE(listener.uses(peer));
}

// Fails when the thread of the connections hands over a call before the cancellation that it has
// read with it: the call would be sent on for a client that has left.
TEST(fleet_link, messages_that_were_read_together_are_handled_together)
{
    wire::call begun;
    begun.number = core::call_number{1};
    link->on_messages(identity, {begun, wire::cancel{core::call_number{1}, {}}});
    loop.restart();
    loop.run_one();
    LONGS_EQUAL(2, listener.call_messages);
}

// Fails when a lost node is probed only in its turn, which takes seconds in a large fleet.
TEST(fleet_link, a_lost_node_is_probed_at_once)
{
    run_for(2 * fleet::tick_interval);
    const std::size_t before = network->pings_to(peer);
    lose_last_connection();
    run_for(2 * fleet::tick_interval);
    CHECK_TRUE(network->pings_to(peer) > before);
}

// Fails when what a node learns of prompts that crash upstreams stays in its region, costs messages
// in calm times, or is not handed on when it is received.
TEST(fleet_link, evidence_of_crashes_reaches_the_nodes_of_other_regions)
{
    constexpr core::milliseconds exchange_interval{300};
    run_for(2 * exchange_interval);
    LONGS_EQUAL(0, crashes_sent());
    listener.known_crashes = {{1, 2, 300, 200, 1}};
    run_for(2 * exchange_interval);
    CHECK_TRUE(crashes_sent() > 0);
    fleet::gossip received;
    received.sender = {identity.node, core::address{"10.0.0.2:2"}, remote_zone};
    received.digest.version = core::config_version{1};
    received.prompt_crashes = listener.known_crashes;
    link->on_message(identity, received);
    run_for(core::milliseconds{0});
    LONGS_EQUAL(1, listener.crashes_received);
}

// Fails when a node does not tell the others at once which changes of the published state it knows,
// or does not report to the node what it is told (EVAC, issue 73).
TEST(fleet_link, changes_of_the_published_state_are_told_at_once)
{
    const auto told_to_peer = [this](std::uint64_t revision)
    {
        return std::any_of(network->sent.begin(), network->sent.end(),
                           [&](const auto& each)
                           {
                               const auto* body = std::get_if<fleet::gossip>(&each.second);
                               return each.first == peer && body != nullptr &&
                                      body->evacuations_change.revision == revision;
                           });
    };
    listener.evacuations = {1, 9};
    CHECK_FALSE(told_to_peer(9));
    link->announce_state();
    CHECK_TRUE(told_to_peer(9));
    fleet::gossip received;
    received.sender = {identity.node, core::address{"10.0.0.2:2"}, remote_zone};
    received.digest.version = core::config_version{1};
    received.evacuations_change = {1, 12};
    link->on_message(identity, received);
    run_for(core::milliseconds{0});
    CHECK_TRUE((listener.told == fleet::state_change{1, 12}));
}

// Fails when the other nodes hear of a crash only with the next load report, so that the caller's
// repetition reaches one that knows nothing, or when many crashes cause a message each.
TEST(fleet_link, evidence_of_a_crash_is_sent_at_once)
{
    link->send_evidence();
    LONGS_EQUAL(0, crashes_sent());
    listener.known_crashes = {{1, 2, 300, 200, 1}};
    link->send_evidence();
    LONGS_EQUAL(1, crashes_sent());
    link->send_evidence();
    LONGS_EQUAL(1, crashes_sent());
}
