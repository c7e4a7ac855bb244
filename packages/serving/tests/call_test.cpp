/// Tests that a call which a sound upstream answers is answered whole, whatever the retry budget
/// and the other requests of the upstream.

#include <CppUTest/TestHarness.h>

#include <thread>

#include "../../http/tests/loopback.hpp"
#include "call_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;

namespace
{

const policy::retry_bound no_retries{0, 0, 10s};
const policy::retry_bound many_retries{0, 100, 10s};

route make_route(request_kind kind, unsigned max_attempts)
{
    route made;
    made.kind = kind;
    made.max_attempts = max_attempts;
    made.is_resumable = kind == request_kind::streaming;
    made.timeout = 10s;
    return made;
}

} // namespace

TEST_GROUP(call){};

// Fails when a request whose upstream is silent for a while is given up although the retry budget
// has nothing left for another attempt (LOST on a large deployment).
TEST(call, a_silent_upstream_is_waited_for_when_the_retry_budget_is_spent)
{
    call_fixture node(no_retries);
    scripted_upstream upstream(node.loop, {plain_answer(4s)});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", upstream.address());
    recorded_exchange& request = node.start("a");
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
}

// Fails when a request whose upstream is silent for a while is given up although no upstream takes
// another attempt, because the only one has begun to leave.
TEST(call, a_silent_upstream_is_waited_for_when_no_other_takes_the_request)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(4s)});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", upstream.address());
    recorded_exchange& request = node.start("a");
    node.run_for(500ms);
    node.publish("i-1", upstream.address(), true);
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
}

// Fails when a request is given up for a silence that began before it was sent.
TEST(call, a_new_request_is_not_given_up_for_the_silence_before_it)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(7s), plain_answer(4s)});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", upstream.address());
    // A call of another region is not checked for silence.
    const recorded_exchange& earlier =
        node.start("earlier", forwarded_from{10s, [](const policy::refusal&) {}});
    node.run_for(1'300ms);
    const recorded_exchange& later = node.start("later");
    node.finish(later);
    CHECK_TRUE_TEXT(later.is(200, "ok"), later.describe().c_str());
    CHECK_FALSE(earlier.is_over);
    UNSIGNED_LONGS_EQUAL_TEXT(2, upstream.requests().size(), "requests at the upstream");
}

