/// Guards the handshake against unauthenticated peers, and the framing and timeouts of a session,
/// without sockets.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/peer_session.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>
#include <utility>

#include "arbitrary_message.hpp"

using namespace snipeplank;
using namespace snipeplank::wire;
using namespace snipeplank::wire::tests;
using snipeplank::tests::check_property;

namespace
{

const core::address dialer_address{"127.0.0.1:7001"};
const core::address listener_address{"127.0.0.1:7002"};

peer_settings settings_of(const core::address& address, std::vector<std::string> keys)
{
    peer_settings settings;
    settings.self = {address, core::incarnation{core::hash64(address.get())}};
    settings.region = core::region_id{"murtal"};
    settings.zone = core::zone_id{"murtal-a"};
    settings.fleet_keys = std::move(keys);
    return settings;
}

/// Both ends of one connection.
struct session_pair
{
    explicit session_pair(std::vector<std::string> dialer_keys = {"key"},
                          std::vector<std::string> listener_keys = {"key"},
                          const core::address& dialed = listener_address)
        : dialer_settings(settings_of(dialer_address, std::move(dialer_keys))),
          listener_settings(settings_of(listener_address, std::move(listener_keys))),
          dialer(session_role::dialer, dialer_settings, dialed, std::string(32, 'd'), {}),
          listener(session_role::listener, listener_settings, {}, std::string(32, 'l'), {})
    {
    }

    void complete_handshake()
    {
        at_dialer = dialer.on_bytes(listener.start().bytes, {});
        at_listener = listener.on_bytes(at_dialer.bytes, {});
        if (!at_listener.failure)
        {
            at_dialer = dialer.on_bytes(at_listener.bytes, {});
        }
    }

    peer_settings dialer_settings;
    peer_settings listener_settings;
    peer_session dialer;
    peer_session listener;
    session_output at_dialer;
    session_output at_listener;
};

void check_fault(session_fault expected, const session_output& out, const char* name)
{
    CHECK_TRUE_TEXT(out.failure.has_value(), name);
    LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(out.failure->fault), name);
    CHECK_FALSE_TEXT(out.failure->cause.message.empty(), name);
    CHECK_FALSE_TEXT(out.failure->cause.remedy.empty(), name);
}

} // namespace

TEST_GROUP(peer_session){};

TEST(peer_session, both_ends_receive_the_identity_of_the_other)
{
    session_pair pair;
    pair.complete_handshake();
    CHECK_TRUE(pair.dialer.is_open());
    CHECK_TRUE(pair.listener.is_open());
    CHECK_TRUE(pair.dialer.peer().node == pair.listener_settings.self);
    CHECK_TRUE(pair.listener.peer().node == pair.dialer_settings.self);
}

TEST(peer_session, keys_can_be_rotated_one_node_at_a_time)
{
    struct row
    {
        std::vector<std::string> dialer;
        std::vector<std::string> listener;
        bool opens;
    };
    const row rows[] = {
        {{"old"}, {"old", "new"}, true},
        {{"old", "new"}, {"old"}, true},
        {{"old", "new"}, {"new", "old"}, true},
        {{"new", "old"}, {"old", "new"}, true},
        {{"new"}, {"new", "old"}, true},
        {{"new", "old"}, {"new"}, true},
        {{"old"}, {"new"}, false},
        {{"old"}, {""}, false},
    };
    for (const row& keys : rows)
    {
        session_pair pair(keys.dialer, keys.listener);
        pair.complete_handshake();
        const std::string name = keys.dialer.front() + " to " + keys.listener.front();
        CHECK_EQUAL_TEXT(keys.opens, pair.dialer.is_open(), name.c_str());
        CHECK_EQUAL_TEXT(keys.opens, pair.listener.is_open(), name.c_str());
    }
}

TEST(peer_session, a_peer_without_the_key_gets_no_identity_and_no_proof)
{
    session_pair pair({"wrong"}, {"right"});
    pair.complete_handshake();
    check_fault(session_fault::unauthenticated, pair.at_listener, "wrong key");
    CHECK_TRUE(pair.at_listener.bytes.empty());
    const std::string challenge = pair.listener.start().bytes;
    CHECK_TRUE(challenge.find(listener_address.get()) == std::string::npos);
    CHECK_TRUE(challenge.find("murtal") == std::string::npos);
}

