/// Guards against connections between nodes that are lost, kept or authenticated wrongly: invalid
/// input, wrong keys, silent links, restarts and full queues.

#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "network_fixture.hpp"
#include "raw_frame.hpp"

using namespace snipeplank;
using namespace snipeplank::wire;
using namespace snipeplank::wire::tests;

namespace
{

cancel cancel_with_number(std::uint64_t number)
{
    return {core::call_number{number}, ""};
}

bool has_message(const test_node& node, const message& expected)
{
    const auto all = node.handler.messages();
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& item) { return item.second == expected; });
}

constexpr core::bytes small_queue{262'144};
constexpr std::size_t large_part = 131'072;

call large_call(std::uint64_t number)
{
    call large;
    large.number = core::call_number{number};
    large.request.body = std::string(large_part, 'x');
    return large;
}

/// Sends calls until one finds the write queue full.
/// @return number of that call
core::call_number fill_write_queue(test_node& from, const core::address& to)
{
    std::uint64_t number = 0;
    CHECK_TRUE(eventually(
        [&]
        {
            const std::uint64_t sent = from.network->counters().frames_sent;
            CHECK_TRUE(from.network->send(to, large_call(++number)));
            return eventually(
                       [&]
                       {
                           const peer_counters now = from.network->counters();
                           return now.frames_sent > sent || now.write_queue_full > 0;
                       }) &&
                   from.network->counters().write_queue_full > 0;
        }));
    return core::call_number{number};
}

/// Checks that `a` can send to `b`.
void check_delivery(test_node& a, test_node& b)
{
    static std::uint64_t last_number = 1'000'000;
    const cancel probe = cancel_with_number(++last_number);
    CHECK_TRUE(a.network->send(b.address(), probe));
    CHECK_TRUE(eventually([&] { return has_message(b, probe); }));
}

/// Two nodes with two connections, because both dialed each other. Both send on the one that `b`
/// dialed, which goes through `to_a`.
struct double_link
{
    explicit double_link(const wire::clock& time) : a(time), b(time, {"key"}, 2)
    {
        a.settings.listen = to_a.target();
        a.settings.self.address = to_a.address();
        b.settings.listen = to_b.target();
        b.settings.self.address = to_b.address();
        a.start();
        b.start();
        to_b.set_paused(true);
        CHECK_TRUE(a.network->send(b.address(), cancel_with_number(1)));
        CHECK_TRUE(eventually([&] { return a.network->counters().connections_dialed == 1; }));
        check_delivery(b, a);
        to_b.set_paused(false);
        CHECK_TRUE(eventually([&] { return a.network->counters().connections_opened == 2; }));
        CHECK_TRUE(eventually([&] { return b.network->counters().connections_opened == 2; }));
    }

    /// Sends a call from `a`.
    /// @return its sender, as `b` received it
    peer_identity send_call()
    {
        const call sent = large_call(1);
        CHECK_TRUE(a.network->send(b.address(), sent));
        CHECK_TRUE(eventually([&] { return has_message(b, sent); }));
        CHECK_TRUE(eventually([&] { return a.handler.call_connections().size() == 1; }));
        return b.handler.messages().back().first;
    }

    silent_relay to_a;
    silent_relay to_b;
    test_node a;
    test_node b;
};

call_end end_of_call(std::uint64_t length)
{
    return {core::call_number{1}, length, 0};
}

} // namespace

TEST_GROUP(peer_network)
{
    manual_clock time;
};

TEST(peer_network, messages_arrive_in_order_with_the_identity_of_the_sender)
{
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.start();
    b.start();
    constexpr std::uint64_t count = 500;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        CHECK_TRUE(a.network->send(b.address(), cancel_with_number(i)));
    }
    CHECK_TRUE(eventually([&] { return b.handler.messages().size() == count; }));
    const auto messages = b.handler.messages();
    for (std::uint64_t i = 0; i < count; ++i)
    {
        CHECK_TRUE(messages[i].second == message(cancel_with_number(i)));
        CHECK_TRUE(messages[i].first.node == a.id);
    }
    // The reply uses the open connection.
    CHECK_TRUE(b.network->reply(a.id, cancel_with_number(7)));
    CHECK_TRUE(eventually([&] { return has_message(a, cancel_with_number(7)); }));
    LONGS_EQUAL(0, b.network->counters().connections_dialed);
}