// Fails when a request at a sound upstream is moved to another one for a silence that began before
// it was sent.
TEST(call, a_new_request_waits_at_a_silent_upstream_as_long_as_the_others)
{
    call_fixture node(many_retries);
    scripted_upstream first(node.loop, {plain_answer(5s), plain_answer(1'600ms)});
    scripted_upstream second(node.loop, {plain_answer(0ms)});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", first.address());
    node.start("earlier", forwarded_from{10s, [](const policy::refusal&) {}});
    node.run_for(1'300ms);
    const recorded_exchange& later = node.start("later");
    node.run_for(100ms);
    node.publish("i-2", second.address());
    node.finish(later);
    CHECK_TRUE_TEXT(later.is(200, "ok"), later.describe().c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(0, second.requests().size(), "requests at the other upstream");
}

// Fails when a request that may not be sent again goes on a connection that has been idle for long,
// which its upstream closes at that moment.
TEST(call, the_only_attempt_uses_no_connection_that_was_idle_for_long)
{
    for (const request_kind kind : {request_kind::non_idempotent, request_kind::idempotent})
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        upstream.requests_per_connection = 1;
        node.set_route(make_route(kind, 1));
        node.publish("i-1", upstream.address());
        node.finish(node.start("a"));
        node.run_for(700ms);
        const recorded_exchange& request = node.start("b");
        node.finish(request);
        CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
    }
}

// Fails when a stall of the node's own event loop counts as silence of an upstream whose answer has
// arrived meanwhile.
TEST(call, a_stall_of_the_node_is_no_silence_of_the_upstream)
{
    call_fixture node(no_retries);
    http::tests::loop_thread other;
    scripted_upstream upstream(other.loop, {plain_answer(300ms)});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", upstream.address());
    const recorded_exchange& request = node.start("a");
    node.run_for(100ms);
    std::this_thread::sleep_for(2s);
    node.finish(request);
    other.stop();
    CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
}

// Fails when a stream is cut because its upstream pauses for a while, or because its client reads
// slowly, although the upstream would go on with it.
TEST(call, a_stream_that_pauses_is_not_cut)
{
    struct row
    {
        const char* name;
        core::milliseconds upstream_pause;
        core::milliseconds client_pause;
    };
    std::string cut; // the rows whose stream was cut
    for (const row& each :
         {row{"the upstream pauses", 4s, 0ms}, row{"the client reads slowly", 10ms, 4s}})
    {
        call_fixture node(no_retries);
        scripted_upstream upstream(node.loop,
                                   {{{{0ms, chunked_head + chunk(events(1, 2))},
                                      {each.upstream_pause, chunk(events(3, 4)) + last_chunk}}}});
        node.set_route(make_route(request_kind::streaming, 3));
        node.publish("i-1", upstream.address());
        recorded_exchange& stream = node.start("a");
        stream.next_write_takes = each.client_pause;
        node.finish(stream);
        if (!stream.is(200, events(1, 4)))
            cut += std::string(each.name) + ", ";
    }
    STRCMP_EQUAL("", cut.c_str());
}

// Fails when a stream that an upstream begins anew, instead of resuming it, ends as if it were
// whole.
TEST(call, a_stream_that_starts_over_has_no_clean_end)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(
        node.loop, {{{{0ms, chunked_head + chunk(events(1, 2))}}, answer_end::reset},
                    {{{0ms, chunked_head + chunk(events(1, 5)) + last_chunk}}, answer_end::keep}});
    node.set_route(make_route(request_kind::streaming, 2));
    node.publish("i-1", upstream.address());
    const recorded_exchange& stream = node.start("a");
    node.finish(stream);
    CHECK_TRUE(stream.is_over);
    UNSIGNED_LONGS_EQUAL(2, upstream.requests().size());
    CHECK_TRUE_TEXT(!stream.is_finished || stream.written == events(1, 5),
                    stream.describe().c_str());
}

// Fails when a call of another region that an upstream proves not to have run is refused although
// another upstream is free, or when one that may have run is sent again.
TEST(call, a_forwarded_call_is_sent_again_only_when_it_has_proven_not_to_have_run)
{
    const scripted_answer not_run{{{100ms, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}},
                                  answer_end::keep};
    const scripted_answer failure{{{100ms, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"}},
                                  answer_end::keep};
    const scripted_answer broken{{{100ms, ""}}, answer_end::reset};
    struct row
    {
        const char* name;
        request_kind kind;
        scripted_answer first;
        double retries; ///< budget
        std::size_t sent_again;
        std::optional<policy::execution> refused;
    };
    const row rows[] = {
        {"not run", request_kind::non_idempotent, not_run, 1, 1, {}},
        {"not run, idempotent", request_kind::idempotent, not_run, 1, 1, {}},
        {"not run, no budget", request_kind::idempotent, not_run, 0, 0, policy::execution::no},
        {"failure", request_kind::idempotent, failure, 1, 0, {}},
        {"broken", request_kind::idempotent, broken, 1, 0, policy::execution::unknown},
    };
    for (const row& each : rows)
    {
        call_fixture node({0, each.retries, 10s});
        scripted_upstream first(node.loop, {each.first});
        scripted_upstream second(node.loop, {plain_answer(0ms)});
        node.set_route(make_route(each.kind, 2));
        node.publish("i-1", first.address());
        std::optional<policy::refusal> refused;
        const recorded_exchange& request =
            node.start("a", forwarded_from{5s, [&](const policy::refusal& why) { refused = why; }});
        node.run_for(50ms);
        node.publish("i-2", second.address());
        node.finish(request);
        const std::string seen = std::string(each.name) + ": " + request.describe();
        LONGS_EQUAL_TEXT(1, first.requests().size(), seen.c_str());
        LONGS_EQUAL_TEXT(each.sent_again, second.requests().size(), seen.c_str());
        CHECK_TRUE_TEXT(refused.has_value() == each.refused.has_value(), seen.c_str());
        CHECK_TRUE_TEXT(!refused || refused->executed == *each.refused, seen.c_str());
        CHECK_TRUE_TEXT(each.sent_again == 0 || request.is(200, "ok"), seen.c_str());
    }
}

// Fails when a copy of an earlier refusal, which a faulty upstream writes again on a connection
// that is in use, counts as the refusal of the request that runs there: it runs twice, or its
// caller is told that it has not run.
TEST(call, a_refusal_proves_nothing_unless_it_is_known_to_be_the_requests)
{
    const std::string anonymous = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const std::string named = "HTTP/1.1 503 Busy\r\nId: b\r\nContent-Length: 0\r\n\r\n";
    struct row
    {
        const char* name;
        std::string refusal;
        bool is_first; ///< the refusal is the first answer on its connection
        bool is_proof;
    };
    const row rows[] = {
        {"names the request, reused connection", named, false, true},
        {"names the request, new connection", named, true, true},
        {"names none, new connection", anonymous, true, true},
        {"names none, reused connection", anonymous, false, false},
    };
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        std::vector<scripted_answer> answers{{{{0ms, each.refusal}}, answer_end::keep}};
        if (!each.is_first)
            answers.insert(answers.begin(), plain_answer(0ms));
        scripted_upstream faulty(node.loop, answers);
        scripted_upstream sound(node.loop, {plain_answer(0ms)});
        node.set_route(make_route(request_kind::non_idempotent, 2));
        node.publish("i-1", faulty.address());
        if (!each.is_first)
            node.finish(node.start("a"));
        const recorded_exchange& request = node.start("b");
        node.run_for(20ms);
        node.publish("i-2", sound.address());
        node.finish(request);
        const std::string seen = std::string(each.name) + ": " + request.describe();
        if (each.is_proof)
            CHECK_TRUE_TEXT(request.status == 503 || request.is(200, "ok"), seen.c_str());
        else
            LONGS_EQUAL_TEXT(502, request.status, seen.c_str());
        LONGS_EQUAL_TEXT(each.is_proof && request.status == 200 ? 1 : 0, sound.requests().size(),
                         seen.c_str());
    }
}

// Fails when a stream that broke off goes on with an answer that is none of its events, with an
// error or another document, or ends after it as if it were whole.
TEST(call, a_stream_goes_on_with_its_own_events_only)
{
    const std::string events_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
    const std::string other_head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";
    const std::string text = "it failed\n\nsee the log\n\n";
    struct row
    {
        const char* name;
        std::string next; ///< answer of the next upstream
        bool is_whole;
    };
    const std::string error = "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    const row rows[] = {
        {"the rest", events_head + chunk(events(3, 5)) + last_chunk, true},
        {"an error", "HTTP/1.1 500 Failed\r\n" + error, false},
        {"a refusal", "HTTP/1.1 503 Busy\r\n" + error, false},
        {"another document", other_head + chunk(text) + last_chunk, false},
        {"an error, cut", "HTTP/1.1 500 Failed\r\nContent-Length: 900\r\n\r\n" + text, false},
    };
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop,
                                   {{{{0ms, events_head + chunk(events(1, 2))}}, answer_end::reset},
                                    {{{0ms, each.next}}, answer_end::close}});
        node.set_route(make_route(request_kind::streaming, 2));
        node.publish("i-1", upstream.address());
        const recorded_exchange& stream = node.start("a");
        node.finish(stream);
        const std::string seen = std::string(each.name) + ": " + stream.describe();
        CHECK_TRUE_TEXT(upstream.requests().size() >= 2, seen.c_str());
        LONGS_EQUAL_TEXT(each.is_whole, stream.is_finished, seen.c_str());
        const std::string expected = each.is_whole ? events(1, 5) : events(1, 2);
        STRCMP_EQUAL_TEXT(expected.c_str(), stream.written.c_str(), seen.c_str());
    }
}

// Fails when the caller of a stream sees its connection close without an answer or a refusal,
// although nothing of the stream has arrived when its upstream fails or its time ends.
TEST(call, a_stream_without_an_event_is_refused_or_answered_not_cut)
{
    struct row
    {
        const char* name;
        unsigned max_attempts;
        scripted_answer first;
        scripted_answer second;
        int status;
        std::string body;
    };
    const std::string other_head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n";
    const std::string error = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno";
    const scripted_answer reset{{{0ms, chunked_head}}, answer_end::reset};
    const row rows[] = {
        {"reset", 1, reset, {}, 502, "upstream_failed"},
        {"crash", 1, {{{0ms, chunked_head}}, answer_end::crash}, {}, 502, "upstream_failed"},
        {"reset inside the first event",
         1,
         {{{0ms, chunked_head + chunk("id: 1\nda")}}, answer_end::reset},
         {},
         502,
         "upstream_failed"},
        {"silent until the deadline",
         1,
         {{{0ms, chunked_head}, {5s, ""}}},
         {},
         502,
         "outcome_unknown"},
        {"an error after a reset", 2, reset, {{{0ms, error}}}, 500, "no"},
        {"another document after a reset",
         2,
         reset,
         {{{0ms, other_head + "a\n\nb\n\n"}}},
         200,
         "a\n\nb\n\n"},
        {"empty", 1, {{{0ms, chunked_head + last_chunk}}}, {}, 200, ""},
    };
    std::string other; // the rows that ended in another way
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {each.first, each.second});
        route made = make_route(request_kind::streaming, each.max_attempts);
        made.timeout = 800ms;
        node.set_route(made);
        node.publish("i-1", upstream.address());
        const recorded_exchange& stream = node.start("a");
        node.finish(stream);
        if (!stream.is(each.status, each.body))
            other += std::string(each.name) + ": " + stream.describe() + "; ";
    }
    STRCMP_EQUAL("", other.c_str());
}

