/// The stand-in for a server of the users' platform says of itself what the platform's pages say.

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

#include "event_text.hpp"
#include "machine_fleet.hpp"
#include "standin.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

namespace
{

void tell(const standin& server, const std::string& path, const std::string& body)
{
    CHECK_TRUE(http_post(server.address(), path, body).is(200));
}

http_answer call(const standin& server, const std::string& path, const std::string& id)
{
    http_request request = machine_fleet::request("POST", path, "a");
    request.headers["Expect-Instance"] = id;
    return http_call(server.address(), request);
}

} // namespace

TEST_GROUP(standin_server){};

// Fails when a way of answering health checks differs from its name.
TEST(standin_server, health_checks_are_answered_as_told)
{
    struct row
    {
        const char* way;
        int status;
        answer_end end;
        const char* id;
    };
    const row rows[] = {
        {"", 200, answer_end::clean, "i-1"},
        {"failing", 503, answer_end::clean, "i-1"},
        {"shed", 503, answer_end::clean, ""},
        {"none", 404, answer_end::clean, ""},
        {"other_id", 200, answer_end::clean, "i-1-other"},
        {"no_id", 200, answer_end::clean, ""},
        {"body", 200, answer_end::clean, "i-1"},
        {"chunked", 200, answer_end::clean, "i-1"},
        {"until_close", 200, answer_end::clean, "i-1"},
        {"cut", 200, answer_end::truncated, "i-1"},
    };
    const standin server("standin_server", {"--id", "i-1"});
    for (const row& each : rows)
    {
        tell(server, "/standin/health", each.way);
        const http_answer answer = http_get(server.address(), "/healthz");
        const auto id = answer.headers.find("instance-id");
        LONGS_EQUAL_TEXT(each.status, answer.status, each.way);
        CHECK_TRUE_TEXT(answer.end == each.end, answer.describe().c_str());
        STRCMP_EQUAL(each.id, id == answer.headers.end() ? "" : id->second.c_str());
        CHECK_FALSE(answer.headers.contains("warmup-ms"));
    }
    tell(server, "/standin/health", "");
    tell(server, "/standin/leaving", "1");
    CHECK_TRUE(http_get(server.address(), "/healthz").is(503));
}

// Fails when a server that was started cold, or is told to be cold, does not say so, or counts
// what does not reach it.
TEST(standin_server, a_cold_server_says_so_and_counts_its_requests)
{
    const standin server("standin_server", {"--id", "i-1", "--cold_ms", "60000"});
    for (const char* id : {"i-1", "i-2", "i-1"})
    {
        LONGS_EQUAL(std::string(id) == "i-1" ? 200 : 421, call(server, "/read/x", id).status);
    }
    const http_answer health = http_get(server.address(), "/healthz");
    CHECK_TRUE(std::stol(health.headers.at("warmup-ms")) > 50'000);
    LONGS_EQUAL(2, machine_fleet::seen(server)["cold_most"].get<int>());
    tell(server, "/standin/cold", "0");
    CHECK_TRUE(call(server, "/read/x", "i-1").is(200));
    CHECK_FALSE(http_get(server.address(), "/healthz").headers.contains("warmup-ms"));
    LONGS_EQUAL(0, machine_fleet::seen(server)["cold_most"].get<int>());
}

// Fails when a cold server stands a rate well above its bound.
TEST(standin_server, a_cold_server_ends_at_a_rate_well_above_its_bound)
{
    standin server("standin_server", {"--id", "i-1", "--cold_ms", "60000", "--cold_crash_at", "3"});
    CHECK_TRUE(call(server, "/read/x", "i-1").is(200));
    CHECK_TRUE(call(server, "/read/x", "i-1").is(200));
    CHECK_FALSE(call(server, "/read/x", "i-1").is(200));
    CHECK_TRUE(server.process().wait() != 0);
}

// Fails when the next run of a server with the same id and address remembers something, or does not
// differ in its time of birth.
TEST(standin_server, the_next_run_knows_nothing_of_the_one_before)
{
    standin server("standin_server", {"--id", "i-1"});
    const std::string address = server.address();
    const auto report = [&] { return server.get_json("/api/report"); };
    const long born = report()["born"].get<long>();
    CHECK_TRUE(call(server, "/read/x", "i-1").is(200));
    server.process().kill();
    server.restart({"--id", "i-1", "--address", address});
    CHECK_TRUE(report()["born"].get<long>() > born);
    CHECK_TRUE(report()["Sequence"].is_number_unsigned());
    CHECK_TRUE(machine_fleet::seen(server)["runs"].empty());
    STRCMP_EQUAL(address.c_str(), server.address().c_str());
}

// Fails when events do not name the software version, or a stream that is taken up does not go on
// after its last event, whatever version began it.
TEST(standin_server, events_name_the_version_of_the_software)
{
    const standin server("standin_server", {"--id", "i-1", "--software", "v2"});
    STRCMP_EQUAL(event_text(1, 5, "v2").c_str(), call(server, "/stream/x", "i-1").body.c_str());
    http_request again =
        taken_up(machine_fleet::request("POST", "/stream/x", ""), "b", "a", event_text(1, 3, "v1"));
    again.headers["Expect-Instance"] = "i-1";
    STRCMP_EQUAL(event_text(4, 5, "v2").c_str(), http_call(server.address(), again).body.c_str());
    const nlohmann::json resumed = machine_fleet::seen(server)["resumed"]["b"];
    STRCMP_EQUAL("a", resumed["Resumes"].get<std::string>().c_str());
    STRCMP_EQUAL("3", resumed["Last-Event-Id"].get<std::string>().c_str());
}