TEST(peer_network, a_message_of_maximum_size_arrives_and_a_larger_one_is_refused)
{
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.start();
    b.start();
    constexpr std::size_t body_bytes = 1'048'576;
    const call_chunk large{core::call_number{1}, 0, std::string(body_bytes, 'x')};
    CHECK_TRUE(a.network->send(b.address(), large));
    CHECK_TRUE(eventually([&] { return has_message(b, large); }));
    const call_chunk too_large{core::call_number{1}, 0, std::string(max_frame_bytes, 'x')};
    CHECK_FALSE(a.network->send(b.address(), too_large));
    LONGS_EQUAL(1, a.network->counters().message_too_large);
}

TEST(peer_network, bad_input_is_counted_closes_the_connection_and_changes_nothing_else)
{
    struct row
    {
        const char* name;
        std::string bytes;
        std::uint64_t peer_counters::*counter;
    };
    const std::string hello_frame = encode(hello{}).value();
    const auto empty_hello = [](flatbuffers::FlatBufferBuilder& builder) {
        return std::pair{fb::Body::Hello, fb::CreateHello(builder).Union()};
    };
    const auto unknown_kind = [](flatbuffers::FlatBufferBuilder& builder)
    {
        constexpr std::uint8_t undefined_body_type = 200;
        return std::pair{fb::Body{undefined_body_type}, fb::CreateHello(builder).Union()};
    };
    const row rows[] = {
        {"truncated length", "\x10", &peer_counters::frame_truncated},
        {"truncated frame", hello_frame.substr(0, hello_frame.size() - 3),
         &peer_counters::frame_truncated},
        {"oversized", "\xff\xff\xff\x7f", &peer_counters::frame_too_large},
        {"HTTP", "GET / HTTP/1.1\r\n\r\n", &peer_counters::frame_too_large},
        {"unverified", with_length("no flatbuffer at all"), &peer_counters::frame_unverified},
        {"empty frame", with_length(""), &peer_counters::frame_unverified},
        {"next version", with_length(build_payload(protocol_version + 1, empty_hello)),
         &peer_counters::frame_wrong_version},
        {"unknown message", with_length(build_payload(protocol_version, unknown_kind)),
         &peer_counters::frame_unknown_message},
        {"message before the hello", encode(cancel_with_number(1)).value(),
         &peer_counters::frame_unexpected},
        {"hello without a nonce", hello_frame, &peer_counters::peer_unauthenticated},
        {"closed at once", "", &peer_counters::closed_by_peer},
    };
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.start();
    b.start();
    std::size_t errors = 0;
    for (const row& bad : rows)
    {
        const std::uint64_t before = b.network->counters().*bad.counter;
        const raw_client unknown_peer(b.address());
        unknown_peer.write(bad.bytes);
        unknown_peer.close_writing();
        unknown_peer.read_all();
        CHECK_TRUE_TEXT(
            eventually([&] { return b.network->counters().*bad.counter == before + 1; }), bad.name);
        errors += bad.counter == &peer_counters::closed_by_peer ? 0 : 1;
        check_delivery(a, b);
    }
    const auto reported = b.handler.errors();
    LONGS_EQUAL(errors, reported.size());
    for (const core::error& cause : reported)
    {
        CHECK_FALSE(cause.remedy.empty());
    }
    CHECK_TRUE(b.handler.lost().empty());
}

