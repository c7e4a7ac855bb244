/// Tests that a request goes to an upstream with a warm-up only on a connection whose process has
/// proven that it is warm, and at what price.

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
const std::string health_path = "/health";

route make_route()
{
    route made;
    made.kind = request_kind::idempotent;
    made.max_attempts = 2;
    made.timeout = 3s;
    return made;
}

/// A service whose cold upstreams get nothing from a single node.
service make_service(const std::string& path = health_path)
{
    service made;
    made.health_path = path;
    made.warmup = 1s;
    made.warmup_rate = 0.5;
    return made;
}

scripted_answer answer_of(const std::string& bytes, core::milliseconds pause = 0ms)
{
    return {{{pause, bytes}}, answer_end::keep};
}

scripted_answer health(const std::string& headers, core::milliseconds pause = 0ms)
{
    return answer_of("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 2\r\n\r\nup", pause);
}

std::string stream_of(int events)
{
    std::string body;
    for (int i = 1; i <= events; ++i)
    {
        body += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t questions(const scripted_upstream& upstream)
{
    const std::vector<std::string>& all = upstream.requests();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [](const std::string& head) { return head.starts_with("GET " + health_path + " "); }));
}

} // namespace

TEST_GROUP(process_check){};

// Fails when a request is sent to a process that has not said that it is warm, or when each request
// costs a question.
TEST(process_check, a_process_is_asked_once_and_used)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {health("Process: i-1\r\n"), plain_answer(0ms)});
    node.set_route(make_route(), make_service());
    node.publish("i-1", upstream.address());
    for (const char* id : {"a", "b", "c"})
    {
        const recorded_exchange& request = node.start(id);
        node.finish(request);
        CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
    }
    UNSIGNED_LONGS_EQUAL(1, questions(upstream));
    CHECK_TRUE(upstream.requests().front().starts_with("GET " + health_path));
}

// Fails when a process that was asked before the host was suspended is not asked again: it may have
// been replaced while no clock of the node ran (incident FAILBACK).
TEST(process_check, a_process_is_asked_again_after_a_suspension_of_the_host)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {health("Process: i-1\r\n"), plain_answer(0ms),
                                           health("Process: i-1\r\n"), plain_answer(0ms)});
    core::duration suspended{0};
    node.set_suspended_time([&] { return suspended; });
    node.set_route(make_route(), make_service());
    node.publish("i-1", upstream.address());
    for (const char* id : {"a", "b"})
    {
        const recorded_exchange& request = node.start(id);
        node.finish(request);
        CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
        suspended += 2s;
    }
    UNSIGNED_LONGS_EQUAL(2, questions(upstream));
}

// Fails when requests that come together each ask the process, or when those that wait for the
// answer are not sent.
TEST(process_check, requests_that_come_together_cost_one_question)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {health("Process: i-1\r\n", 100ms), plain_answer(50ms)});
    node.set_route(make_route(), make_service());
    node.publish("i-1", upstream.address());
    std::vector<const recorded_exchange*> requests;
    for (const char* id : {"a", "b", "c", "d"})
    {
        requests.push_back(&node.start(id));
    }
    for (const recorded_exchange* each : requests)
    {
        node.finish(*each);
        CHECK_TRUE_TEXT(each->is(200, "ok"), each->describe().c_str());
    }
    UNSIGNED_LONGS_EQUAL(1, questions(upstream));
}

// Fails when a request reaches a process that is cold, is not the expected one, or says nothing
// that can be used (incident FAILBACK).
TEST(process_check, an_unproven_process_gets_no_request)
{
    struct row
    {
        const char* name;
        scripted_answer answer;
    };
    const row rows[] = {
        {"cold", health("Process: i-1\r\nCold-Ms: 900\r\n")},
        {"another process", health("Process: i-2\r\n")},
        {"no name", health("")},
        {"the answer to another request", health("Process: i-1\r\nId: x\r\n")},
        {"not found", answer_of("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")},
        {"a part of an answer",
         {{{0ms, "HTTP/1.1 200 OK\r\nProcess: i-1\r\nContent-Length: 9\r\n\r\nup"}},
          answer_end::close}},
        {"an answer without length that is reset after a pause",
         {{{0ms, "HTTP/1.1 200 OK\r\nProcess: i-1\r\n\r\nu"}, {200ms, "p"}}, answer_end::reset}},
        {"no answer in time", health("Process: i-1\r\n", 600ms)},
        {"no answer", {{}, answer_end::close}},
    };
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {each.answer, plain_answer(0ms)});
        node.set_route(make_route(), make_service());
        node.publish("i-1", upstream.address());
        const recorded_exchange& request = node.start("a");
        node.finish(request);
        LONGS_EQUAL_TEXT(503, request.status, each.name);
        UNSIGNED_LONGS_EQUAL_TEXT(1, upstream.requests().size(), each.name);
    }
}