// Fails when the node that took a request for a stream can't refuse it, because the serving node of
// another region passed on a head without an event.
TEST(call, a_forwarded_stream_without_an_event_is_refused)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {{{{0ms, chunked_head}}, answer_end::reset}});
    node.set_route(make_route(request_kind::streaming, 2));
    node.publish("i-1", upstream.address());
    std::optional<policy::refusal> refused;
    const recorded_exchange& stream =
        node.start("a", forwarded_from{5s, [&](const policy::refusal& why) { refused = why; }});
    node.finish(stream);
    CHECK_TRUE_TEXT(refused && refused->executed == policy::execution::unknown,
                    stream.describe().c_str());
    CHECK_FALSE_TEXT(stream.has_begun(), stream.describe().c_str());
}

// Fails when a stream that its upstream broke off is cut, because no upstream takes it on at that
// moment, although one does a moment later.
TEST(call, a_broken_stream_waits_for_an_upstream_that_takes_it_on)
{
    enum class next_upstream
    {
        appears,
        is_throttled,
        has_limit,
    };
    struct row
    {
        const char* name;
        answer_end end;  ///< of the first upstream
        bool is_leaving; ///< the first upstream says so before its end
        next_upstream next;
    };
    const row rows[] = {
        {"appears", answer_end::reset, true, next_upstream::appears},
        {"is throttled", answer_end::reset, true, next_upstream::is_throttled},
        {"has a limit", answer_end::reset, true, next_upstream::has_limit},
        {"appears after a crash", answer_end::crash, false, next_upstream::appears},
        {"is throttled after a crash", answer_end::crash, false, next_upstream::is_throttled},
        {"has a limit after a crash", answer_end::crash, false, next_upstream::has_limit},
    };
    std::string cut; // the rows whose stream was not whole
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream first(
            node.loop, {{{{0ms, chunked_head + chunk(events(1, 2))}, {200ms, chunk(events(3, 4))}},
                         each.end}});
        scripted_upstream second(
            node.loop, {{{{0ms, chunked_head + chunk(events(5, 6)).append(last_chunk)}}}});
        node.set_route(make_route(request_kind::streaming, 3));
        node.publish("i-1", first.address());
        const recorded_exchange& stream = node.start("a");
        node.run_for(100ms);
        policy::upstream_statement leaves;
        leaves.is_leaving = true;
        if (each.is_leaving)
            node.hear("i-1", leaves);
        if (each.next != next_upstream::appears)
            node.publish("i-2", second.address());
        policy::upstream_statement said;
        if (each.next == next_upstream::is_throttled)
            said.retry_after = 600ms;
        if (each.next == next_upstream::has_limit)
            said.limit = 4;
        node.hear("i-2", said);
        node.run_for(500ms);
        if (each.next == next_upstream::appears)
            node.publish("i-2", second.address());
        node.finish(stream);
        if (!stream.is(200, events(1, 6)))
            cut += std::string(each.name) + ": " + stream.describe() + "; ";
    }
    STRCMP_EQUAL("", cut.c_str());
}