TEST(peer_network, an_unknown_peer_receives_only_a_nonce)
{
    test_node b(time, {"key"}, 2);
    b.start();
    const raw_client unknown_peer(b.address());
    unknown_peer.close_writing();
    const std::string seen = unknown_peer.read_all();
    CHECK_TRUE(seen.find("murtal") == std::string::npos);
    CHECK_TRUE(seen.find("127.0.0.1") == std::string::npos);
    CHECK_TRUE(b.network->connected().empty());
}

TEST(peer_network, a_node_with_a_wrong_key_is_refused_until_it_has_the_right_one)
{
    test_node a(time, {"wrong"});
    test_node b(time, {"right"}, 2);
    a.start();
    b.start();
    CHECK_TRUE(a.network->send(b.address(), cancel_with_number(1)));
    CHECK_TRUE(eventually([&] { return !a.handler.unreachable().empty(); }));
    CHECK_TRUE(b.handler.messages().empty());
    LONGS_EQUAL(1, b.network->counters().peer_unauthenticated);
    LONGS_EQUAL(1, a.network->counters().message_undeliverable);
    a.network->set_fleet_keys({"right"});
    time.advance(core::seconds(1));
    check_delivery(a, b);
}

TEST(peer_network, keys_are_rotated_without_losing_the_connection)
{
    test_node a(time, {"old"});
    test_node b(time, {"old"}, 2);
    a.start();
    b.start();
    check_delivery(a, b);
    for (test_node* node : {&a, &b})
    {
        node->network->set_fleet_keys({"old", "new"});
        check_delivery(a, b);
        node->network->set_fleet_keys({"new", "old"});
        check_delivery(a, b);
    }
    CHECK_TRUE(a.handler.lost().empty());
    test_node c(time, {"new"}, 3);
    c.start();
    check_delivery(c, a);
}

TEST(peer_network, a_connection_that_goes_silent_is_replaced)
{
    silent_relay relay;
    test_node a(time);
    test_node b(time, {"key"}, 2);
    b.settings.listen = relay.target();
    b.settings.self.address = relay.address();
    a.start();
    b.start();
    check_delivery(a, b);
    relay.silence();
    CHECK_TRUE(a.network->send(b.address(), cancel_with_number(1)));
    time.advance(core::seconds(3));
    CHECK_TRUE(eventually([&] { return a.handler.lost().size() == 1; }));
    CHECK_TRUE(eventually([&] { return b.handler.lost().size() == 1; }));
    CHECK_FALSE(has_message(b, cancel_with_number(1)));
    LONGS_EQUAL(1, a.network->counters().peer_silent);
    check_delivery(a, b);
    LONGS_EQUAL(2, a.network->counters().connections_dialed);
}

TEST(peer_network, heartbeats_keep_an_idle_connection_open)
{
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.start();
    b.start();
    check_delivery(a, b);
    for (int i = 0; i < 5; ++i)
    {
        const std::uint64_t received = a.network->counters().bytes_received;
        const std::uint64_t received_by_b = b.network->counters().bytes_received;
        time.advance(core::seconds(1));
        CHECK_TRUE(eventually(
            [&]
            {
                return a.network->counters().bytes_received > received &&
                       b.network->counters().bytes_received > received_by_b;
            }));
    }
    CHECK_TRUE(a.handler.lost().empty());
    CHECK_TRUE(b.handler.lost().empty());
    LONGS_EQUAL(0, a.network->counters().peer_silent);
}

TEST(peer_network, a_reply_to_a_former_incarnation_is_dropped)
{
    test_node a(time);
    a.start();
    const core::address where = [&]
    {
        test_node former(time, {"key"}, 2);
        former.start();
        check_delivery(a, former);
        return former.address();
    }();
    CHECK_TRUE(eventually([&] { return a.handler.lost().size() == 1; }));
    test_node restarted(time, {"key"}, 3);
    restarted.settings.self.address = where;
    restarted.settings.listen = where;
    restarted.start();
    CHECK_TRUE(a.network->reply({where, core::incarnation{2}}, cancel_with_number(9)));
    check_delivery(a, restarted);
    CHECK_FALSE(has_message(restarted, cancel_with_number(9)));
    LONGS_EQUAL(1, a.network->counters().message_wrong_incarnation);
}

