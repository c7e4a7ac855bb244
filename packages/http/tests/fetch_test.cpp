/// Tests how long the body of an answer may take.

#include <snipeplank/http/fetch.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "loopback.hpp"

using namespace snipeplank;
using namespace snipeplank::http;
using namespace std::chrono_literals;

namespace
{

/// How a server sends a body of a given length.
struct body_row
{
    const char* name;
    std::size_t parts;
    core::milliseconds pause; ///< behind each part
    std::size_t length;       ///< in parts
    body_limits limits;
    bool is_read;
    core::milliseconds ends_within; ///< below the limits that are not meant to end it
};

constexpr std::size_t part_bytes = 1'000;

/// Answers one request slowly.
class slow_server
{
  public:
    explicit slow_server(const body_row& how)
        : m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, how] { run(how); })
    {
    }

    ~slow_server() { m_thread.join(); }
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;

    core::address address() const
    {
        return core::address{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

  private:
    void run(const body_row& how)
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        m_acceptor.accept(socket);
        boost::system::error_code ignored;
        const std::string head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(how.length * part_bytes) +
            "\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head), ignored);
        const std::string part(part_bytes, 'x');
        for (std::size_t i = 0; i < how.parts; ++i)
        {
            boost::asio::write(socket, boost::asio::buffer(part), ignored);
            std::this_thread::sleep_for(how.pause);
        }
        // Until the client closes.
        char byte = 0;
        socket.read_some(boost::asio::buffer(&byte, 1), ignored);
        while (!ignored)
        {
            socket.read_some(boost::asio::buffer(&byte, 1), ignored);
        }
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

boost::asio::awaitable<void> fetch_once(client_connection& connection, body_limits limits,
                                        std::optional<std::string>& body)
{
    const request_target target("/");
    const auto connected = co_await connection.connect(2'000ms);
    if (!connected)
        co_return;
    const auto head = co_await fetch_head(connection, target, 2'000ms);
    if (!head)
        co_return;
    auto read = co_await fetch_body(connection, limits);
    if (read)
        body = std::move(read.value());
}

} // namespace

TEST_GROUP(fetch){};

// Fails when a body that arrives is given up after a fixed time, whatever its size and the link
// (CONFIG, issue 73), or when one that makes no progress, or never ends, is waited for.
TEST(fetch, a_body_is_given_up_when_it_makes_no_progress)
{
    const body_row rows[] = {
        {"at once", 3, 0ms, 3, {1'500ms, 20'000ms, 10'000}, true, 20'000ms},
        {"slowly", 20, 100ms, 20, {1'500ms, 20'000ms, 30'000}, true, 20'000ms},
        {"not to its end", 2, 0ms, 3, {300ms, 20'000ms, 10'000}, false, 10'000ms},
        {"for too long", 40, 100ms, 40, {20'000ms, 1'000ms, 100'000}, false, 3'500ms},
        {"too large", 3, 0ms, 3, {20'000ms, 20'000ms, 2'500}, false, 10'000ms},
    };
    for (const body_row& each : rows)
    {
        std::optional<std::string> body;
        slow_server server(each);
        const auto began = std::chrono::steady_clock::now();
        {
            boost::asio::io_context loop;
            client_connection connection(loop, server.address());
            boost::asio::co_spawn(loop, fetch_once(connection, each.limits, body),
                                  [&](const std::exception_ptr&) { loop.stop(); });
            loop.run();
        }
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - began < each.ends_within, each.name);
        CHECK_EQUAL_TEXT(each.is_read, body.has_value(), each.name);
        CHECK_TRUE_TEXT(!body || body->size() == each.length * part_bytes, each.name);
    }
}
