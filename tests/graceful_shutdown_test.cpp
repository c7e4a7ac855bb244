/// Requirement 8: a planned stop completes all requests in flight.

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <future>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";

fleet_topology one_region()
{
    fleet_topology topology;
    topology.regions = {home};
    topology.engine_arguments = {"--token_ms", "20"};
    return topology;
}

} // namespace

TEST_GROUP(graceful_shutdown)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<test_fleet>(one_region());
    }

    /// Starts a stream and retries after each refusal, because a node that has just started admits
    /// few calls.
    static std::unique_ptr<http_exchange> start_stream(const test_node& node,
                                                       const http_request& request)
    {
        std::unique_ptr<http_exchange> call;
        wait_until("stream admitted",
                   [&]
                   {
                       call = std::make_unique<http_exchange>(node.caller_address, request);
                       return call->read_body(1) && call->status() == 200;
                   });
        return call;
    }

    /// Sends SIGTERM and waits until the node is no longer ready.
    void stop(test_node & node) const
    {
        node.process->send_signal(SIGTERM);
        wait_until("not ready", [&] { return !http_get(node.admin_address, "/readyz").is(200); });
    }
};

// Guards against a stop that truncates long streams.
TEST(graceful_shutdown, finishes_long_streams)
{
    constexpr std::size_t streams = 6;
    test_node& node = fleet->node(home, 0);
    std::vector<http_request> requests;
    std::vector<std::unique_ptr<http_exchange>> calls;
    for (std::size_t i = 0; i < streams; ++i)
    {
        requests.push_back(test_fleet::drafting("text " + std::to_string(i), 150));
        calls.push_back(start_stream(node, requests.back()));
    }
    stop(node);
    for (std::size_t i = 0; i < streams; ++i)
    {
        const http_answer answer = calls[i]->finish();
        CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
        const std::string expected = test_fleet::expected_draft(requests[i]);
        STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
    }
    LONGS_EQUAL(0, node.process->wait());
}

// Guards against a stop that drops an unstreamed answer whose head has not been sent.
TEST(graceful_shutdown, finishes_whole_answers)
{
    test_node& node = fleet->node(home, 0);
    const http_request request = test_fleet::drafting("text", 100, false);
    http_exchange call(node.caller_address, request);
    wait_until("at the engine", [this]
               { return fleet->upstream(home, "drafting").program->counts()["requests"] == 1; });
    stop(node);
    const http_answer answer = call.finish();
    const std::string expected = test_fleet::expected_draft(request);
    STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
    LONGS_EQUAL(0, node.process->wait());
}

// Guards against new work at a stopping node, and against a refusal without its reason.
TEST(graceful_shutdown, refuses_new_requests_while_stopping)
{
    test_node& node = fleet->node(home, 0);
    const http_request request = test_fleet::drafting("long", 150);
    http_exchange call(node.caller_address, request);
    CHECK_TRUE(call.read_body(1));
    stop(node);
    const http_answer refused = http_call(node.caller_address, test_fleet::drafting("new", 1));
    const json problem = json::parse(refused.body, nullptr, false);
    CHECK_TRUE_TEXT(problem.is_object(), refused.describe().c_str());
    STRCMP_EQUAL("draining", problem.value("reason", "").c_str());
    STRCMP_EQUAL("no", problem.value("executed", "").c_str());
    CHECK_TRUE(call.finish().is(200));
}

// Guards against a booking that is dropped, run again or lost from the records when its issuer
// stops.
TEST(graceful_shutdown, finishes_a_booking_and_hands_its_outcome_over)
{
    test_node& node = fleet->node(home, 0);
    const std::string ticket = test_fleet::take_ticket(node);
    const http_request request = test_fleet::booking(ticket, "order-1");
    const standin& ledger = *fleet->upstream(home, "booking").program;
    constexpr double factor = 2'000; // of 1 ms of work
    ledger.set_faults({{"slow_factor", factor}});
    http_exchange call(node.caller_address, request);
    wait_until("executed", [this] { return fleet->executions("order-1") == 1; });
    stop(node);
    const http_answer answer = call.finish();
    CHECK_TRUE_TEXT(answer.is(201), answer.describe().c_str());
    LONGS_EQUAL(0, node.process->wait());

    const http_answer repeat = http_call(fleet->node(home, 1).caller_address, request);
    CHECK_TRUE_TEXT(repeat.is(201), repeat.describe().c_str());
    STRCMP_EQUAL(answer.body.c_str(), repeat.body.c_str());
    LONGS_EQUAL(1, fleet->executions("order-1"));
}

// Guards against a successor that runs a call with a ticket of the stopped incarnation.
TEST(graceful_shutdown, never_runs_an_unused_ticket_at_the_successor)
{
    test_node& node = fleet->node(home, 0);
    const std::string ticket = test_fleet::take_ticket(node);
    LONGS_EQUAL(0, node.process->terminate());
    const http_answer answer =
        http_call(fleet->node(home, 1).caller_address, test_fleet::booking(ticket, "order-1"));
    const json problem = json::parse(answer.body, nullptr, false);
    CHECK_TRUE_TEXT(problem.is_object(), answer.describe().c_str());
    STRCMP_EQUAL_TEXT("no", problem.value("executed", "").c_str(), answer.describe().c_str());
    LONGS_EQUAL(0, fleet->executions("order-1"));
}

// Guards against a ticket that is refused while its issuer still completes requests, and against a
// header name that is compared case-sensitively.
TEST(graceful_shutdown, honours_issued_tickets_while_stopping)
{
    test_node& node = fleet->node(home, 0);
    const std::string first = test_fleet::take_ticket(node);
    const std::string second = test_fleet::take_ticket(node);
    const auto call = start_stream(node, test_fleet::drafting("long", 150));
    stop(node);
    const http_answer booked =
        http_call(node.caller_address, test_fleet::booking(first, "order-1"));
    CHECK_TRUE_TEXT(booked.is(201), booked.describe().c_str());
    http_request lower_case = test_fleet::booking(second, "order-2");
    lower_case.headers.erase("Idempotency-Key");
    lower_case.headers["idempotency-key"] = second;
    const http_answer also_booked = http_call(node.caller_address, lower_case);
    CHECK_TRUE_TEXT(also_booked.is(201), also_booked.describe().c_str());
    CHECK_TRUE(call->finish().is(200));
    LONGS_EQUAL(0, node.process->wait());
}