// Fails when a broken stream that no upstream takes on keeps its caller waiting until the deadline.
TEST(call, a_broken_stream_waits_for_an_upstream_for_a_short_time)
{
    for (const answer_end end : {answer_end::reset, answer_end::crash})
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(
            node.loop,
            {{{{0ms, chunked_head + chunk(events(1, 2))}, {200ms, chunk(events(3, 4))}}, end}});
        node.set_route(make_route(request_kind::streaming, 3));
        node.publish("i-1", upstream.address());
        const recorded_exchange& stream = node.start("a");
        node.run_for(100ms);
        policy::upstream_statement leaves;
        leaves.is_leaving = end == answer_end::reset;
        node.hear("i-1", leaves);
        node.run_for(5s);
        CHECK_TRUE(stream.is_over);
        CHECK_FALSE_TEXT(stream.is_finished, stream.describe().c_str());
    }
}

// Fails when a node cuts a call of another region at its own route's timeout, although the node
// that took the request, whose configuration may be another one, still waits for the answer.
TEST(call, a_forwarded_call_has_the_time_that_its_entry_node_gives)
{
    struct row
    {
        request_kind kind;
        scripted_answer answer;
        std::string body;
    };
    const row rows[] = {
        {request_kind::idempotent, plain_answer(800ms), "ok"},
        {request_kind::streaming,
         {{{0ms, chunked_head + chunk(events(1, 2))}, {800ms, chunk(events(3, 4)) + last_chunk}}},
         events(1, 4)},
    };
    std::string cut; // what was received of the answers that were cut
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {each.answer});
        route shorter = make_route(each.kind, 1);
        shorter.timeout = 300ms;
        node.set_route(shorter);
        node.publish("i-1", upstream.address());
        const recorded_exchange& request =
            node.start("a", forwarded_from{3s, [](const policy::refusal&) {}});
        node.finish(request);
        if (!request.is(200, each.body))
            cut += request.describe() + "; ";
    }
    STRCMP_EQUAL("", cut.c_str());
}

// Fails when a request in flight at the end of a stopping node gets no last answer, or one that
// promises more than is known, or when a cut stream ends as complete, or when a request that can
// end in time is given up.
TEST(call, a_stopping_node_gives_each_request_its_last_answer)
{
    struct row
    {
        const char* what;
        request_kind kind;
        scripted_answer answer;
        core::milliseconds asked; ///< since the node began to stop
        int status;
        bool is_whole;
        std::string body;
    };
    const scripted_answer stream{
        {{0ms, chunked_head + chunk(events(1, 2))}, {3s, chunk(events(3, 4)) + last_chunk}}};
    const row rows[] = {
        {"at work before", request_kind::idempotent, plain_answer(3s), -100ms, 502, true,
         "outcome_unknown"},
        {"at work before, runs once", request_kind::non_idempotent, plain_answer(3s), -100ms, 502,
         true, "outcome_unknown"},
        {"taken late, runs once", request_kind::non_idempotent, plain_answer(3s), 200ms, 502, true,
         "outcome_unknown"},
        {"stream", request_kind::streaming, stream, -100ms, 200, false, events(1, 2)},
        {"ends in time", request_kind::non_idempotent, plain_answer(400ms), 200ms, 200, true, "ok"},
    };
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {each.answer});
        node.set_route(make_route(each.kind, 1));
        node.publish("i-1", upstream.address());
        constexpr core::milliseconds time_left = 1s;
        recorded_exchange* request = nullptr;
        if (each.asked < 0ms)
        {
            request = &node.start("a");
            node.run_for(-each.asked);
        }
        node.stop_in(time_left);
        if (request == nullptr)
        {
            node.run_for(each.asked);
            request = &node.start("a");
        }
        const core::time_point began = std::chrono::steady_clock::now();
        node.finish(*request);
        const std::string seen = std::string(each.what) + ": " + request->describe();
        LONGS_EQUAL_TEXT(each.status, request->status, seen.c_str());
        CHECK_TRUE_TEXT(request->is_finished == each.is_whole, seen.c_str());
        STRCMP_EQUAL_TEXT(each.body.c_str(), request->written.c_str(), seen.c_str());
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - began < 2s, seen.c_str());
    }
}

