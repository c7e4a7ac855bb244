/// Requirement 1: a bound request never leaves its region. Relays forward every connection between
/// nodes and search it for markers that only the requests contain.

#include <CppUTest/TestHarness.h>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";
const std::string remote = "ennstal";
const std::string marker = "LOGBOOK-KILN-7731";

struct upstream_fault
{
    const char* name;
    json fault;
};

/// Faults of the home region's only upstream, which would justify a spill to another region.
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
        fleet_topology topology;
        topology.nodes_per_region = 1;
        topology.has_relays = true;
        topology.model_residency = model_residency;
        fleet = std::make_unique<test_fleet>(topology);
        for (const std::string& region : {home, remote})
        {
            http_call(relay(region).control(), {.method = "PUT",
                                                .path = "/standin/markers",
                                                .headers = {},
                                                .body = json::array({marker}).dump()});
        }
        wait_until("each region lists the other one's entry point",
                   [this] { return lists_entry_point(home, remote); });
    }

    const standin& relay(const std::string& region) const
    {
        return *fleet->node(region, 0).relay;
    }

    bool lists_entry_point(const std::string& region, const std::string& other) const
    {
        const http_answer answer =
            http_get(fleet->node(region, 0).caller_address, "/v1/entry-points?home=" + other);
        return answer.body.find(fleet->node(other, 0).caller_address) != std::string::npos;
    }

    int hits() const
    {
        int sum = 0;
        for (const std::string& region : {home, remote})
        {
            sum += relay(region).counts()["markers"][marker].get<int>();
        }
        return sum;
    }

    http_answer call(const http_request& request) const
    {
        return http_call(fleet->node(home, 0).caller_address, request);
    }

    /// Checks that a bound request stays in its region although no upstream there works.
    void check_stays_in_region(const std::string& residency_header)
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
        LONGS_EQUAL_TEXT(0, hits(), "engine killed");
        const json counts = fleet->upstream(remote, "drafting").program->counts();
        LONGS_EQUAL_TEXT(0, counts["requests"].get<int>(), "served in another region");
    }
};

// Guards against relays that miss the marker, which would make the other tests pass: the marker of
// a free request must be found.
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
    CHECK_TRUE_TEXT(hits() > 0, "the relays did not find the request's marker");
}

// Guards against a spill, retry or hedge to another region for a bound service.
TEST(residency, bound_service_stays_in_its_region)
{
    start("bound");
    check_stays_in_region("");
}

// Guards against a residency header that is ignored.
TEST(residency, request_bound_by_header_stays_in_its_region)
{
    start("free");
    check_stays_in_region("bound");
}

// Guards against a caller whose header overrides the operator's `bound`.
TEST(residency, header_does_not_free_a_bound_service)
{
    start("bound");
    check_stays_in_region("free");
}

// Guards against a booking that is sent to another region's booking service.
TEST(residency, booking_stays_in_its_region)
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
    const json counts = fleet->upstream(remote, "booking").program->counts();
    LONGS_EQUAL(0, counts["requests"].get<int>());
}

// Guards against a bound request with a remote home that is forwarded there instead of refused.
TEST(residency, remote_home_is_refused)
{
    start("bound");
    http_request request = draft("");
    request.headers["Snipeplank-Home"] = remote;
    const http_answer answer = call(request);
    const json problem = json::parse(answer.body, nullptr, false);
    CHECK_TRUE_TEXT(problem.is_object(), answer.describe().c_str());
    STRCMP_EQUAL("wrong_region", problem.value("reason", "").c_str());
    LONGS_EQUAL(0, hits());
}
