/// Requirement 1: a bound request never leaves its region. Relays carry every connection between
/// nodes and look for markers that only the requests hold.

#include <CppUTest/TestHarness.h>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";
const std::string away = "ennstal";
const std::string marker = "LOGBOOK-KILN-7731";

struct upstream_fault
{
    const char* name;
    json fault;
};

/// What makes another region tempting while the home region has nothing that works.
std::vector<upstream_fault> upstream_faults()
{
    return {{"refusing", {{"refuse_status", 503}}},
            {"closing", {{"close_at", "before_execution"}}},
            {"cutting", {{"close_after_bytes", 300}}},
            {"silent", {{"silent_at", "before_execution"}}},
            {"slow", {{"slow_factor", 100}}}};
}

http_request draft(const std::string& residency)
{
    http_request request = test_fleet::drafting(marker + " readings of the night", 8);
    request.headers["Snipeplank-Deadline-Ms"] = "1000";
    if (!residency.empty())
    {
        request.headers["Snipeplank-Residency"] = residency;
    }
    return request;
}

} // namespace

TEST_GROUP(residency)
{
    std::unique_ptr<test_fleet> fleet;

    void start(const std::string& model_residency)
    {
        fleet_shape shape;
        shape.nodes_per_region = 1;
        shape.has_relays = true;
        shape.model_residency = model_residency;
        fleet = std::make_unique<test_fleet>(shape);
        for (const std::string& region : {home, away})
        {
            http_call(relay(region).control(), {.method = "PUT",
                                                .path = "/standin/markers",
                                                .headers = {},
                                                .body = json::array({marker}).dump()});
        }
        wait_until("the regions know each other", [this] { return knows(home, away); });
    }

    const standin& relay(const std::string& region) const
    {
        return *fleet->node(region, 0).relay;
    }

    bool knows(const std::string& region, const std::string& other) const
    {
        const http_answer answer =
            http_get(fleet->node(region, 0).caller_address, "/v1/entry-points?home=" + other);
        return answer.body.find(fleet->node(other, 0).caller_address) != std::string::npos;
    }

    int hits() const
    {
        int sum = 0;
        for (const std::string& region : {home, away})
        {
            sum += relay(region).counts()["markers"][marker].get<int>();
        }
        return sum;
    }

    http_answer call(const http_request& request) const
    {
        return http_call(fleet->node(home, 0).caller_address, request);
    }

    /// No upstream of the home region works. The bound request must stay all the same.
    void check_stays(const std::string& residency_header)
    {
        const standin& engine = *fleet->upstream(home, "drafting").program;
        for (const upstream_fault& row : upstream_faults())
        {
            engine.set_faults(row.fault);
            call(draft(residency_header));
            call(draft(residency_header));
            LONGS_EQUAL_TEXT(0, hits(), row.name);
        }
        fleet->upstream(home, "drafting").program->process().kill();
        const http_answer answer = call(draft(residency_header));
        CHECK_TRUE_TEXT(answer.status != 200, answer.describe().c_str());
        LONGS_EQUAL_TEXT(0, hits(), "engine gone");
        const json counts = fleet->upstream(away, "drafting").program->counts();
        LONGS_EQUAL_TEXT(0, counts["requests"].get<int>(), "served in another region");
    }
};

// Guards against relays that see nothing: a free request must be seen on its way.
TEST(residency, free_request_goes_to_another_region)
{
    start("free");
    fleet->upstream(home, "drafting").program->process().kill();
    http_request request = draft("");
    request.headers["Snipeplank-Deadline-Ms"] = "10000";
    http_answer answer;
    wait_until("served in the other region",
               [&]
               {
                   answer = call(request);
                   return answer.is(200);
               });
    STRCMP_EQUAL("", first_difference(answer.body, test_fleet::expected_draft(request)).c_str());
    CHECK_TRUE_TEXT(hits() > 0, "the relays did not see the request");
}

// Guards against a spill, retry or hedge of a service whose data is bound.
TEST(residency, bound_service_stays)
{
    start("bound");
    check_stays("");
}

// Guards against a caller's own wish that is ignored.
TEST(residency, bound_by_header_stays)
{
    start("free");
    check_stays("bound");
}

// Guards against a caller that loosens what the operator has bound.
TEST(residency, header_does_not_free_a_bound_service)
{
    start("bound");
    check_stays("free");
}

// Guards against a booking that is sent to another region's ledger.
TEST(residency, booking_stays)
{
    start("free");
    const standin& ledger = *fleet->upstream(home, "booking").program;
    for (const upstream_fault& row : upstream_faults())
    {
        const std::string ticket = test_fleet::take_ticket(fleet->node(home, 0));
        http_request request = test_fleet::booking(ticket, marker + "-" + row.name);
        request.headers["Snipeplank-Deadline-Ms"] = "1000";
        ledger.set_faults(row.fault);
        call(request);
        LONGS_EQUAL_TEXT(0, hits(), row.name);
    }
    const json counts = fleet->upstream(away, "booking").program->counts();
    LONGS_EQUAL(0, counts["requests"].get<int>());
}

// Guards against a request with a foreign home that is carried there instead of refused.
TEST(residency, foreign_home_is_refused)
{
    start("bound");
    http_request request = draft("");
    request.headers["Snipeplank-Home"] = away;
    const http_answer answer = call(request);
    const json problem = json::parse(answer.body, nullptr, false);
    CHECK_TRUE_TEXT(problem.is_object(), answer.describe().c_str());
    STRCMP_EQUAL("wrong_region", problem.value("reason", "").c_str());
    LONGS_EQUAL(0, hits());
}