// Fails when a stopping node sends a request that it cannot finish to an upstream, or refuses it
// without saying that another node may serve it.
TEST(call, a_stopping_node_refuses_at_once_what_it_cannot_finish)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    node.set_route(make_route(request_kind::non_idempotent, 1));
    node.publish("i-1", upstream.address());
    node.stop_in(0ms);
    recorded_exchange& request = node.start("a");
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(503, "draining"), request.describe().c_str());
    LONGS_EQUAL(0, upstream.requests().size());
}

// Fails when a call of another region in flight at the end of a stopping node is not refused to the
// node that waits for it, or is reported as not run.
TEST(call, a_stopping_node_gives_calls_of_other_regions_their_last_answer)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(3s)});
    node.set_route(make_route(request_kind::non_idempotent, 1));
    node.publish("i-1", upstream.address());
    std::optional<policy::refusal> refused;
    recorded_exchange& request =
        node.start("a", forwarded_from{10s, [&](const policy::refusal& why) { refused = why; }});
    node.run_for(100ms);
    node.stop_in(300ms);
    node.finish(request);
    CHECK_TRUE(refused && refused->executed == policy::execution::unknown);
}

// Fails when a request that an upstream has turned away for overload is sent there again at once
// (incident BUDGET): repeats keep the upstream full and use up the retries of all.
TEST(call, a_request_that_was_turned_away_is_not_sent_there_again)
{
    const scripted_answer turned_away{{{0ms, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}},
                                      answer_end::keep};
    for (const bool has_other : {false, true})
    {
        call_fixture node(many_retries);
        scripted_upstream busy(node.loop, {turned_away});
        scripted_upstream other(node.loop, {plain_answer(0ms)});
        node.set_route(make_route(request_kind::idempotent, 3));
        node.publish("i-busy", busy.address());
        if (has_other)
            node.publish("i-other", other.address());
        for (const char* id : {"a", "b", "c", "d"})
        {
            const std::size_t before = busy.requests().size();
            const recorded_exchange& request = node.start(id);
            node.finish(request);
            CHECK_TRUE_TEXT(
                request.is(has_other ? 200 : 503, has_other ? "ok" : "upstream_refused"),
                request.describe().c_str());
            CHECK_TRUE(busy.requests().size() <= before + 1);
        }
        LONGS_EQUAL(has_other ? 4 : 0, other.requests().size());
    }
}

// Fails when the error of an upstream is not passed on although the retry budget is spent. With
// -D_GLIBCXX_ASSERTIONS it also fails when the number of an ended attempt is used.
TEST(call, an_error_is_passed_on_when_the_retry_budget_is_spent)
{
    call_fixture node(no_retries);
    scripted_upstream upstream(node.loop,
                               {{{{0ms, "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno"}}}});
    node.set_route(make_route(request_kind::idempotent, 2));
    node.publish("i-1", upstream.address());
    const recorded_exchange& request = node.start("a");
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(500, "no"), request.describe().c_str());
}

// Fails when a prompt part goes on being sent although upstreams crashed under it, with or without
// an event of their answers, also when the end of the connection looks like a whole answer or the
// upstream accepts connections a moment longer; or when the first part of the prompts is refused.
TEST(call, a_prompt_under_which_upstreams_crash_is_refused)
{
    struct row
    {
        const char* name;
        std::string begun;
        answer_end end;
    };
    const std::string endless_head = "HTTP/1.1 200 OK\r\n\r\n";
    const row rows[] = {
        {"chunked, no event", chunked_head, answer_end::crash},
        {"chunked, one event", chunked_head + chunk(events(1, 1)), answer_end::crash},
        {"without length, no event", endless_head, answer_end::crash},
        {"without length, one event", endless_head + events(1, 1), answer_end::crash},
        {"without length, inside an event", endless_head + "id: 1\nda", answer_end::crash},
        {"connections first", chunked_head, answer_end::crash_slowly},
        {"connections first, without length", endless_head, answer_end::crash_slowly},
    };
    for (const row& each : rows)
    {
        call_fixture node(no_retries);
        node.set_route(make_route(request_kind::streaming, 1));
        std::vector<std::unique_ptr<scripted_upstream>> upstreams;
        for (int i = 1; i <= 4; ++i)
        {
            upstreams.push_back(std::make_unique<scripted_upstream>(
                node.loop, std::vector<scripted_answer>{{{{0ms, each.begun}}, each.end}}));
            const std::string id = "i-" + std::to_string(i);
            node.publish(id, upstreams.back()->address());
            const recorded_exchange& request = node.start(id, std::nullopt, "first bad " + id);
            node.finish(request);
            node.run_for(400ms);
            node.publish(id, upstreams.back()->address(), true);
            const std::string seen = std::string(each.name) + ", " + id + ": " + request.describe();
            CHECK_EQUAL_TEXT(i <= 3 ? 1 : 0, upstreams.back()->requests().size(), seen.c_str());
        }
        scripted_upstream sound(node.loop,
                                {{{{0ms, chunked_head + chunk(events(1, 2)).append(last_chunk)}}}});
        node.publish("i-5", sound.address());
        const recorded_exchange& served = node.start("served", std::nullopt, "first good served");
        node.finish(served);
        CHECK_TRUE_TEXT(served.is(200, events(1, 2)), served.describe().c_str());
    }
}

