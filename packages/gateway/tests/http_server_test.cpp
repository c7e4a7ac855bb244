/// Tests that the stop of a server with a thread a connection resets no connection unread.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../src/http_server.hpp"
#include "closing_gap.hpp"

using namespace snipeplank;
using namespace snipeplank::gateway;
using namespace std::chrono_literals;
using snipeplank::tests::hasty_client;

namespace
{

/// A port of 127.0.0.1 that nothing listens on.
int free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(socket, reinterpret_cast<sockaddr*>(&address), size));
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

const std::string plain_request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_GROUP(gateway_http_server)
{
    static constexpr std::size_t threads = 2;
    http_server subject{threads};
    int port = 0;

    void setup() override
    {
        subject.routes().Get("/x", [](const httplib::Request&, httplib::Response& response)
                             { response.set_content("served", "text/plain"); });
        for (int attempt = 0; attempt < 10 && port == 0; ++attempt)
        {
            const int candidate = free_port();
            if (subject.start(core::address{"127.0.0.1:" + std::to_string(candidate)}))
                port = candidate;
        }
        CHECK_TRUE(port != 0);
        while (!subject.routes().is_running())
        {
            std::this_thread::sleep_for(1ms);
        }
    }
};

// Fails when a connection that the kernel opens after the last accept is reset by the stop.
TEST(gateway_http_server, a_connection_that_is_opened_right_before_the_close_is_served)
{
    std::unique_ptr<hasty_client> client;
    snipeplank::tests::on_listener_closes = [&]
    {
        client = std::make_unique<hasty_client>(port);
        client->send(plain_request);
    };
    subject.stop();
    CHECK_TRUE(client != nullptr);
    if (client->is_connected())
        STRCMP_CONTAINS("served", client->read_all().c_str());
    const hasty_client late(port);
    CHECK_TRUE(late.is_refused());
}

// Fails when a request whose connection waits for a thread when the stop begins is dropped unread.
TEST(gateway_http_server, a_connection_that_waits_for_a_thread_is_served)
{
    std::vector<std::unique_ptr<hasty_client>> idle;
    for (std::size_t i = 0; i < threads; ++i)
    {
        idle.push_back(std::make_unique<hasty_client>(port));
    }
    const hasty_client client(port);
    CHECK_TRUE(client.is_connected());
    client.send(plain_request);
    while (subject.connections() <= threads)
    {
        std::this_thread::sleep_for(1ms);
    }
    subject.stop();
    STRCMP_CONTAINS("served", client.read_all().c_str());
}