// Fails when a process that has answered, and then ends the connection or sends more bytes, is not
// used on another connection, or when those bytes are taken for the answer of the request.
TEST(process_check, an_answered_question_serves_another_connection)
{
    const scripted_answer rows[] = {
        health("Process: i-1\r\nConnection: close\r\n"),
        health("Process: i-1\r\nContent-Length: 2\r\n\r\nupHTTP/1.1 200 OK\r\n"),
    };
    for (const scripted_answer& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(node.loop, {each, plain_answer(0ms)});
        node.set_route(make_route(), make_service());
        node.publish("i-1", upstream.address());
        const recorded_exchange& request = node.start("a");
        node.finish(request);
        CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
        UNSIGNED_LONGS_EQUAL(1, questions(upstream));
    }
}

// Fails when an upstream that had nothing to say is never used again.
TEST(process_check, an_upstream_without_a_usable_answer_is_asked_again)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(
        node.loop, {answer_of("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
                    health("Process: i-1\r\n"), plain_answer(0ms)});
    node.set_route(make_route(), make_service());
    node.publish("i-1", upstream.address());
    node.finish(node.start("a"));
    node.run_for(300ms);
    const recorded_exchange& request = node.start("b");
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
}

// Fails when a service without a health check, or whose check says nothing, cannot be used at all:
// unbroken contact for a warm-up proves the process, too.
TEST(process_check, an_upstream_that_says_nothing_is_used_after_its_warm_up)
{
    for (const char* path : {"", "/health"})
    {
        call_fixture node(many_retries);
        scripted_upstream upstream(
            node.loop, {answer_of("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")});
        node.set_route(make_route(), make_service(path));
        node.publish("i-1", upstream.address());
        const auto begin = std::chrono::steady_clock::now();
        int status = 0;
        // The answer to the request itself is the upstream's 404.
        while (status != 404 && std::chrono::steady_clock::now() - begin < 6s)
        {
            const recorded_exchange& request = node.start("a");
            node.finish(request);
            status = request.status;
            node.run_for(50ms);
        }
        LONGS_EQUAL_TEXT(404, status, path);
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - begin >= 1s, path);
    }
}

// Fails when the bytes of a process that has ended, which were held back by a slow client, prove
// the successor at its address (incident FAILBACK).
TEST(process_check, bytes_that_are_read_late_do_not_prove_a_successor)
{
    struct row
    {
        const char* name;
        int events;
        core::milliseconds until_next;
    };
    const row rows[] = {{"the last bytes are written late", 3, 2'100ms},
                        {"bytes wait in the socket", 3'000, 2'100ms}};
    for (const row& each : rows)
    {
        call_fixture node(many_retries);
        scripted_upstream first(node.loop, {health("Process: i-1\r\n"),
                                            {{{0ms, stream_of(each.events)}}, answer_end::crash}});
        const unsigned short port = first.port();
        route streaming = make_route();
        streaming.kind = request_kind::streaming;
        node.set_route(streaming, make_service());
        node.publish("i-1", first.address());
        recorded_exchange& slow = node.start("slow");
        slow.next_write_takes = 2s;
        node.run_for(800ms);
        scripted_upstream second(
            node.loop, {health("Process: i-1\r\nCold-Ms: 900\r\n"), answer_of(stream_of(1))}, port);
        node.run_for(each.until_next - 800ms);
        node.finish(node.start("next"));
        UNSIGNED_LONGS_EQUAL_TEXT(questions(second), second.requests().size(), each.name);
    }
}

// Fails when an upstream that cannot be asked is connected to again and again for one request.
TEST(process_check, an_upstream_that_cannot_be_asked_costs_one_connection)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    node.set_route(make_route(), make_service(""));
    node.publish("i-1", upstream.address());
    const recorded_exchange& request = node.start("a");
    node.finish(request);
    LONGS_EQUAL(503, request.status);
    UNSIGNED_LONGS_EQUAL(1, upstream.connections());
}

// Fails when services without a warm-up pay for health checks.
TEST(process_check, an_upstream_without_a_warm_up_is_not_asked)
{
    call_fixture node(many_retries);
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    service plain = make_service();
    plain.warmup_rate = 0;
    node.set_route(make_route(), plain);
    node.publish("i-1", upstream.address());
    const recorded_exchange& request = node.start("a");
    node.finish(request);
    CHECK_TRUE_TEXT(request.is(200, "ok"), request.describe().c_str());
    UNSIGNED_LONGS_EQUAL(0, questions(upstream));
}
