/// The service stand-in must count every execution, or tests would miss a double booking.

#include <CppUTest/TestHarness.h>

#include "standin.hpp"

using namespace snipeplank::tests;

namespace
{

struct fault_case
{
    const char* fault;
    answer_end end;
    int status;
    int executions;
};

const fault_case fault_cases[] = {
    {R"({})", answer_end::clean, 201, 1},
    {R"({"refuse_status":503})", answer_end::clean, 503, 0},
    {R"({"close_at":"before_execution"})", answer_end::truncated, 0, 0},
    {R"({"close_at":"after_execution"})", answer_end::truncated, 0, 1},
    {R"({"close_after_bytes":20})", answer_end::truncated, 201, 1},
    {R"({"silent_at":"before_execution"})", answer_end::silent, 0, 0},
    {R"({"silent_at":"after_execution"})", answer_end::silent, 0, 1},
    {R"({"silent_after_bytes":20})", answer_end::silent, 201, 1},
};

} // namespace

TEST_GROUP(standin_service)
{
    standin service{"standin_service"};

    http_answer book(const std::string& id) const
    {
        return http_call(service.address(),
                         {.method = "POST",
                          .path = "/slots",
                          .headers = {},
                          .body = R"({"booking_id":")" + id + R"(","slot":"kiln-7"})",
                          .read_timeout = std::chrono::seconds(1)});
    }
};

// Guards against faults that take effect at another step than requested.
TEST(standin_service, executes_or_not_as_the_fault_requires)
{
    int number = 0;
    for (const auto& row : fault_cases)
    {
        const std::string id = "booking-" + std::to_string(number++);
        service.set_faults(nlohmann::json::parse(row.fault));
        const http_answer answer = book(id);
        CHECK_TRUE_TEXT(answer.end == row.end, row.fault);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.fault);
        service.set_faults(nlohmann::json::object());
        const int executions = service.get_json("/standin/executions").value(id, 0);
        LONGS_EQUAL_TEXT(row.executions, executions, row.fault);
    }
}

// Guards against a stand-in that hides a second execution by being idempotent itself.
TEST(standin_service, counts_a_repeated_booking_twice)
{
    book("b");
    book("b");
    LONGS_EQUAL(2, service.get_json("/standin/executions")["b"].get<int>());
    STRCMP_EQUAL("b", service.get_json("/slots")["slots"]["kiln-7"].get<std::string>().c_str());
}

// Guards against a misspelt fault that is ignored, so that a test runs without it.
TEST(standin_service, refuses_unknown_faults)
{
    LONGS_EQUAL(400, http_post(service.address(), "/standin/faults", R"({"close_att":1})").status);
}