TEST(peer_session, a_recorded_handshake_cannot_be_replayed)
{
    session_pair first;
    const std::string recorded = first.dialer.on_bytes(first.listener.start().bytes, {}).bytes;
    CHECK_FALSE(first.listener.on_bytes(recorded, {}).failure.has_value());
    peer_session second(session_role::listener, first.listener_settings, {}, std::string(32, 'm'),
                        {});
    check_fault(session_fault::unauthenticated, second.on_bytes(recorded, {}), "replay");
}

TEST(peer_session, a_reflected_proof_is_refused)
{
    session_pair pair;
    const std::string proof = pair.dialer.on_bytes(pair.listener.start().bytes, {}).bytes;
    check_fault(session_fault::unauthenticated, pair.dialer.on_bytes(proof, {}), "reflection");
}

TEST(peer_session, another_node_at_the_dialed_address_is_refused)
{
    // Otherwise an unknown peer at a listed address could forward the proof of the dialer to a
    // third node.
    session_pair pair({"key"}, {"key"}, core::address{"127.0.0.1:7009"});
    pair.complete_handshake();
    check_fault(session_fault::unauthenticated, pair.at_listener, "other node");
    CHECK_FALSE(pair.dialer.is_open());
}

TEST(peer_session, every_changed_byte_of_a_proof_frame_keeps_the_session_closed)
{
    check_property("changed handshake",
                   []
                   {
                       session_pair pair;
                       std::string bytes =
                           pair.dialer.on_bytes(pair.listener.start().bytes, {}).bytes;
                       const std::size_t at = any_up_to(bytes.size() - 1);
                       const char changed = any<char>();
                       const bool is_same = bytes[at] == changed;
                       bytes[at] = changed;
                       const bool has_opened = pair.listener.on_bytes(bytes, {}).has_opened;
                       const bool is_same_peer =
                           pair.listener.peer().node == pair.dialer_settings.self;
                       // Changes to padding bytes have no effect, so the session may open.
                       RC_ASSERT(!has_opened || is_same || is_same_peer);
                   });
}

TEST(peer_session, frames_are_reassembled_however_the_stream_is_split)
{
    check_property("cut stream",
                   []
                   {
                       session_pair pair;
                       pair.complete_handshake();
                       const std::vector<message> sent = any_list([] { return any_message(7); });
                       std::string bytes;
                       for (const message& one : sent)
                       {
                           bytes += encode(one).value();
                       }
                       std::vector<message> received;
                       while (!bytes.empty())
                       {
                           const std::size_t count = 1 + any_up_to(bytes.size() - 1);
                           auto out = pair.listener.on_bytes(bytes.substr(0, count), {});
                           RC_ASSERT(!out.failure.has_value());
                           received.insert(received.end(), out.received.begin(),
                                           out.received.end());
                           bytes.erase(0, count);
                       }
                       RC_ASSERT(received == sent);
                   });
}

TEST(peer_session, arbitrary_bytes_never_open_a_session)
{
    check_property("bytes of an unauthenticated peer",
                   [](const std::string& bytes)
                   {
                       session_pair pair;
                       const session_output out = pair.listener.on_bytes(bytes, {});
                       RC_ASSERT(!out.has_opened);
                       RC_ASSERT(out.bytes.empty());
                       RC_ASSERT(out.received.empty());
                   });
}

TEST(peer_session, messages_are_refused_before_the_handshake_and_hellos_after_it)
{
    session_pair early;
    const std::string cancel_frame = encode(cancel{}).value();
    check_fault(session_fault::unexpected, early.listener.on_bytes(cancel_frame, {}), "early");
    session_pair late;
    late.complete_handshake();
    check_fault(session_fault::unexpected, late.listener.on_bytes(encode(hello{}).value(), {}),
                "late");
}

