/// Tests that an answer which arrives before the deadline is passed on, whatever the connection was
/// used for before.

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
    void fail(attempt_failure failure) override { failure_message = failure.cause.message; }
    void on_cancel(std::function<void()>) override {}

    int status = 0;
    std::string body;
    std::string failure_message;
    bool is_finished = false;
};

} // namespace

TEST_GROUP(upstream_client){};

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
