/// Tests that the close of a listener resets no connection that the kernel has opened.

#include <snipeplank/http/listener.hpp>
#include <snipeplank/http/server.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "closing_gap.hpp"
#include "loopback.hpp"

using namespace snipeplank;
using namespace snipeplank::http;
using namespace snipeplank::http::tests;
using snipeplank::tests::hasty_client;

namespace
{

int port_of(const core::address& address)
{
    return std::stoi(address.get().substr(address.get().rfind(':') + 1));
}

const std::string plain_request = "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

} // namespace

TEST_GROUP(listener)
{
    echo_handler handler;
    loop_thread thread;
};

// Fails when a connection that the kernel opens after the last accept is reset by the close.
TEST(listener, a_connection_that_is_opened_right_before_the_close_is_served)
{
    server subject(thread.loop, handler);
    const int port = port_of(subject.listen(core::address{"127.0.0.1:0"}).value());
    std::unique_ptr<hasty_client> client;
    std::promise<void> is_closing;
    snipeplank::tests::on_listener_closes = [&]
    {
        client = std::make_unique<hasty_client>(port);
        client->send(plain_request);
        is_closing.set_value();
    };
    boost::asio::post(thread.loop, [&] { subject.close_listener(); });
    is_closing.get_future().wait();
    if (client->is_connected())
        STRCMP_CONTAINS("HTTP/1.1 200", client->read_all().c_str());
    std::promise<void> is_behind_close;
    boost::asio::post(thread.loop, [&] { is_behind_close.set_value(); });
    is_behind_close.get_future().wait();
    const hasty_client late(port);
    CHECK_TRUE(late.is_refused());
    thread.stop();
}

// Fails when a connection whose handshake began before the stop is not accepted, or when the
// kernel opens another one after it.
TEST(listener, a_listener_without_handshakes_keeps_the_connections_that_wait)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const int port = acceptor.local_endpoint().port();
    const hasty_client waiting(port);
    CHECK_TRUE(waiting.is_connected());
    CHECK_TRUE(stop_handshakes(acceptor.native_handle()));
    const hasty_client late(port);
    CHECK_FALSE(late.is_connected() || late.is_refused());
    waiting.send("x");
    tcp::socket accepted = acceptor.accept();
    char byte = 0;
    UNSIGNED_LONGS_EQUAL(1, accepted.read_some(boost::asio::buffer(&byte, 1)));
    acceptor.non_blocking(true);
    boost::system::error_code error;
    acceptor.accept(error);
    CHECK_TRUE(error == boost::asio::error::would_block);
}