// Fails when a request without a prompt under which an upstream crashed is sent again at once, when
// other requests are refused with it, or when it is refused for good after one crash.
TEST(call, a_request_under_which_an_upstream_crashed_is_held_back_for_a_moment)
{
    call_fixture node(no_retries);
    scripted_upstream crashing(node.loop, {{{}, answer_end::crash}});
    scripted_upstream sound(node.loop, {plain_answer(0ms)});
    node.set_route(make_route(request_kind::idempotent, 1));
    node.publish("i-1", crashing.address());
    const recorded_exchange& lost = node.start("a");
    node.finish(lost);
    CHECK_TRUE_TEXT(lost.is(502, "upstream_failed"), lost.describe().c_str());
    node.run_for(100ms);
    node.publish("i-1", crashing.address(), true);
    node.publish("i-2", sound.address());
    const recorded_exchange& held = node.start("a");
    node.finish(held);
    CHECK_TRUE_TEXT(held.is(503, "quarantined"), held.describe().c_str());
    const recorded_exchange& other = node.start("b");
    node.finish(other);
    CHECK_TRUE_TEXT(other.is(200, "ok"), other.describe().c_str());
    node.run_for(1'000ms);
    const recorded_exchange& later = node.start("a");
    node.finish(later);
    CHECK_TRUE_TEXT(later.is(200, "ok"), later.describe().c_str());
}

// Fails when one call sends a request on after two upstreams broke off under it, so that it can end
// all copies of a small service.
TEST(call, a_request_under_which_two_upstreams_broke_off_is_not_sent_again)
{
    call_fixture node(many_retries);
    node.set_route(make_route(request_kind::idempotent, 4));
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
    {
        upstreams.push_back(std::make_unique<scripted_upstream>(
            node.loop, std::vector<scripted_answer>{{{}, answer_end::crash}}));
        node.publish(id, upstreams.back()->address());
    }
    node.finish(node.start("a"));
    std::size_t sent = 0;
    for (const auto& each : upstreams)
    {
        sent += each->requests().size();
    }
    UNSIGNED_LONGS_EQUAL_TEXT(2, sent, "requests sent");
}

// Fails when a request whose upstream is silent for a while is given up although it would not be
// sent again, because an upstream crashed under a part of its prompt before.
TEST(call, a_silent_upstream_is_waited_for_when_the_prompt_is_suspect)
{
    call_fixture node(many_retries);
    scripted_upstream crashing(node.loop, {{{{0ms, chunked_head}}, answer_end::crash}});
    scripted_upstream silent(node.loop,
                             {{{{4s, chunked_head + chunk(events(1, 2)) + last_chunk}}}});
    scripted_upstream other(node.loop, {{{{4s, chunked_head + chunk(events(1, 2)) + last_chunk}}}});
    node.set_route(make_route(request_kind::streaming, 2));
    node.publish("i-1", crashing.address());
    node.finish(node.start("a", std::nullopt, "shared a"));
    node.run_for(50ms);
    node.publish("i-1", crashing.address(), true);
    node.publish("i-2", silent.address());
    const recorded_exchange& request = node.start("b", std::nullopt, "shared b");
    node.run_for(100ms);
    node.publish("i-3", other.address());
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(200, events(1, 2)), request.describe().c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(0, other.requests().size(), "requests at the other upstream");
}

// Fails when upstreams that cannot be reached count as crashed, so that prompts are refused.
TEST(call, upstreams_behind_a_cut_link_make_no_prompt_suspect)
{
    call_fixture node(no_retries);
    node.set_route(make_route(request_kind::streaming, 1));
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    for (int i = 1; i <= 4; ++i)
    {
        upstreams.push_back(std::make_unique<scripted_upstream>(
            node.loop, std::vector<scripted_answer>{{{{0ms, chunked_head}}, answer_end::cut_off}}));
        const std::string id = "i-" + std::to_string(i);
        node.publish(id, upstreams.back()->address());
        const recorded_exchange& request = node.start(id, std::nullopt, "first rare " + id);
        node.finish(request);
        node.run_for(1'500ms);
        node.publish(id, upstreams.back()->address(), true);
        CHECK_EQUAL_TEXT(1, upstreams.back()->requests().size(), (id + request.describe()).c_str());
    }
}

// Fails when an answer that ends with its connection is cut, or when a part of one looks whole,
// also when the reset comes after a pause: a look at the socket took its error then (review/6,
// MIXED).
TEST(call, an_answer_without_length_is_whole_only_when_its_connection_is_closed)
{
    struct row
    {
        const char* name;
        request_kind kind;
        std::string bytes;
        answer_end end;
        bool is_whole;
        std::string after_pause = {};
    };
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    const std::string kept_head = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n";
    const row rows[] = {
        {"plain", request_kind::idempotent, head + "abc", answer_end::close, true},
        {"plain, kept", request_kind::idempotent, kept_head + "abc", answer_end::close, true},
        {"empty", request_kind::idempotent, head, answer_end::close, true},
        {"plain, reset", request_kind::idempotent, head + "abc", answer_end::reset, false},
        {"empty, reset", request_kind::idempotent, head, answer_end::reset, false},
        {"stream", request_kind::streaming, head + events(1, 3), answer_end::close, true},
        {"stream, kept", request_kind::streaming, kept_head + events(1, 3), answer_end::close,
         true},
        {"stream, empty", request_kind::streaming, head, answer_end::close, true},
        {"stream, line ends after it", request_kind::streaming, head + events(1, 3) + "\n\r\n",
         answer_end::close, true},
        {"stream, reset", request_kind::streaming, head + events(1, 3), answer_end::reset, false},
        {"stream inside an event", request_kind::streaming, head + events(1, 3) + "id: 4\nda",
         answer_end::close, false},
        {"plain, in parts", request_kind::idempotent, head + "abc", answer_end::close, true, "def"},
        {"plain, in parts, reset", request_kind::idempotent, head + "abc", answer_end::reset, false,
         "def"},
        {"not to be sent again, in parts, reset", request_kind::non_idempotent, head + "abc",
         answer_end::reset, false, "def"},
        {"stream, in parts", request_kind::streaming, head + events(1, 2), answer_end::close, true,
         events(3, 4)},
        {"stream, in parts, reset", request_kind::streaming, head + events(1, 2), answer_end::reset,
         false, events(3, 4)},
    };
    for (const row& each : rows)
    {
        call_fixture node(no_retries);
        scripted_upstream upstream(node.loop,
                                   {{{{0ms, each.bytes}, {200ms, each.after_pause}}, each.end}});
        node.set_route(make_route(each.kind, 1));
        node.publish("i-1", upstream.address());
        const recorded_exchange& request = node.start("a");
        node.finish(request);
        const std::string body =
            each.bytes.substr(each.bytes.find("\r\n\r\n") + 4) + each.after_pause;
        const std::string seen = std::string(each.name) + ": " + request.describe();
        CHECK_TRUE_TEXT(request.is_over, seen.c_str());
        CHECK_EQUAL_TEXT(each.is_whole, request.is(200, body), seen.c_str());
        if (!each.is_whole)
            CHECK_FALSE_TEXT(request.is_finished && request.status == 200, seen.c_str());
    }
}

// Fails when a head that its upstream cut becomes a success, a refusal that proves "not run", or
// the end of a request that may be sent again.
TEST(call, a_head_that_is_cut_is_no_answer)
{
    struct row
    {
        const char* name;
        std::string bytes;
    };
    const row rows[] = {
        {"status line", "HTTP/1.1 200 O"},
        {"after the status line", "HTTP/1.1 200 OK\r\n"},
        {"name", "HTTP/1.1 200 OK\r\nServer-Sig"},
        {"value", "HTTP/1.1 200 OK\r\nServer-Signature: 3e1b"},
        {"length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1"},
        {"before the empty line", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n"},
        {"interim answer", "HTTP/1.1 103 Early Hints\r\nX-Fie"},
        {"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"},
        {"refusal", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"},
    };
    constexpr int bad_gateway = 502;
    const std::string answer = events(1, 2);
    const scripted_answer whole{{{0ms, chunked_head + chunk(answer) + last_chunk}},
                                answer_end::keep};
    std::string wrong; // the rows with another answer than expected
    for (const row& each : rows)
    {
        for (const answer_end end : {answer_end::close, answer_end::reset})
        {
            for (const request_kind kind : {request_kind::idempotent, request_kind::streaming})
            {
                for (const unsigned attempts : {1U, 2U})
                {
                    call_fixture node(many_retries);
                    scripted_upstream upstream(node.loop,
                                               {whole, {{{0ms, each.bytes}}, end}, whole});
                    node.set_route(make_route(kind, attempts));
                    node.publish("i-1", upstream.address());
                    node.finish(node.start("first"));
                    const recorded_exchange& request = node.start("a");
                    node.finish(request);
                    const bool is_right =
                        attempts == 2 ? request.is(200, answer) : request.status == bad_gateway;
                    if (!is_right)
                        wrong += std::string(each.name) + ": " + request.describe() + "\n";
                }
            }
        }
    }
    STRCMP_EQUAL("", wrong.c_str());
}

// Fails when the id of an event, which is a header of the request that resumes its stream, ends its
// line there, or when such a stream begins anew at another upstream.
TEST(call, a_stream_is_resumed_only_after_an_id_that_a_header_can_hold)
{
    struct row
    {
        const char* id;
        bool is_resumed;
    };
    for (const row& each :
         {row{"2", true}, row{"2\rX-Forged: y", true}, row{"2\x01", false}, row{"2\x7f", false}})
    {
        call_fixture node(many_retries);
        std::string first = events(1, 1);
        first.append("id: ").append(each.id).append("\ndata: token 2\n\n");
        std::string rest = chunked_head;
        rest.append(chunk(events(3, 5))).append(last_chunk);
        scripted_upstream upstream(
            node.loop,
            {{{{0ms, chunked_head + chunk(first)}}, answer_end::reset}, {{{0ms, rest}}}});
        node.set_route(make_route(request_kind::streaming, 2));
        node.publish("i-1", upstream.address());
        const recorded_exchange& stream = node.start("a");
        node.finish(stream);
        const std::string seen = std::string(each.id) + ": " + stream.describe();
        LONGS_EQUAL_TEXT(each.is_resumed, stream.is_finished, seen.c_str());
        UNSIGNED_LONGS_EQUAL_TEXT(each.is_resumed ? 2 : 1, upstream.requests().size(),
                                  seen.c_str());
        CHECK_TRUE(upstream.requests().back().find("X-Forged") == std::string::npos);
    }
}

// Fails when an id that no header can hold reaches an upstream, or is counted as sent there.
TEST(call, a_request_whose_head_is_invalid_is_not_sent)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    node.set_route(make_route(request_kind::non_idempotent, 1));
    node.publish("i-1", upstream.address());
    const recorded_exchange& refused = node.start("a", std::nullopt, "part\r\nX-Forged: y");
    node.finish(refused);
    CHECK_TRUE_TEXT(refused.status == 503, refused.describe().c_str());
    UNSIGNED_LONGS_EQUAL(0, upstream.requests().size());
}

// Fails when a node holds an answer that its reader could have: a long one, also without a length,
// or, when it holds as much as it may, a short one (slow readers, issue 67).
TEST(call, an_answer_is_passed_on_instead_of_held)
{
    constexpr std::size_t long_part = 100'000;
    constexpr std::size_t short_part = 100;
    constexpr core::milliseconds pause = 1s;
    const core::bytes ample = held_answers::default_limit;
    const std::string end = "end";
    const auto length_of = [&](std::size_t part) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(part + end.size()) +
               "\r\n\r\n";
    };
    const std::string no_length = "HTTP/1.1 200 OK\r\n\r\n";
    const struct
    {
        const char* name;
        std::string head;
        std::size_t part;
        core::bytes limit;
        bool is_chunked;
        bool is_held;
    } rows[] = {
        {"length", length_of(long_part), long_part, ample, false, false},
        {"chunked", chunked_head, long_part, ample, true, false},
        {"until the connection ends", no_length, long_part, ample, false, false},
        {"short", length_of(short_part), short_part, ample, false, true},
        {"short and chunked", chunked_head, short_part, ample, true, true},
        {"short, at the limit", length_of(short_part), short_part, {}, false, false},
        {"short and chunked, at the limit", chunked_head, short_part, {}, true, false},
    };
    for (const auto& each : rows)
    {
        call_fixture node(many_retries);
        node.limit_answers(each.limit);
        const std::string first(each.part, 'x');
        const std::string sent = each.is_chunked ? chunk(first) : first;
        const std::string rest = each.is_chunked ? chunk(end) + last_chunk : end;
        scripted_upstream upstream(node.loop,
                                   {{{{0ms, each.head + sent}, {pause, rest}}, answer_end::close}});
        node.set_route(make_route(request_kind::idempotent, 2));
        node.publish("i-1", upstream.address());
        const recorded_exchange& request = node.start("a");
        node.run_for(pause / 2);
        CHECK_EQUAL_TEXT(each.is_held, request.written.empty(), each.name);
        node.finish(request);
        CHECK_TRUE_TEXT(request.is(200, first + end), each.name);
        UNSIGNED_LONGS_EQUAL_TEXT(0, node.answers().bytes(), each.name);
    }
}

// Fails when a node reads an answer that says at once that it is longer than any may be.
TEST(call, an_answer_that_is_too_long_is_not_read)
{
    call_fixture node(no_retries);
    scripted_upstream upstream(
        node.loop,
        {{{{0ms, "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"}, {5s, "the rest"}}}});
    node.set_route(make_route(request_kind::non_idempotent, 1));
    node.publish("i-1", upstream.address());
    const recorded_exchange& request = node.start("a");
    node.run_for(1s);
    CHECK_TRUE_TEXT(request.is(502, "upstream_failed"), request.describe().c_str());
}

// Fails when a stopping node takes a stream that it will have to cut, because streams of its route
// usually take longer than the node has left, or refuses one that usually ends in time (LOST under
// planned work, issue 67).
TEST(call, a_stopping_node_takes_only_streams_that_usually_end_in_time)
{
    constexpr core::milliseconds usual = 300ms;
    constexpr int earlier = 6;
    const struct
    {
        core::milliseconds time_left;
        bool is_taken;
    } rows[] = {{usual / 2, false}, {10 * usual, true}};
    for (const auto& each : rows)
    {
        call_fixture node(no_retries);
        scripted_upstream upstream(node.loop, {{{{0ms, chunked_head + chunk(events(1, 2))},
                                                 {usual, chunk(events(3, 4)) + last_chunk}}}});
        node.set_route(make_route(request_kind::streaming, 1));
        node.publish("i-1", upstream.address());
        for (int i = 0; i < earlier; ++i)
        {
            node.finish(node.start("earlier" + std::to_string(i)));
        }
        node.stop_in(each.time_left);
        const recorded_exchange& stream = node.start("a");
        node.finish(stream);
        if (each.is_taken)
            CHECK_TRUE_TEXT(stream.is(200, events(1, 4)), stream.describe().c_str());
        else
            CHECK_TRUE_TEXT(stream.is(503, "draining"), stream.describe().c_str());
        LONGS_EQUAL(earlier + (each.is_taken ? 1 : 0), upstream.requests().size());
    }
}
