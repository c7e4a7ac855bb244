/// Tests that the soak takes a server that ends by itself for what it is, whenever it ends.

#include <CppUTest/TestHarness.h>

#include <future>

#include "machine_test.hpp"
#include "soak/soak_server.hpp"

using namespace snipeplank::tests;

namespace
{

/// Sends a request that ends the server, past the nodes.
void end_server(const std::string& id, const std::string& address)
{
    http_request request;
    request.path = "/read/x";
    request.headers = {{"Attempt-Id", "a"}, {"Expect-Instance", id}, {"Prefix-Hash", "fatal:1"}};
    static_cast<void>(http_call(address, request));
}

} // namespace

TEST_GROUP_BASE(soak_server, machine_test){};

// Fails when a server that has reset its connections, but whose process is not gone yet, counts as
// one that runs and refuses an instruction.
TEST(soak_server, a_server_that_is_about_to_end_may_miss_an_instruction)
{
    set_up({home});
    soak_shape shape;
    shape.kinds.with_newer = true;
    shape.events = 1;
    soak_server server(*fleet, {"sh1", "shop", home, 0}, shape);
    server.set_fatal_part("fatal");
    const std::string address = server.path().address();
    CHECK_TRUE(http_post(address, "/standin/slow_end", "300").is(200));
    end_server(server.id(), address);
    server.set_fatal_part("fatal");
    server.restore();
    STRCMP_EQUAL("sh1-2", server.id().c_str());
}

// Fails when a server that several requests end at once writes what it has seen more than once, so
// that the soak cannot read it.
TEST(soak_server, a_server_that_several_requests_end_has_one_last_line)
{
    constexpr int servers = 20;
    constexpr int requests = 4;
    constexpr int work_ms = 10;
    set_up({home});
    for (int i = 0; i < servers; ++i)
    {
        standin& server = fleet->start_server("sh" + std::to_string(i), work_ms);
        CHECK_TRUE(http_post(server.address(), "/standin/fatal_part", "fatal").is(200));
        CHECK_TRUE(http_post(server.address(), "/standin/slow_end", "50").is(200));
        std::vector<std::future<void>> sent;
        for (int request = 0; request < requests; ++request)
        {
            sent.push_back(std::async(std::launch::async, [&]
                                      { end_server("sh" + std::to_string(i), server.address()); }));
        }
        sent.clear(); // waits for all of them
        server.process().wait();
        wait_until("the last line", [&] { return server.process().output().ends_with("}\n"); });
        const std::string output = server.process().output();
        const std::size_t first = output.find("crashed ");
        CHECK_TRUE_TEXT(first != std::string::npos &&
                            output.find("crashed ", first + 1) == std::string::npos,
                        output.c_str());
    }
}
