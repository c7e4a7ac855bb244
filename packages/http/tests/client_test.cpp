/// Tests which answers the client reports as complete, and which connections it reuses.

#include <CppUTest/TestHarness.h>
#include <boost/asio/write.hpp>

#include <optional>
#include <thread>

#include "loopback.hpp"

using namespace snipeplank;
using namespace snipeplank::http;
using namespace snipeplank::http::tests;

namespace
{

/// Result of one exchange with a server.
struct outcome
{
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool is_reusable = false;
};

boost::asio::awaitable<void>
exchange_once(client_connection& connection, outcome& result,
              core::milliseconds connect_timeout = core::milliseconds{2'000},
              std::size_t upload = 0)
{
    const auto connected = co_await connection.connect(connect_timeout);
    if (!connected)
        co_return;
    request_head head;
    head.method = "GET";
    head.target = "/";
    connection.expire_after(core::milliseconds{5'000});
    if (upload > 0)
    {
        head.method = "POST";
        head.headers.emplace_back("Content-Length", std::to_string(upload));
    }
    const std::string body(upload, 'u');
    if (!connection.send(head, body))
        co_return;
    const auto answer = co_await connection.read_head();
    if (!answer)
        co_return;
    result.status = answer.value().status;
    while (!result.is_complete)
    {
        const auto chunk = co_await connection.read_chunk();
        if (!chunk)
            co_return;
        result.body += chunk.value().data;
        result.is_complete = chunk.value().is_last;
    }
    connection.stop_timer();
    result.is_reusable = connection.is_reusable();
}

outcome request_once(const core::address& server)
{
    boost::asio::io_context loop;
    client_connection connection(loop, server);
    outcome result;
    boost::asio::co_spawn(loop, exchange_once(connection, result),
                          [&](const std::exception_ptr&) { loop.stop(); });
    loop.run();
    return result;
}

struct answer_row
{
    const char* name;
    std::string bytes;
    bool resets;
    bool is_complete;
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
    {"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status 100 with a body", "HTTP/1.1 100 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false,
     false},
    {"status 101", "HTTP/1.1 101 Odd\r\n\r\n", false, false, false},
    {"status 199 with a body", "HTTP/1.1 199 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false,
     false},
    {"status 599", "HTTP/1.1 599 Odd\r\nContent-Length: 3\r\n\r\nabc", false, true, true},
    {"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status 999", "HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status 1000", "HTTP/1.1 1000 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status with a sign", "HTTP/1.1 +20 Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status of letters", "HTTP/1.1 abc Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"status of blanks", "HTTP/1.1     Odd\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"no status", "HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", false, false, false},
    {"no answer", "garbage\r\n\r\n", false, false, false},
    {"nothing", "", false, false, false},
};

} // namespace

TEST_GROUP(http_client){};

// Fails when a partial answer is reported as complete, or a connection with unexpected bytes is
// reused.
TEST(http_client, only_whole_answers_count_as_whole)
{
    for (const answer_row& row : answers)
    {
        scripted_server server({row.bytes}, row.resets);
        const outcome received = request_once(server.address());
        CHECK_EQUAL_TEXT(row.is_complete, received.is_complete, row.name);
        CHECK_EQUAL_TEXT(row.is_reusable, received.is_reusable, row.name);
        if (row.is_complete)
            STRCMP_EQUAL_TEXT("abc", received.body.c_str(), row.name);
    }
}

// Fails when a head whose status is none is taken for an interim one: the client would wait for
// another until the request's deadline, while its server keeps the connection open.
TEST(http_client, a_head_whose_status_is_none_ends_the_wait)
{
    for (const char* status : {"000", "099", "100", "101", "199"})
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::acceptor acceptor(loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        client_connection connection(
            loop, core::address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())});
        boost::asio::ip::tcp::socket served(loop);
        const std::string answer =
            "HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 3\r\n\r\nabc";
        acceptor.async_accept(served, [&](const boost::system::error_code&)
                              { boost::asio::write(served, boost::asio::buffer(answer)); });
        std::optional<core::error_code> seen;
        boost::asio::co_spawn(
            loop,
            [&]() -> boost::asio::awaitable<void>
            {
                const auto connected = co_await connection.connect(core::milliseconds{2'000});
                connection.expire_after(core::milliseconds{5'000});
                const std::string no_body;
                const auto sent = connection.send({"GET", "/", {}}, no_body);
                const auto head = co_await connection.read_head();
                if (connected && sent && !head)
                    seen = head.error().code;
            },
            [&](const std::exception_ptr&) { loop.stop(); });
        loop.run();
        CHECK_TRUE_TEXT(seen == core::error_code::connection_closed, status);
    }
}

// Fails when an answer without a length counts as complete although its server ended the connection
// while the request was being written.
TEST(http_client, an_early_answer_that_is_cut_is_not_complete)
{
    for (const bool resets : {false, true})
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::acceptor acceptor(loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        const core::address address{"127.0.0.1:" +
                                    std::to_string(acceptor.local_endpoint().port())};
        std::thread server(
            [&]
            {
                boost::asio::ip::tcp::socket socket(loop);
                acceptor.accept(socket);
                boost::system::error_code ignored;
                // The client's upload does not fit into the buffers.
                socket.set_option(boost::asio::socket_base::receive_buffer_size(4'096), ignored);
                const std::string answer = "HTTP/1.1 200 OK\r\n\r\nabc";
                boost::asio::write(socket, boost::asio::buffer(answer), ignored);
                std::this_thread::sleep_for(core::milliseconds{200});
                if (resets)
                    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                else
                    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                std::this_thread::sleep_for(core::milliseconds{200});
                socket.close(ignored);
            });
        client_connection connection(loop, address);
        outcome result;
        constexpr std::size_t long_upload = 16'777'216;
        boost::asio::co_spawn(
            loop, exchange_once(connection, result, core::milliseconds{2'000}, long_upload),
            [&](const std::exception_ptr&) { loop.stop(); });
        loop.run();
        server.join();
        LONGS_EQUAL(200, result.status);
        CHECK_FALSE_TEXT(result.is_complete, resets ? "reset" : "ended");
    }
}

// Fails when a look at a socket takes the error of a reset from it: the read that follows meets a
// clean end, and an answer without a length counts as whole (review/6, MIXED).
TEST(http_client, a_reset_after_a_look_at_the_socket_is_no_clean_end)
{
    struct look_row
    {
        const char* name;
        bool asks_whether_stale;  ///< before the read, which looks at the socket, too
        core::milliseconds pause; ///< of the client before it reads on
    };
    const look_row rows[] = {
        {"looked at by the read", false, 2 * client_connection::arrival_check_interval},
        {"looked at by the user", true, client_connection::arrival_check_interval / 2},
    };
    for (const look_row& row : rows)
    {
        scripted_server server({"HTTP/1.1 200 OK\r\n\r\nabc"}, true);
        boost::asio::io_context loop;
        client_connection connection(loop, server.address());
        std::optional<bool> is_error;
        boost::asio::co_spawn(
            loop,
            [&]() -> boost::asio::awaitable<void>
            {
                const auto connected = co_await connection.connect(core::milliseconds{2'000});
                const std::string no_body;
                const auto sent = connection.send({"GET", "/", {}}, no_body);
                const auto head = co_await connection.read_head();
                const auto part = co_await connection.read_chunk();
                if (!connected || !sent || !head || !part || part.value().is_last)
                    co_return;
                std::this_thread::sleep_for(row.pause);
                if (row.asks_whether_stale && !connection.is_stale())
                    co_return;
                is_error = !co_await connection.read_chunk();
            },
            [&](const std::exception_ptr&) { loop.stop(); });
        loop.run();
        CHECK_TRUE_TEXT(is_error == true, row.name);
    }
}

// Fails when an answer that its server cut at any byte, in its head or its body, is reported as
// complete.
TEST(http_client, answers_cut_at_any_byte_are_not_complete)
{
    struct cut_row
    {
        const char* name;
        std::string answer;
        std::size_t whole_from; ///< a clean end from this byte on completes the answer
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string close_ended = "HTTP/1.1 200 OK\r\nServer-Signature: a\r\n\r\n";
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl";
    constexpr std::size_t never = std::string::npos;
    const cut_row rows[] = {
        {"length", length, never},
        {"chunked", chunked + "3\r\nabc\r\n10\r\nabcdefghijklmnop\r\n0\r\n\r\n", never},
        {"trailer", chunked + "3\r\nabc\r\n0\r\nX-Field: a\r\n\r\n", never},
        {"until the close", close_ended + "abc", close_ended.size()},
        {"interim answer first", "HTTP/1.1 103 Early Hints\r\nX-Field: a\r\n\r\n" + length, never},
    };
    std::string whole; // the cuts whose answer counted as complete
    for (const cut_row& row : rows)
    {
        for (std::size_t size = 0; size < row.answer.size(); ++size)
        {
            for (const bool resets : {false, true})
            {
                scripted_server server({row.answer.substr(0, size)}, resets);
                const bool is_complete = request_once(server.address()).is_complete;
                if (is_complete && (resets || size < row.whole_from))
                    whole += std::string(row.name) + " at byte " + std::to_string(size) + "\n";
            }
        }
    }
    STRCMP_EQUAL("", whole.c_str());
}

// Fails when a server that sends bytes without end fills the memory of the node until the request's
// deadline.
TEST(http_client, answers_without_end_are_given_up)
{
    struct endless_row
    {
        const char* name;
        std::string prefix;
        std::string pattern;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const endless_row rows[] = {
        {"status line", "", "a"},
        {"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        {"one field", "HTTP/1.1 200 OK\r\nX-Field: ", "a"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "5;x=", "a"},
        {"trailers", chunked + "0\r\n", "X-Field: value\r\n"},
        {"one trailer", chunked + "0\r\nX-Field: ", "a"},
    };
    std::string read_on; // the rows that the client did not end
    for (const endless_row& row : rows)
    {
        endless_server server(row.prefix, row.pattern);
        const bool is_complete = request_once(server.address()).is_complete;
        if (is_complete || server.written() >= endless_bytes_bound)
            read_on += std::string(row.name) + ", ";
    }
    STRCMP_EQUAL("", read_on.c_str());
}

// Fails when a stall of the event loop counts as time that the server took to accept a connection.
TEST(http_client, a_connection_that_opens_during_a_stall_is_used)
{
    for (int i = 0; i < 5; ++i)
    {
        scripted_server server({"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}, false);
        boost::asio::io_context loop;
        client_connection connection(loop, server.address());
        outcome result;
        boost::asio::co_spawn(loop, exchange_once(connection, result, core::milliseconds{100}),
                              [&](const std::exception_ptr&) { loop.stop(); });
        boost::asio::post(loop, [] { std::this_thread::sleep_for(core::milliseconds{400}); });
        loop.run();
        CHECK_TRUE(result.is_complete);
    }
}

// A pool with one connection to a server that closes it after a complete answer.
TEST_GROUP(connection_pool)
{
    scripted_server server{{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}, false};
    boost::asio::io_context loop;
    connection_pool pool{loop};
    core::time_point now;

    void store_idle_connection(core::milliseconds keep_alive_timeout)
    {
        connection_pool::owned connection = pool.create(server.address());
        outcome result;
        boost::asio::co_spawn(loop, exchange_once(*connection, result), boost::asio::detached);
        loop.run();
        now = std::chrono::steady_clock::now();
        pool.put(std::move(connection), keep_alive_timeout, now);
    }
};

// Fails when the pool returns a connection that the server has closed.
TEST(connection_pool, closed_connections_are_not_given_out)
{
    store_idle_connection(core::milliseconds{60'000});
    UNSIGNED_LONGS_EQUAL(1, pool.size());
    // The close may not have arrived yet.
    while (pool.size() > 0)
    {
        pool.sweep(now);
    }
    CHECK_TRUE(pool.take(server.address(), now) == nullptr);
}

// Fails when a request that must not run twice is sent on a connection that was idle for longer
// than `max_idle` and may have been dropped unnoticed.
TEST(connection_pool, connections_idle_for_longer_than_max_idle_are_not_given_out)
{
    constexpr core::milliseconds max_idle{500};
    store_idle_connection(core::milliseconds{60'000});
    CHECK_TRUE(pool.take(server.address(), now + core::milliseconds{600}, max_idle) == nullptr);
    UNSIGNED_LONGS_EQUAL(1, pool.size());
    // The server may have closed it by now; it is removed from the pool either way.
    static_cast<void>(pool.take(server.address(), now + core::milliseconds{400}, max_idle));
    UNSIGNED_LONGS_EQUAL(0, pool.size());
}

// Fails when a connection is kept for the whole keep-alive timeout of its server, so that requests
// are sent while the server closes it.
TEST(connection_pool, connections_expire_after_half_the_keep_alive_timeout)
{
    store_idle_connection(core::milliseconds{10'000});
    pool.sweep(now + core::milliseconds{5'000});
    UNSIGNED_LONGS_EQUAL(0, pool.size());
}