TEST(peer_network, an_unreachable_address_is_reported_and_dialed_again_after_the_backoff)
{
    test_node a(time);
    a.start();
    const core::address where = [&]
    {
        test_node stopped_node(time, {"key"}, 2);
        return stopped_node.start().address();
    }();
    CHECK_TRUE(a.network->send(where, cancel_with_number(1)));
    CHECK_TRUE(eventually([&] { return a.handler.unreachable().size() == 1; }));
    // The clock stands still within the backoff, so the message stays queued.
    CHECK_TRUE(a.network->send(where, cancel_with_number(2)));
    LONGS_EQUAL(1, a.network->counters().connections_dialed);
    test_node back(time, {"key"}, 3);
    back.settings.self.address = where;
    back.settings.listen = where;
    back.start();
    time.advance(core::seconds(2));
    CHECK_TRUE(eventually([&] { return has_message(back, cancel_with_number(2)); }));
    CHECK_FALSE(has_message(back, cancel_with_number(1)));
}

TEST(peer_network, a_full_write_queue_closes_the_connection)
{
    silent_relay relay;
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.settings.max_write_queue = core::bytes{262'144};
    b.settings.listen = relay.target();
    b.settings.self.address = relay.address();
    a.start();
    b.start();
    check_delivery(a, b);
    relay.silence();
    // The socket buffers take a few megabytes before the write queue fills.
    constexpr std::size_t chunk_bytes = 131'072;
    const call_chunk chunk{core::call_number{1}, 0, std::string(chunk_bytes, 'x')};
    CHECK_TRUE(eventually(
        [&]
        {
            a.network->send(b.address(), chunk);
            return a.network->counters().write_queue_full > 0;
        }));
    CHECK_TRUE(eventually([&] { return a.handler.lost().size() == 1; }));
    check_delivery(a, b);
}

// Fails when a sender can't see that a connection does not take what it sends, and fills its queue.
TEST(peer_network, the_bytes_that_wait_on_a_connection_are_told)
{
    silent_relay relay;
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.settings.listen = relay.target();
    a.settings.self.address = relay.address();
    a.start();
    b.start();
    CHECK_TRUE(b.network->send(a.address(), large_call(1)));
    CHECK_TRUE(eventually([&] { return !a.handler.messages().empty(); }));
    const peer_identity to = a.handler.messages().front().first;
    UNSIGNED_LONGS_EQUAL(0, a.network->unsent(to.connection));
    relay.silence();
    const call_chunk chunk{core::call_number{1}, 0, std::string(large_part, 'x')};
    CHECK_TRUE(eventually(
        [&]
        {
            a.network->answer(to, chunk);
            return a.network->unsent(to.connection) > 0;
        }));
    LONGS_EQUAL(0, a.network->counters().write_queue_full);
}

// Fails when a call that finds the write queue full is dropped without a word, or costs the
// connection and with it the other calls.
TEST(peer_network, a_call_that_finds_the_write_queue_full_is_reported)
{
    silent_relay relay;
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.settings.max_write_queue = small_queue;
    b.settings.listen = relay.target();
    b.settings.self.address = relay.address();
    a.start();
    b.start();
    check_delivery(a, b);
    relay.silence();
    const core::call_number unsent = fill_write_queue(a, b.address());
    CHECK_TRUE(eventually([&] { return !a.handler.dropped().empty(); }));
    LONGS_EQUAL(1, a.handler.dropped().size());
    CHECK_TRUE(a.handler.dropped().front() == unsent);
    CHECK_TRUE(a.handler.lost().empty());
}

// Fails when a load report that finds the write queue full closes the connection, which ends the
// calls on it.
TEST(peer_network, a_load_report_that_finds_the_write_queue_full_is_dropped)
{
    silent_relay relay;
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.settings.max_write_queue = small_queue;
    b.settings.listen = relay.target();
    b.settings.self.address = relay.address();
    a.start();
    b.start();
    check_delivery(a, b);
    relay.silence();
    fill_write_queue(a, b.address());
    fleet::gossip report;
    report.sender_region = core::region_id{std::string(large_part, 'x')};
    CHECK_TRUE(a.network->send(b.address(), report));
    CHECK_TRUE(eventually([&] { return a.network->counters().write_queue_full == 2; }));
    CHECK_TRUE(a.network->send(b.address(), report));
    CHECK_TRUE(eventually([&] { return a.network->counters().write_queue_full == 3; }));
    CHECK_TRUE(a.handler.lost().empty());
}

// Fails when a call for which no connection could be opened is not reported, or one that is still
// to be sent is.
TEST(peer_network, the_calls_that_no_connection_could_carry_are_reported)
{
    test_node a(time);
    a.start();
    const core::address where = [&]
    {
        test_node stopped_node(time, {"key"}, 2);
        return stopped_node.start().address();
    }();
    CHECK_TRUE(a.network->send(where, large_call(1)));
    CHECK_TRUE(eventually([&] { return a.handler.unreachable().size() == 1; }));
    CHECK_TRUE(a.network->send(where, large_call(2)));
    CHECK_TRUE(a.handler.dropped() == std::vector{core::call_number{1}});
    test_node back(time, {"key"}, 3);
    back.settings.self.address = where;
    back.settings.listen = where;
    back.start();
    time.advance(core::seconds(2));
    CHECK_TRUE(eventually([&] { return has_message(back, large_call(2)); }));
    LONGS_EQUAL(1, a.handler.dropped().size());
}

// Fails when a call for which there is no room before a connection is open waits for its deadline.
TEST(peer_network, a_call_without_room_before_a_connection_is_open_is_reported)
{
    test_node a(time);
    a.settings.max_write_queue = small_queue;
    a.start();
    const core::address where = [&]
    {
        test_node stopped_node(time, {"key"}, 2);
        return stopped_node.start().address();
    }();
    CHECK_TRUE(a.network->send(where, cancel_with_number(1)));
    CHECK_TRUE(eventually([&] { return a.handler.unreachable().size() == 1; }));
    // The clock stands still within the backoff, so the messages stay queued.
    CHECK_TRUE(a.network->send(where, large_call(1)));
    CHECK_TRUE(a.network->send(where, large_call(2)));
    CHECK_TRUE(eventually([&] { return a.network->counters().write_queue_full == 1; }));
    CHECK_TRUE(eventually([&] { return !a.handler.dropped().empty(); }));
    CHECK_TRUE(a.handler.dropped().front() == core::call_number{2});
}

// Fails when the loss of a connection counts as the loss of the node, although another connection
// carries its calls.
TEST(peer_network, the_loss_of_one_of_two_connections_leaves_the_other)
{
    double_link link(time);
    const peer_identity caller = link.send_call();
    link.to_b.cut();
    for (test_node* node : {&link.a, &link.b})
    {
        CHECK_TRUE(eventually([&] { return node->handler.lost().size() == 1; }));
    }
    CHECK_TRUE(link.a.handler.lost_connections() != link.a.handler.call_connections());
    CHECK_TRUE(link.b.network->answer(caller, end_of_call(1)));
    CHECK_TRUE(eventually([&] { return has_message(link.a, end_of_call(1)); }));
    check_delivery(link.a, link.b);
    check_delivery(link.b, link.a);
    CHECK_TRUE(link.a.handler.lost_peers().empty());
    CHECK_TRUE(link.b.handler.lost_peers().empty());
    link.to_a.cut();
    for (test_node* node : {&link.a, &link.b})
    {
        CHECK_TRUE(eventually([&] { return node->handler.lost_peers().size() == 1; }));
    }
    CHECK_TRUE(link.a.handler.lost_connections().back() ==
               link.a.handler.call_connections().front());
}

// Fails when the answer to a call goes by another connection than the call, so that its loss cannot
// be noticed by the node that waits for it.
TEST(peer_network, an_answer_uses_no_other_connection_than_its_call)
{
    double_link link(time);
    const peer_identity caller = link.send_call();
    link.to_a.cut();
    for (test_node* node : {&link.a, &link.b})
    {
        CHECK_TRUE(eventually([&] { return node->handler.lost().size() == 1; }));
    }
    CHECK_TRUE(link.a.handler.lost_connections() == link.a.handler.call_connections());
    CHECK_TRUE(link.b.network->answer(caller, end_of_call(1)));
    check_delivery(link.b, link.a);
    CHECK_FALSE(has_message(link.a, end_of_call(1)));
    LONGS_EQUAL(1, link.b.network->counters().message_undeliverable);
    CHECK_TRUE(link.a.handler.lost_peers().empty());
}

// Fails when a part of an answer that the full queue to the I/O thread does not take leaves the
// call waiting at the other node.
TEST(peer_network, an_answer_that_is_not_taken_closes_its_connection)
{
    test_node a(time);
    test_node b(time, {"key"}, 2);
    b.settings.max_write_queue = core::bytes{134'217'728}; // more than the queue to the I/O thread
    a.start();
    b.start();
    check_delivery(a, b);
    const peer_identity caller = b.handler.messages().back().first;
    b.handler.set_blocked(true);
    CHECK_TRUE(a.network->send(b.address(), cancel_with_number(1)));
    constexpr std::size_t chunk_bytes = 1'000'000;
    constexpr int max_chunks = 100;
    const call_chunk chunk{core::call_number{1}, 0, std::string(chunk_bytes, 'x')};
    int taken = 0;
    while (taken < max_chunks && b.network->answer(caller, chunk))
    {
        ++taken;
    }
    CHECK_TRUE(taken < max_chunks);
    CHECK_TRUE(b.network->counters().mailbox_full > 0);
    b.handler.set_blocked(false);
    CHECK_TRUE(eventually([&] { return a.handler.lost().size() == 1; }));
    check_delivery(a, b);
}

TEST(peer_network, unknown_peers_cannot_exhaust_the_connections)
{
    test_node a(time);
    test_node b(time, {"key"}, 2);
    a.start();
    b.start();
    std::vector<std::unique_ptr<raw_client>> unknown_peers;
    constexpr std::size_t count = 140;
    for (std::size_t i = 0; i < count; ++i)
    {
        unknown_peers.push_back(std::make_unique<raw_client>(b.address()));
    }
    check_delivery(a, b);
    CHECK_TRUE(eventually([&] { return b.network->counters().connection_limit >= 12; }));
    time.advance(core::seconds(3));
    CHECK_TRUE(eventually([&] { return b.network->counters().handshake_timeout >= 120; }));
}

TEST(peer_network, messages_sent_before_stop_are_written)
{
    test_node b(time, {"key"}, 2);
    b.start();
    constexpr std::uint64_t last = 200;
    {
        test_node a(time);
        a.start();
        check_delivery(a, b);
        for (std::uint64_t i = 0; i <= last; ++i)
        {
            CHECK_TRUE(a.network->send(b.address(), cancel_with_number(i)));
        }
    }
    CHECK_TRUE(eventually([&] { return has_message(b, cancel_with_number(last)); }));
    CHECK_TRUE(eventually([&] { return b.handler.lost().size() == 1; }));
}

TEST(peer_network, an_address_that_cannot_be_bound_and_missing_keys_are_errors)
{
    test_node a(time);
    a.settings.listen = core::address{"localhost:1"};
    auto started = a.network->start(a.settings, a.handler);
    LONGS_EQUAL(static_cast<int>(core::error_code::invalid_address),
                static_cast<int>(started.error().code));
    test_node b(time, {});
    started = b.network->start(b.settings, b.handler);
    LONGS_EQUAL(static_cast<int>(core::error_code::peer_unauthenticated),
                static_cast<int>(started.error().code));
}