TEST(peer_session, an_unauthenticated_peer_cannot_announce_a_large_frame)
{
    session_pair pair;
    check_fault(session_fault::too_large,
                pair.listener.on_bytes(std::string("\x00\x20\x00\x00", 4), {}), "8 KB");
}

TEST(peer_session, closing_inside_a_frame_is_truncation)
{
    session_pair pair;
    pair.complete_handshake();
    check_fault(session_fault::closed, pair.listener.on_closed(), "between frames");
    const std::string frame = encode(cancel{}).value();
    pair.listener.on_bytes(frame.substr(0, frame.size() - 1), {});
    check_fault(session_fault::truncated, pair.listener.on_closed(), "inside a frame");
}

// Fails when the end of a peer is noticed late while calls use its connection, or when an idle
// connection costs a heartbeat a second: a node of a large fleet has one to nearly every other
// node.
TEST(peer_session, heartbeats_keep_a_connection_open_and_silence_closes_it)
{
    struct row
    {
        const char* name;
        bool has_calls;
        core::seconds heartbeat;
        core::seconds silence;
    };
    for (const row& each : {row{"calls", true, core::seconds(1), core::seconds(3)},
                            row{"idle", false, core::seconds(5), core::seconds(8)}})
    {
        session_pair pair;
        pair.complete_handshake();
        core::time_point now{pair.dialer_settings.busy_time};
        pair.dialer.on_bytes(encode(heartbeat{}).value(), now);
        pair.listener.on_bytes(encode(heartbeat{}).value(), now);
        pair.dialer.on_sent(now, false);
        pair.listener.on_sent(now, false);
        for (int beats = 0; beats < 10; ++beats)
        {
            if (each.has_calls)
            {
                CHECK_FALSE(pair.listener.on_bytes(encode(cancel{}).value(), now).failure);
                pair.dialer.on_sent(now, true);
            }
            now += each.heartbeat - core::milliseconds(1);
            CHECK_TRUE_TEXT(pair.dialer.on_timer(now).bytes.empty(), each.name);
            now += core::milliseconds(1);
            CHECK_TRUE_TEXT(pair.dialer.due_at() <= now, each.name);
            const session_output beat = pair.dialer.on_timer(now);
            CHECK_FALSE_TEXT(beat.bytes.empty(), each.name);
            CHECK_TRUE_TEXT(pair.listener.on_bytes(beat.bytes, now).received.empty(), each.name);
            const session_output back = pair.listener.on_timer(now);
            CHECK_FALSE_TEXT(back.bytes.empty() || back.failure, each.name);
            CHECK_FALSE_TEXT(pair.dialer.on_bytes(back.bytes, now).failure.has_value(), each.name);
        }
        const core::time_point last = now + each.silence - core::milliseconds(1);
        CHECK_FALSE_TEXT(pair.listener.on_timer(last).failure.has_value(), each.name);
        check_fault(session_fault::silent, pair.listener.on_timer(now + each.silence), each.name);
    }
}

// Fails when a call that is sent on an idle connection, on which nothing arrives any more, waits
// longer than one on a connection in use, or fails at once because the peer had no need to send.
TEST(peer_session, a_call_on_an_idle_connection_is_answered_or_fails_in_time)
{
    session_pair pair;
    pair.complete_handshake();
    core::time_point now{pair.dialer_settings.busy_time};
    pair.dialer.on_bytes(encode(heartbeat{}).value(), now);
    now += core::milliseconds(4'900);
    pair.dialer.on_sent(now, true);
    CHECK_FALSE(pair.dialer.on_timer(now + core::milliseconds(2'999)).failure.has_value());
    check_fault(session_fault::silent, pair.dialer.on_timer(now + core::seconds(3)),
                "after a call");
}

TEST(peer_session, an_incomplete_handshake_times_out)
{
    session_pair pair;
    CHECK_FALSE(pair.listener.on_timer(core::time_point(core::milliseconds(2'999))).failure);
    check_fault(session_fault::handshake_timeout,
                pair.listener.on_timer(core::time_point(core::seconds(3))), "no hello");
}
