/// Tests that the soak takes a server that ends by itself for what it is, whenever it ends.

#include <CppUTest/TestHarness.h>

#include <future>

#include "machine_test.hpp"
#include "soak/soak_server.hpp"

using namespace snipeplank::tests;

TEST_GROUP_BASE(soak_server, machine_test){
    /// Sends a request that ends the server, past the nodes.
    static void end_server(const soak_server& server,
                           const std::string& address){http_request request;
request.path = "/read/x";
request.headers = {
    {"Attempt-Id", "a"}, {"Expect-Instance", server.id()}, {"Prefix-Hash", "fatal:1"}};
static_cast<void>(http_call(address, request));
}
}
;

// Fails when a server that has reset its connections, but whose process is not gone yet, counts as
// one that runs and refuses an instruction.
TEST(soak_server, a_server_that_is_about_to_end_may_miss_an_instruction)
{
    set_up({home});
    soak_server server(*fleet, {"sh1", "shop", home, 0}, 1, true);
    server.set_fatal_part("fatal");
    const std::string address = server.path().address();
    CHECK_TRUE(http_post(address, "/standin/slow_end", "300").is(200));
    end_server(server, address);
    server.set_fatal_part("fatal");
    server.restore();
    STRCMP_EQUAL("sh1-2", server.id().c_str());
}
