/// Guards whole answers: what a connection may hand on as complete.

#include <CppUTest/TestHarness.h>

#include <optional>

#include "loopback.hpp"

using namespace snipeplank;
using namespace snipeplank::http;
using namespace snipeplank::http::tests;

namespace
{

/// What one exchange with a server gave.
struct outcome
{
    int status = 0;
    std::string body;
    bool is_whole = false;
    bool is_reusable = false;
};

boost::asio::awaitable<void> exchange_once(client_connection& link, outcome& result)
{
    const auto connected = co_await link.connect(core::milliseconds{2'000});
    if (!connected)
        co_return;
    request_head head;
    head.method = "GET";
    head.target = "/";
    link.expire_after(core::milliseconds{5'000});
    link.send(head, std::string());
    const auto answer = co_await link.read_head();
    if (!answer)
        co_return;
    result.status = answer.value().status;
    while (!result.is_whole)
    {
        const auto piece = co_await link.read_chunk();
        if (!piece)
            co_return;
        result.body += piece.value().data;
        result.is_whole = piece.value().is_last;
    }
    link.stop_timer();
    result.is_reusable = link.is_reusable();
}

outcome ask(const core::address& server)
{
    boost::asio::io_context loop;
    client_connection link(loop, server);
    outcome result;
    boost::asio::co_spawn(loop, exchange_once(link, result),
                          [&](const std::exception_ptr&) { loop.stop(); });
    loop.run();
    return result;
}

struct answer_row
{
    const char* name;
    std::string bytes;
    bool resets;
    bool is_whole;
    bool is_reusable;
};

const answer_row answers[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, true, true},
    {"too short", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false, false, false},
    {"bytes after the answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n", false, true, false},
    {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
     true, true},
    {"chunked without its end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
     false, false, false},
    {"until the close", "HTTP/1.1 200 OK\r\n\r\nabc", false, true, false},
    {"until a reset", "HTTP/1.1 200 OK\r\n\r\nabc", true, false, false},
    {"announced close", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
     false, true, false},
    {"interim answer first",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, true,
     true},
    {"no answer", "garbage\r\n\r\n", false, false, false},
    {"nothing", "", false, false, false},
};

} // namespace

TEST_GROUP(http_client){};

// Fails when a part of an answer looks complete, or a connection with stray bytes is used again.
TEST(http_client, only_whole_answers_count_as_whole)
{
    for (const answer_row& row : answers)
    {
        scripted_server server({row.bytes}, row.resets);
        const outcome got = ask(server.address());
        CHECK_EQUAL_TEXT(row.is_whole, got.is_whole, row.name);
        CHECK_EQUAL_TEXT(row.is_reusable, got.is_reusable, row.name);
        if (row.is_whole)
            STRCMP_EQUAL_TEXT("abc", got.body.c_str(), row.name);
    }
}

// One connection in a pool, after a whole answer of a server that then closes.
TEST_GROUP(connection_pool)
{
    scripted_server server{{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}, false};
    boost::asio::io_context loop;
    connection_pool pool{loop};
    core::time_point now;

    void keep_one(core::milliseconds idle_time)
    {
        connection_pool::owned link = pool.create(server.address());
        outcome result;
        boost::asio::co_spawn(loop, exchange_once(*link, result), boost::asio::detached);
        loop.run();
        now = std::chrono::steady_clock::now();
        pool.put(std::move(link), idle_time, now);
    }
};

// Fails when a kept connection that its server has closed is given out.
TEST(connection_pool, gives_out_no_closed_connection)
{
    keep_one(core::milliseconds{60'000});
    UNSIGNED_LONGS_EQUAL(1, pool.size());
    // The close may still be on its way.
    while (pool.size() > 0)
    {
        pool.sweep(now);
    }
    CHECK_TRUE(pool.take(server.address(), now) == nullptr);
}

// Fails when a request that may run once is sent on a connection that may have been dropped
// unnoticed since its last use.
TEST(connection_pool, a_request_may_ask_for_a_connection_that_was_in_use_just_now)
{
    constexpr core::milliseconds max_idle{500};
    keep_one(core::milliseconds{60'000});
    CHECK_TRUE(pool.take(server.address(), now + core::milliseconds{600}, max_idle) == nullptr);
    UNSIGNED_LONGS_EQUAL(1, pool.size());
    // The server may have closed it by now; it is taken out either way.
    static_cast<void>(pool.take(server.address(), now + core::milliseconds{400}, max_idle));
    UNSIGNED_LONGS_EQUAL(0, pool.size());
}

// Fails when a connection is kept as long as its server says, so that requests meet its close.
TEST(connection_pool, keeps_a_connection_half_as_long_as_its_server)
{
    keep_one(core::milliseconds{10'000});
    pool.sweep(now + core::milliseconds{5'000});
    UNSIGNED_LONGS_EQUAL(0, pool.size());
}
