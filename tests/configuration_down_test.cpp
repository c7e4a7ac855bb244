/// Requirement 9 and the fault model: the configuration service may be down or stale for a long
/// time.

#include <CppUTest/TestHarness.h>

#include "test_fleet.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string home = "salzkammer";

fleet_topology one_region()
{
    fleet_topology topology;
    topology.regions = {home};
    return topology;
}

} // namespace

TEST_GROUP(configuration_down)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<test_fleet>(one_region());
    }

    static std::uint64_t version_of(const test_node& node)
    {
        const http_answer status = http_get(node.admin_address, "/v1/status");
        const json document = json::parse(status.body, nullptr, false);
        return document.is_object() ? document.value("config_version", std::uint64_t{0}) : 0;
    }

    static void check_serves(const test_node& node)
    {
        const http_request request = test_fleet::drafting("text", 8);
        const http_answer answer = http_call(node.caller_address, request);
        CHECK_TRUE_TEXT(answer.is(200), answer.describe().c_str());
        const std::string expected = test_fleet::expected_draft(request);
        STRCMP_EQUAL("", first_difference(answer.body, expected).c_str());
    }

    void publish_and_wait() const
    {
        const std::uint64_t version = fleet->publish_config();
        for (const std::size_t index : {0, 1})
        {
            wait_until("version " + std::to_string(version),
                       [&] { return version_of(fleet->node(home, index)) == version; });
        }
    }
};

// Guards against a replaced node that cannot start without the configuration service.
TEST(configuration_down, replaced_node_reads_the_configuration_from_its_peers)
{
    publish_and_wait();
    fleet->platform().set_faults({{"config", {{"down", true}}}});
    test_node& replaced = fleet->node(home, 0);
    fleet->restart(replaced);
    test_fleet::wait_ready(replaced);
    LONGS_EQUAL(2, version_of(replaced));
    check_serves(replaced);
}

// Guards against a restarted node that reverts to the old version of a stale replica.
TEST(configuration_down, stale_service_does_not_bring_back_an_old_version)
{
    publish_and_wait();
    fleet->platform().set_faults({{"config", {{"stale_version", 1}}}});
    test_node& replaced = fleet->node(home, 0);
    fleet->restart(replaced);
    test_fleet::wait_ready(replaced);
    LONGS_EQUAL(2, version_of(replaced));
    LONGS_EQUAL(2, version_of(fleet->node(home, 1)));
}

// Guards against a node that reports ready without a configuration.
TEST(configuration_down, node_without_any_source_is_not_ready)
{
    fleet->platform().set_faults({{"config", {{"down", true}}}});
    fleet->node(home, 1).process->kill();
    test_node& alone = fleet->node(home, 0);
    fleet->restart(alone);
    wait_until("listening", [&] { return http_get(alone.admin_address, "/healthz").is(200); });
    constexpr int reads = 40;
    const auto refused = fleet->platform().counts().value("config_refused", 0);
    wait_until("several reads refused",
               [&] { return fleet->platform().counts().value("config_refused", 0) > refused + 2; });
    for (int read = 0; read < reads; ++read)
    {
        CHECK_FALSE(http_get(alone.admin_address, "/readyz").is(200));
    }
    fleet->platform().set_faults(json::object());
    test_fleet::wait_ready(alone);
    check_serves(alone);
}
