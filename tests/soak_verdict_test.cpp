/// The checks of the soak test must find each kind of violated guarantee.

#include <CppUTest/TestHarness.h>

#include <vector>

#include "soak/soak_verdict.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

const soak_time start{};

http_answer answer(int status, const std::string& body, answer_end end = answer_end::clean)
{
    http_answer made;
    made.status = status;
    made.body = body;
    made.end = end;
    made.headers["server-signature"] = "3e1b.07.a";
    return made;
}

const std::string own_body = "answer of s1 to POST /book/a ";
const std::string two_events = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n";

struct row
{
    const char* name;
    call_kind kind;
    http_answer seen;
    int runs_at_home; ///< at s1
    int runs_remote;  ///< at s3
    bool is_planned;
    bool is_violation;
};

const std::vector<row> rows{
    {"served once", call_kind::book, answer(200, own_body), 1, 0, true, false},
    {"run twice", call_kind::book, answer(200, own_body), 1, 1, false, true},
    {"reported as not run, but run", call_kind::book, answer(503, ""), 1, 0, false, true},
    {"reported as not run and not run", call_kind::book, answer(503, ""), 0, 0, false, false},
    {"unknown and run", call_kind::book, answer(502, ""), 1, 0, false, false},
    {"answer to another request", call_kind::book, answer(200, "answer of s1 to POST /book/b "), 1,
     0, false, true},
    {"success without a run", call_kind::book, answer(200, own_body), 0, 0, false, true},
    {"a read that ran twice", call_kind::read, answer(503, ""), 2, 0, false, false},
    {"a bound read in another region", call_kind::read, answer(502, ""), 0, 1, false, true},
    {"half a stream with a clean end", call_kind::stream, answer(200, two_events), 1, 0, false,
     true},
    {"half a stream, truncated by a fault", call_kind::stream,
     answer(200, two_events, answer_end::truncated), 1, 0, false, false},
    {"half a stream, truncated by a planned operation", call_kind::stream,
     answer(200, two_events, answer_end::truncated), 1, 0, true, true},
    {"a repeated event", call_kind::stream,
     answer(200, two_events + "id: 2\ndata: token 2\n\n", answer_end::truncated), 1, 0, false,
     true},
    {"an answer without an end", call_kind::book, answer(0, "", answer_end::silent), 0, 0, false,
     true},
};

} // namespace

TEST_GROUP(soak_verdict){static std::vector<std::string> violations_of(
    const row& each, std::vector<exclusion_period> exclusions = {}){soak_record seen;
seen.home = "home";
seen.is_planned = each.is_planned;
seen.exclusions = std::move(exclusions);
seen.servers = {{"s1", "home", {}}, {"s3", "away", {}}};
if (each.runs_at_home > 0)
    seen.servers[0].runs["a"] = each.runs_at_home;
if (each.runs_remote > 0)
    seen.servers[1].runs["a"] = each.runs_remote;
seen.calls = {{"a", each.kind, start + 5s, each.seen}};
return find_violations(seen);
}
}
;

// Fails when a violation is not found, or a correct call is reported as a violation.
TEST(soak_verdict, each_kind_of_violation_is_found)
{
    for (const row& each : rows)
    {
        CHECK_EQUAL_TEXT(each.is_violation, !violations_of(each).empty(), each.name);
    }
}

// Fails when a request that ran at a leaving server is accepted within the exclusion period, or
// reported outside of it.
TEST(soak_verdict, an_excluded_server_may_not_run_new_requests)
{
    const row& served = rows.front();
    CHECK_FALSE(violations_of(served, {{"s1", start + 4s, start + 6s}}).empty());
    CHECK_TRUE(violations_of(served, {{"s1", start + 6s, start + 8s}}).empty());
    CHECK_TRUE(violations_of(served, {{"s3", start + 4s, start + 6s}}).empty());
}
