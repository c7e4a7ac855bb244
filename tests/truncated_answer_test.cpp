/// Requirement 4: a truncated or stalled engine answer never reaches a caller as a shorter answer
/// with a clean end.

#include <CppUTest/TestHarness.h>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";

const char* const byte_faults[] = {"close_after_bytes", "silent_after_bytes", "end_after_bytes"};

/// Offsets in the first event, near an event boundary, in the middle and near the end.
constexpr std::size_t byte_counts[] = {0, 1, 150, 195, 1'000, 2'300};

fleet_topology one_node(bool resumes, bool configured_to_resume)
{
    fleet_topology topology;
    topology.regions = {home};
    topology.nodes_per_region = 1;
    topology.services_per_region = 0;
    topology.engine_resumes = configured_to_resume;
    topology.engine_arguments = {"--token_ms", "1", resumes ? "--resumes" : "--noresumes"};
    return topology;
}

} // namespace

TEST_GROUP(truncated_answer)
{
    std::unique_ptr<test_fleet> fleet;

    /// Checks that an answer with a clean end is correct or a refusal with its reason, and that a
    /// truncated one is a prefix of the correct answer with something in it: one of which nothing
    /// has arrived can be refused.
    static void check_answer(const http_answer& answer, const http_request& request,
                             const std::string& what)
    {
        const std::string text = what + ": " + answer.describe();
        if (answer.end != answer_end::clean)
        {
            const std::string expected = test_fleet::expected_draft(request);
            CHECK_TRUE_TEXT(expected.starts_with(answer.body), ("wrong bytes; " + text).c_str());
            CHECK_TRUE_TEXT(answer.end == answer_end::truncated, text.c_str());
            CHECK_FALSE_TEXT(answer.body.empty(), text.c_str());
            return;
        }
        if (answer.status == 200)
        {
            const std::string expected = test_fleet::expected_draft(request);
            STRCMP_EQUAL_TEXT("", first_difference(answer.body, expected).c_str(), text.c_str());
            return;
        }
        const json problem = json::parse(answer.body, nullptr, false);
        CHECK_TRUE_TEXT(problem.is_object() && problem.contains("reason"), text.c_str());
    }

    void check_all_faults(bool streamed, int faulty_calls)
    {
        const standin& engine = *fleet->upstream(home, "drafting").program;
        for (const char* fault : byte_faults)
        {
            for (const std::size_t bytes : byte_counts)
            {
                engine.set_faults({{fault, bytes}, {"calls", faulty_calls}});
                http_request request =
                    test_fleet::drafting(fault + std::to_string(bytes), 12, streamed);
                request.headers["Snipeplank-Deadline-Ms"] = "1500";
                const http_answer answer = http_call(fleet->node(home, 0).caller_address, request);
                check_answer(answer, request, fault + (" " + std::to_string(bytes)));
            }
        }
        engine.set_faults(json::object());
    }

    /// Ejection and slow start may refuse calls for a while; the service must recover.
    void check_serves_again() const
    {
        const http_request request = test_fleet::drafting("afterwards", 12);
        wait_until("served again",
                   [&] { return http_call(fleet->node(home, 0).caller_address, request).is(200); });
    }
};

// Guards against a truncated stream with a clean end, for an engine that cannot resume.
TEST(truncated_answer, streams_of_an_engine_without_resume)
{
    fleet = std::make_unique<test_fleet>(one_node(false, false));
    check_all_faults(true, 100);
    check_serves_again();
}

// Guards against a resumed stream that repeats or skips bytes.
TEST(truncated_answer, streams_of_an_engine_with_resume)
{
    fleet = std::make_unique<test_fleet>(one_node(true, true));
    check_all_faults(true, 1);
    check_serves_again();
}

// Guards against a stream that is resumed endlessly, or truncated with a clean end.
TEST(truncated_answer, streams_of_an_engine_that_fails_each_resume)
{
    fleet = std::make_unique<test_fleet>(one_node(true, true));
    check_all_faults(true, 100);
    check_serves_again();
}

// Guards against a truncated unstreamed answer that is forwarded with a shorter length.
TEST(truncated_answer, whole_answers)
{
    fleet = std::make_unique<test_fleet>(one_node(false, false));
    check_all_faults(false, 100);
    check_serves_again();
}

// Guards against a restarted stream that is forwarded as the continuation, when the configuration
// claims that the engine resumes and it does not.
TEST(truncated_answer, streams_of_an_engine_wrongly_configured_to_resume)
{
    fleet = std::make_unique<test_fleet>(one_node(false, true));
    check_all_faults(true, 1);
    check_serves_again();
}
