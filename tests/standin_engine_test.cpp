/// The engine stand-in must send exactly the bytes that other tests compare answers with.

#include <CppUTest/TestHarness.h>
#include <standins/support/engine_answer.hpp>

#include <csignal>

#include "standin.hpp"

using namespace snipeplank::tests;
using snipeplank::standins::engine_answer;

namespace
{

const std::string chat = "/v1/chat/completions";
const std::string streamed_body =
    R"({"model":"m","messages":[{"role":"user","content":"when is noon"}],"max_tokens":12,"stream":true})";
const std::string whole_body = R"({"model":"m","prompt":"when is noon","max_tokens":12})";

http_request resume_after(const std::string& event_id)
{
    return {.method = "POST",
            .path = chat,
            .headers = {{"Last-Event-ID", event_id}},
            .body = streamed_body};
}

} // namespace

TEST_GROUP(standin_engine)
{
    standin engine{"standin_engine", {"--name", "alpha", "--token_ms", "1"}};
};

// Guards against a stream that differs from the bytes that tests compute independently.
TEST(standin_engine, streams_the_computed_bytes)
{
    const http_answer answer = http_post(engine.address(), chat, streamed_body);
    CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
    const std::string expected = engine_answer("alpha", streamed_body, true).stream();
    STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
}

// Guards against an unstreamed answer that differs from the computed one.
TEST(standin_engine, gives_the_computed_whole_answer)
{
    const http_answer answer = http_post(engine.address(), "/v1/completions", whole_body);
    CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
    const std::string expected = engine_answer("alpha", whole_body, false).whole();
    STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
}

// Guards against a resumed stream that repeats or skips tokens.
TEST(standin_engine, resumes_after_an_event)
{
    const http_answer answer = http_call(engine.address(), resume_after("5"));
    const std::string expected = engine_answer("alpha", streamed_body, true).stream(5);
    STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
    LONGS_EQUAL(1, engine.counts()["resumed"].get<int>());
}

// Guards against a close fault whose answer looks complete.
TEST(standin_engine, closes_in_the_middle_of_an_answer)
{
    engine.set_faults({{"close_after_bytes", 300}, {"calls", 1}});
    const http_answer answer = http_post(engine.address(), chat, streamed_body);
    CHECK_TRUE(answer.end == answer_end::truncated);
    LONGS_EQUAL(300, answer.body.size());
    CHECK_TRUE(http_post(engine.address(), chat, streamed_body).is(200));
}

// Guards against a silent connection that blocks other connections.
TEST(standin_engine, goes_silent_on_one_connection_only)
{
    engine.set_faults({{"silent_after_bytes", 300}, {"calls", 1}});
    http_exchange silent(engine.address(), {.method = "POST",
                                            .path = chat,
                                            .headers = {},
                                            .body = streamed_body,
                                            .read_timeout = std::chrono::seconds(1)});
    CHECK_TRUE(silent.read_body(300));
    CHECK_TRUE(http_post(engine.address(), chat, streamed_body).is(200));
    CHECK_TRUE(silent.finish().end == answer_end::silent);
}

// Guards against an early clean end that still sends the complete stream.
TEST(standin_engine, ends_cleanly_before_the_last_event)
{
    engine.set_faults({{"end_after_bytes", 300}, {"calls", 1}});
    const http_answer answer = http_post(engine.address(), chat, streamed_body);
    CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
    LONGS_EQUAL(300, answer.body.size());
}

// Guards against work that continues after the caller has closed the connection.
TEST(standin_engine, cancels_when_the_caller_closes)
{
    {
        http_exchange call(engine.address(),
                           {.method = "POST",
                            .path = "/v1/completions",
                            .headers = {},
                            .body = R"({"prompt":"x","max_tokens":100000,"stream":true})"});
        CHECK_TRUE(call.read_body(1));
    }
    wait_until("cancelled", [&] { return engine.counts()["cancelled"] == 1; });
    LONGS_EQUAL(0, engine.counts()["completed"].get<int>());
}

// Guards against a prefix cache that has no effect, or an uncached prompt without prefill.
TEST(standin_engine, needs_no_prefill_for_a_cached_prefix)
{
    const std::string text(640, 'a');
    const std::string body = R"({"max_tokens":1,"prompt":")" + text + R"("})";
    http_post(engine.address(), "/v1/completions", body);
    LONGS_EQUAL(160, engine.counts()["prefill_tokens"].get<int>());
    http_post(engine.address(), "/v1/completions", body);
    LONGS_EQUAL(160, engine.counts()["prefill_tokens"].get<int>());
}

// Guards against an outdated order that is accepted, and a new one that is refused.
TEST(standin_engine, refuses_orders_with_an_old_fencing_number)
{
    const auto order = [&](const std::string& number)
    {
        return http_call(engine.address(), {.method = "POST",
                                            .path = "/v1/orders",
                                            .headers = {{"Fencing-Number", number}},
                                            .body = R"({"model":"m"})"})
            .status;
    };
    LONGS_EQUAL(202, order("7"));
    LONGS_EQUAL(409, order("7"));
    LONGS_EQUAL(409, order("6"));
    LONGS_EQUAL(202, order("8"));
    LONGS_EQUAL(8, engine.get_json("/v1/orders")["last_fencing_number"].get<int>());
}

// Guards against reports that change while they are frozen.
TEST(standin_engine, freezes_its_reports)
{
    const std::string before = http_get(engine.address(), "/metrics").body;
    CHECK_TRUE(before.find("vllm:num_requests_running 0") != std::string::npos);
    engine.set_faults({{"freeze_reports", true}});
    const std::string body = R"({"prompt":"x","max_tokens":100000,"stream":true})";
    http_exchange call(engine.address(),
                       {.method = "POST", .path = "/v1/completions", .headers = {}, .body = body});
    CHECK_TRUE(call.read_body(1));
    STRCMP_EQUAL(before.c_str(), http_get(engine.address(), "/metrics").body.c_str());
    engine.set_faults(nlohmann::json::object());
    CHECK_TRUE(http_get(engine.address(), "/metrics").body.find("running 1") != std::string::npos);
}

// Guards against a stand-in that cannot be stopped while a call is open.
TEST(standin_engine, ends_cleanly_with_a_silent_call)
{
    engine.set_faults({{"silent_at", "before_execution"}});
    http_exchange call(engine.address(),
                       {.method = "POST", .path = chat, .headers = {}, .body = streamed_body});
    wait_until("arrived", [&] { return engine.counts()["requests"] == 1; });
    LONGS_EQUAL(0, engine.process().terminate());
}
