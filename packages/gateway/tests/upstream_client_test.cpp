/// Tests that an answer which arrives before the deadline is passed on, whatever the connection was
/// used for before, and that a part of one never counts as whole.

#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/upstream_client.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../../http/tests/loopback.hpp"

using namespace snipeplank;
using namespace snipeplank::gateway;
using namespace std::chrono_literals;

namespace
{

/// Answers "ok" to requests on any number of connections, one connection at a time; each request
/// after the next pause.
class pausing_upstream
{
  public:
    explicit pausing_upstream(std::vector<core::milliseconds> pauses)
        : m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, pauses = std::move(pauses)] { run(pauses); })
    {
    }

    ~pausing_upstream() { m_thread.join(); }
    pausing_upstream(const pausing_upstream&) = delete;
    pausing_upstream& operator=(const pausing_upstream&) = delete;

    core::address address() const
    {
        return core::address{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

  private:
    /// Ends after as many requests as there are pauses.
    void run(const std::vector<core::milliseconds>& pauses)
    {
        std::size_t answered = 0;
        while (answered < pauses.size())
        {
            boost::asio::ip::tcp::socket socket(m_loop);
            m_acceptor.accept(socket);
            std::string received;
            boost::system::error_code error;
            while (!error && answered < pauses.size())
            {
                const std::size_t size = boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error)
                    continue;
                received.erase(0, size);
                std::this_thread::sleep_for(pauses[answered++]);
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                boost::asio::write(socket, boost::asio::buffer(answer), error);
            }
        }
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Records one answer.
class recorded_answer final : public answer_sink
{
  public:
    void put_head(answer_head head) override { status = head.status; }

    bool put_chunk(std::string chunk) override
    {
        body += chunk;
        return true;
    }

    void finish() override { is_finished = true; }
    void fail(attempt_failure failure) override
    {
        failure_code = failure.cause.code;
        failure_message = failure.cause.message;
    }
    void on_cancel(std::function<void()>) override {}

    int status = 0;
    std::string body;
    std::string failure_message;
    core::error_code failure_code{};
    bool is_finished = false;
};

/// Sends one request and records its answer.
recorded_answer request_once(const core::address& upstream)
{
    metrics counters;
    const std::unique_ptr<upstream_client> client = make_http_upstream_client(counters);
    upstream_request request;
    request.address = upstream;
    request.method = "GET";
    request.target = "/a";
    request.deadline = std::chrono::steady_clock::now() + 2s;
    recorded_answer answer;
    client->run(request, answer);
    return answer;
}

} // namespace

TEST_GROUP(upstream_client){};

// Fails when a part of a request that comes from a caller or a peer ends its line, and so adds
// fields or a whole request.
TEST(upstream_client, a_request_whose_head_is_invalid_is_not_sent)
{
    const std::pair<std::string, header_field> rows[] = {
        {"/a", {"X-Id", "a\r\nX-Forged: y"}},
        {"/a", {"X-Id: a\r\nX-Forged", "y"}},
        {"/a HTTP/1.1\r\nX-Forged: y\r\n\r\nGET /b", {"X-Id", "a"}},
    };
    for (const auto& [target, field] : rows)
    {
        metrics counters;
        const std::unique_ptr<upstream_client> client = make_http_upstream_client(counters);
        upstream_request request;
        request.address = core::address{"127.0.0.1:1"}; // a send would fail in another way
        request.method = "GET";
        request.target = target;
        request.headers = {field};
        request.deadline = std::chrono::steady_clock::now() + 2s;
        recorded_answer answer;
        client->run(request, answer);
        CHECK_TRUE(answer.failure_code == core::error_code::message_invalid);
        CHECK_FALSE(answer.is_finished);
    }
}

// Fails when an upstream that answers before the deadline is given up earlier, because the request
// uses a connection that carried another one before.
TEST(upstream_client, a_reused_connection_is_waited_for_until_the_deadline)
{
    pausing_upstream upstream({0ms, 1'300ms});
    metrics counters;
    const std::unique_ptr<upstream_client> client = make_http_upstream_client(counters);
    upstream_request request;
    request.address = upstream.address();
    request.method = "GET";
    request.target = "/a";
    request.is_idempotent = true;
    for (int i = 0; i < 2; ++i)
    {
        recorded_answer answer;
        request.deadline = std::chrono::steady_clock::now() + 2s;
        client->run(request, answer);
        CHECK_TRUE_TEXT(answer.is_finished, answer.failure_message.c_str());
        STRCMP_EQUAL("ok", answer.body.c_str());
    }
}

// Fails when an answer that its upstream cut at any byte, in its head or its body, counts as whole.
TEST(upstream_client, an_answer_that_is_cut_at_any_byte_is_never_whole)
{
    struct row
    {
        const char* name;
        std::string answer;
        bool is_served = true; ///< when it is not cut; cpp-httplib reads neither trailers nor
                               ///< interim answers other than 100
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string stream =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string event = "data: [DONE]\n\n";
    const row rows[] = {
        {"length", "HTTP/1.1 200 OK\r\nX-Field: a\r\nContent-Length: 12\r\n\r\nabcdefghijkl"},
        {"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"chunked", chunked + "3\r\nabc\r\n10\r\nabcdefghijklmnop\r\n0\r\n\r\n"},
        {"trailer", chunked + "3\r\nabc\r\n0\r\nX-Field: a\r\n\r\n", false},
        {"stream", stream + "e\r\n" + event + "\r\n0\r\n\r\n"},
        {"interim answer first",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
        {"interim answer with a field first",
         "HTTP/1.1 103 Early Hints\r\nX-Field: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
         "3\r\n\r\n"
         "abc",
         false},
    };
    std::string whole; // the cuts whose answer counted as whole
    for (const row& each : rows)
    {
        http::tests::scripted_server sound({each.answer}, false);
        const bool is_served = request_once(sound.address()).is_finished;
        CHECK_EQUAL_TEXT(each.is_served, is_served, each.name);
        for (std::size_t size = 0; size < each.answer.size(); ++size)
        {
            for (const bool resets : {false, true})
            {
                http::tests::scripted_server server({each.answer.substr(0, size)}, resets);
                const recorded_answer answer = request_once(server.address());
                if (answer.is_finished)
                    whole += std::string(each.name) + " cut at byte " + std::to_string(size) +
                             (resets ? " by a reset" : "") + ": '" + answer.body + "'\n";
            }
        }
    }
    STRCMP_EQUAL("", whole.c_str());
}

// Fails when a head whose length cannot be read counts as the head of an empty answer.
TEST(upstream_client, an_answer_whose_framing_cannot_be_read_is_never_whole)
{
    struct row
    {
        const char* name;
        std::string fields;
        std::string body;
    };
    const row rows[] = {
        {"no digits", "Content-Length: \r\n", "abc"},
        {"no number", "Content-Length: abc\r\n", "abc"},
        {"a number and more", "Content-Length: 2x\r\n", "abc"},
        {"two numbers", "Content-Length: 2, 3\r\n", "abc"},
        {"two lengths", "Content-Length: 2\r\nContent-Length: 3\r\n", "abc"},
        {"negative", "Content-Length: -3\r\n", "abc"},
        {"data longer than its chunk", "Transfer-Encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"},
        {"size that is no number", "Transfer-Encoding: chunked\r\n", "x\r\nabc\r\n0\r\n\r\n"},
        {"number and more as size", "Transfer-Encoding: chunked\r\n", "0x\r\n\r\n"},
        {"length and chunks", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
         "3\r\nabc\r\n0\r\n\r\n"},
        {"other encoding", "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n", "abc"},
    };
    std::string whole; // the rows whose answer counted as whole
    for (const row& each : rows)
    {
        http::tests::scripted_server server(
            {"HTTP/1.1 200 OK\r\n" + each.fields + "\r\n" + each.body}, false);
        const recorded_answer answer = request_once(server.address());
        if (answer.is_finished)
            whole += std::string(each.name) + ": '" + answer.body + "'\n";
    }
    STRCMP_EQUAL("", whole.c_str());
}
