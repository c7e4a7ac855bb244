/// Requirement 8: a planned stop cuts off no request in flight.

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <future>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";

fleet_shape one_region()
{
    fleet_shape shape;
    shape.regions = {home};
    shape.engine_arguments = {"--token_ms", "20"};
    return shape;
}

} // namespace

TEST_GROUP(graceful_shutdown)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<test_fleet>(one_region());
    }

    /// Starts a stream, again after each refusal: a node that has just started admits few calls.
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

    /// Asks the node to stop and waits until it says so.
    void stop(test_node & node) const
    {
        node.process->send_signal(SIGTERM);
        wait_until("not ready", [&] { return !http_get(node.admin_address, "/readyz").is(200); });
    }
};

// Guards against a stop that cuts off long streams.
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

// Guards against a stop that cuts off a whole answer whose head has not been sent.
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

// Guards against new work at a node that is stopping, and against a refusal without its reason.
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

// Guards against a booking that is cut off, run again or forgotten when its issuer stops.
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

// Guards against a successor that runs a call of the former incarnation.
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
