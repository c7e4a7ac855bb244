/// Tests that a stream goes on only at the software version that began it, in one answer and over
/// the calls by which a client takes it up.

#include <CppUTest/TestHarness.h>

#include <utility>

#include "call_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;

namespace
{

const policy::retry_bound many_retries{0, 100, 10s};

route streaming_route(unsigned max_attempts)
{
    route made;
    made.kind = request_kind::streaming;
    made.max_attempts = max_attempts;
    made.is_resumable = true;
    made.timeout = 10s;
    return made;
}

/// Sends the events 1 to 2, and then breaks off.
scripted_answer beginning(answer_end end)
{
    return {{{0ms, chunked_head + chunk(events(1, 2))}, {200ms, ""}}, end};
}

/// Sends the events 3 to 4 of a stream, and ends it.
scripted_answer rest()
{
    return {{{0ms, chunked_head + chunk(events(3, 4)).append(last_chunk)}}, answer_end::keep};
}

} // namespace

TEST_GROUP(stream_version){};

// Fails when a node resumes a stream at an upstream of another software version than the one that
// began it (ORDER, issue 49).
TEST(stream_version, a_broken_stream_goes_on_at_the_version_that_began_it)
{
    struct row
    {
        const char* name;
        answer_end end;      ///< of the upstream that began the stream
        bool has_own;        ///< another upstream of its version serves
        unsigned max_own_ms; ///< time until the call is over
    };
    const row rows[] = {
        {"its upstream broke off", answer_end::reset, true, 1'000},
        {"its upstream crashed", answer_end::crash, true, 1'000},
        {"no other serves, broke off", answer_end::crash, false, 5'000},
    };
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream first(node.loop, {beginning(each.end), rest()});
        scripted_upstream own(node.loop, {rest()});
        scripted_upstream other(node.loop, {rest()});
        scripted_upstream another(node.loop, {rest()});
        node.set_route(streaming_route(3));
        node.publish("i-1", first.address());
        const recorded_exchange& stream = node.start("a");
        node.run_for(100ms);
        if (each.has_own)
            node.publish("i-2", own.address());
        node.publish("i-3", other.address(), false, "v2");
        node.publish("i-4", another.address(), false, "v2");
        node.run_for(core::milliseconds{each.max_own_ms});
        CHECK_TRUE_TEXT(stream.is_over, each.name);
        const std::string seen = std::string(each.name) + ": " + stream.describe();
        UNSIGNED_LONGS_EQUAL_TEXT(0, other.requests().size() + another.requests().size(),
                                  seen.c_str());
        CHECK_EQUAL_TEXT(each.has_own, stream.is(200, events(1, 4)), seen.c_str());
        CHECK_EQUAL_TEXT(each.has_own, stream.is_finished, seen.c_str());
    }
}

// Fails when a client's take-up goes on at an upstream of another software version than the one
// that began the stream, at the node that served its beginning (ORDER, issue 49).
TEST(stream_version, a_client_takes_a_stream_up_at_the_version_that_began_it)
{
    call_fixture node(many_retries);
    scripted_upstream first(node.loop, {beginning(answer_end::crash)});
    scripted_upstream own(node.loop, {rest()});
    scripted_upstream other(node.loop, {rest()});
    scripted_upstream another(node.loop, {rest()});
    node.set_route(streaming_route(1));
    node.publish("i-1", first.address());
    const recorded_exchange& begun = node.start("a");
    node.finish(begun);
    CHECK_FALSE(begun.is_finished);
    node.publish("i-3", other.address(), false, "v2");
    node.publish("i-4", another.address(), false, "v2");
    const recorded_exchange& too_early = node.take_up("b", "a", "2");
    node.run_for(300ms);
    CHECK_TRUE_TEXT(too_early.is_over, "refused at once");
    LONGS_EQUAL_TEXT(503, too_early.status, too_early.describe().c_str());
    node.publish("i-2", own.address());
    // Each later attempt names the one that brought the first event.
    for (const char* id : {"c", "d", "e"})
    {
        const recorded_exchange& taken_up = node.take_up(id, "a", "2");
        node.finish(taken_up);
        CHECK_TRUE_TEXT(taken_up.is(200, events(3, 4)), taken_up.describe().c_str());
    }
    UNSIGNED_LONGS_EQUAL(0, other.requests().size() + another.requests().size());
    UNSIGNED_LONGS_EQUAL(3, own.requests().size());
}

// Fails when a take-up of a stream of which the node knows nothing, as after its kill, is sent to
// an upstream although several versions serve (ORDER, report of another system in issue 49).
TEST(stream_version, a_stream_of_unknown_origin_is_refused_at_once)
{
    for (const char* resumes : {"a", ""})
    {
        call_fixture node(many_retries);
        scripted_upstream first(node.loop, {rest()});
        scripted_upstream second(node.loop, {rest()});
        node.set_route(streaming_route(3));
        node.publish("i-1", first.address());
        node.publish("i-2", second.address(), false, "v2");
        const recorded_exchange& taken_up = node.take_up("b", resumes, "2");
        node.run_for(500ms);
        CHECK_TRUE(taken_up.is_over);
        LONGS_EQUAL_TEXT(503, taken_up.status, taken_up.describe().c_str());
        UNSIGNED_LONGS_EQUAL(0, first.requests().size() + second.requests().size());
        // Another node may know the origin; a longer wait changes nothing.
        LONGS_EQUAL(200, node.last_refusal().retry_after.count());
    }
}

// Fails when a stream whose software version is listed no more waits for an upstream that cannot
// come, goes on at another version, or is not refused as not run when a client takes it up.
TEST(stream_version, a_stream_whose_version_is_gone_ends_at_once)
{
    call_fixture node(many_retries);
    scripted_upstream first(node.loop, {beginning(answer_end::reset)});
    scripted_upstream other(node.loop, {rest()});
    node.set_route(streaming_route(3));
    node.publish("i-1", first.address());
    const recorded_exchange& begun = node.start("a");
    node.run_for(100ms);
    node.publish("i-2", other.address(), false, "v2");
    node.withdraw("i-1");
    node.run_for(500ms);
    CHECK_TRUE_TEXT(begun.is_over, "ended at once");
    CHECK_FALSE_TEXT(begun.is_finished, begun.describe().c_str());
    const recorded_exchange& taken_up = node.take_up("b", "a", "2");
    node.run_for(300ms);
    CHECK_TRUE_TEXT(taken_up.is(503, "stream_version_gone"), taken_up.describe().c_str());
    UNSIGNED_LONGS_EQUAL(0, other.requests().size());
}

// Fails when a client's take-up at another node than the one that served the beginning of the
// stream is refused, or goes on at another software version (ORDER and LOST, issue 49).
TEST(stream_version, a_client_takes_a_stream_up_at_another_node)
{
    const core::address first_address{"10.0.0.1:1"};
    const core::address second_address{"10.0.0.2:1"};
    call_fixture first_node(many_retries);
    call_fixture second_node(many_retries);
    first_node.origins().connect(first_address, first_node.streams(), second_address,
                                 second_node.streams());
    second_node.origins().connect(second_address, second_node.streams(), first_address,
                                  first_node.streams());
    first_node.streams().set_nodes({{second_address, {}, own_zone, own_region}}, {});
    second_node.streams().set_nodes({{first_address, {}, own_zone, own_region}}, {});
    const auto run_both = [&](core::milliseconds span)
    {
        constexpr core::milliseconds step{5};
        for (core::milliseconds at{0}; at < span; at += 2 * step)
        {
            first_node.run_for(step);
            second_node.run_for(step);
        }
    };
    scripted_upstream beginning_only(first_node.loop, {beginning(answer_end::crash)});
    scripted_upstream own(second_node.loop, {rest()});
    scripted_upstream other(second_node.loop, {rest()});
    scripted_upstream another(second_node.loop, {rest()});
    first_node.set_route(streaming_route(1));
    second_node.set_route(streaming_route(1));
    first_node.publish("i-1", beginning_only.address());
    const recorded_exchange& begun = first_node.start("a");
    run_both(500ms);
    CHECK_TRUE(begun.is_over);
    CHECK_FALSE(begun.is_finished);
    second_node.publish("i-2", own.address());
    second_node.publish("i-3", other.address(), false, "v2");
    second_node.publish("i-4", another.address(), false, "v2");
    for (const char* id : {"b", "c", "d"})
    {
        const recorded_exchange& taken_up = second_node.take_up(id, "a", "2");
        run_both(400ms);
        CHECK_TRUE_TEXT(taken_up.is(200, events(3, 4)), taken_up.describe().c_str());
    }
    UNSIGNED_LONGS_EQUAL(0, other.requests().size() + another.requests().size());
    const recorded_exchange& unknown = second_node.take_up("e", "never begun", "2");
    run_both(400ms);
    LONGS_EQUAL_TEXT(503, unknown.status, unknown.describe().c_str());
}
