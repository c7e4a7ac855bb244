/// The relay stand-in must apply the requested link faults and count every marker.

#include <CppUTest/TestHarness.h>

#include "standin.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

TEST_GROUP(standin_relay)
{
    standin engine{"standin_engine", {"--token_ms", "1"}};
    standin relay{"standin_relay", {"--target", engine.address()}};

    static http_request call(const std::string& text, std::size_t tokens)
    {
        const json body = {{"prompt", text}, {"max_tokens", tokens}, {"stream", true}};
        return {.method = "POST",
                .path = "/v1/completions",
                .headers = {},
                .body = body.dump(),
                .read_timeout = std::chrono::seconds(2)};
    }

    void watch(const json& markers) const
    {
        http_call(
            relay.control(),
            {.method = "PUT", .path = "/standin/markers", .headers = {}, .body = markers.dump()});
    }
};

// Guards against bytes that the relay changes or loses.
TEST(standin_relay, carries_bytes_unchanged)
{
    const http_answer direct = http_call(engine.address(), call("text", 50));
    const http_answer relayed = http_call(relay.address(), call("text", 50));
    CHECK_TRUE_TEXT(relayed.is(200), relayed.describe().c_str());
    STRCMP_EQUAL("", first_difference(relayed.body, direct.body).c_str());
}

// Guards against a marker that is missed or counted twice.
TEST(standin_relay, counts_markers)
{
    watch({"MARKER-1", "MARKER-2"});
    http_call(relay.address(), call("a MARKER-1 and a MARKER-1", 1));
    LONGS_EQUAL(2, relay.counts()["markers"]["MARKER-1"].get<int>());
    LONGS_EQUAL(0, relay.counts()["markers"]["MARKER-2"].get<int>());
}

// Guards against a cut that leaves open connections or affects new ones.
TEST(standin_relay, cuts_open_connections)
{
    http_exchange open(relay.address(), call("text", 100'000));
    CHECK_TRUE(open.read_body(1));
    relay.set_faults({{"cut", true}});
    CHECK_TRUE(open.finish().end == answer_end::truncated);
    CHECK_TRUE(http_call(relay.address(), call("text", 3)).is(200));
}

// Guards against silence that ends, or that affects new connections.
TEST(standin_relay, silences_open_connections_while_new_ones_work)
{
    http_exchange open(relay.address(), call("text", 100'000));
    CHECK_TRUE(open.read_body(1));
    relay.set_faults({{"silence_existing", true}});
    CHECK_TRUE(http_call(relay.address(), call("text", 3)).is(200));
    CHECK_TRUE(open.finish().end == answer_end::silent);
}

// Guards against refused connections that reach the target, and refusals that cannot be ended.
TEST(standin_relay, refuses_and_accepts_again)
{
    relay.set_faults({{"refuse", true}});
    wait_until("refused", [this]
               { return http_get(relay.address(), "/health").end == answer_end::no_connection; });
    relay.set_faults(json::object());
    wait_until("accepted", [this] { return http_get(relay.address(), "/health").is(200); });
}

// Guards against a one-way loss that also stops the other direction.
TEST(standin_relay, drops_one_direction)
{
    relay.set_faults({{"drop", "to_client"}});
    const auto before = engine.counts()["requests"].get<int>();
    const http_answer answer = http_call(relay.address(), call("text", 3));
    LONGS_EQUAL(0, answer.status);
    LONGS_EQUAL(before + 1, engine.counts()["requests"].get<int>());
}

// Guards against delay or rate limits that reorder or lose bytes.
TEST(standin_relay, keeps_bytes_in_order_under_delay_and_rate)
{
    const http_answer direct = http_call(engine.address(), call("text", 50));
    relay.set_faults({{"delay_ms", 20}, {"rate_bytes_per_s", 100'000}});
    const http_answer relayed = http_call(relay.address(), call("text", 50));
    STRCMP_EQUAL("", first_difference(relayed.body, direct.body).c_str());
}

// Guards against bytes that arrive behind lost ones: a stream then had a gap (soak seed 5006).
TEST(standin_relay, forwards_nothing_behind_lost_bytes)
{
    standin resetting{"standin_relay", {"--target", engine.address(), "--ends_by_reset"}};
    constexpr std::size_t tokens = 1'000;
    const http_answer direct = http_call(engine.address(), call("text", tokens));
    http_exchange open(resetting.address(), call("text", tokens));
    CHECK_TRUE(open.read_body(1));
    resetting.set_faults({{"drop", "to_client"}});
    const auto carried = [&] { return resetting.counts()["bytes_to_client"].get<std::size_t>(); };
    const std::size_t before = carried();
    wait_until("bytes are lost", [&] { return carried() > before; });
    resetting.set_faults(json::object());
    const http_answer cut = open.finish();
    CHECK_TRUE_TEXT(cut.end == answer_end::truncated, cut.describe().c_str());
    CHECK_TRUE_TEXT(direct.body.rfind(cut.body, 0) == 0, "bytes are missing inside the answer");
}
