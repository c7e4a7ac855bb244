/// Client accounts at nodes on machines of the users' platform: keys, their revocation while the
/// store can't be read, and quotas of several nodes.

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;

TEST_GROUP_BASE(machine_account, machine_test)
{
    static constexpr char tenants[] =
        R"([{"Name":"gold","ApiKeys":["key-of-gold"],"Unit":"token","RatePerS":0},)"
        R"({"Name":"small","ApiKeys":["key-of-small"],"Unit":"token","RatePerS":120,"Burst":120}])";

    /// Starts one node for each entry, and a server.
    standin& start(const std::vector<std::string>& regions)
    {
        fleet = std::make_unique<machine_fleet>(regions);
        fleet->set_bounds(
            R"({"StrictRevoke":true,"RevokeMs":5000,"QuotaWindowS":8,"QuotaOvershoot":0.25})");
        publish(3, tenants);
        standin& server = fleet->add_server("i-s", "shop", home);
        fleet->start_nodes();
        wait_until("a keyed request is served",
                   [&] { return keyed("/read/x", "probe", "key-of-gold").is(200); });
        return server;
    }

    void publish(int version, const std::string& list)
    {
        fleet_configuration config;
        config.version = version;
        config.tenants = list;
        fleet->publish_configuration(config);
    }

    http_answer keyed(const std::string& path, const std::string& id, const std::string& key,
                      std::size_t index = 0) const
    {
        http_request request = machine_fleet::request("GET", path, id);
        request.headers.emplace("Tenant", "forged");
        if (!key.empty())
            request.headers.emplace("Credential", key);
        return http_call(fleet->node(index).callers, request);
    }
};

// Fails when a request without a known key runs, a key reaches a server, a metric, a line of the
// log or an answer, or the server is not told the account.
TEST(machine_account, a_key_names_the_account_and_stays_at_the_node)
{
    const standin& server = start({home});
    LONGS_EQUAL(401, keyed("/read/x", "none", "").status);
    const http_answer refused = keyed("/read/x", "other", "key-of-nobody");
    LONGS_EQUAL(401, refused.status);
    CHECK_TRUE(refused.body.find("key-of") == std::string::npos);
    CHECK_TRUE(keyed("/read/x", "good", "key-of-gold").is(200));
    const auto seen = machine_fleet::seen(server);
    STRCMP_EQUAL("gold", seen["tenants"]["good"].get<std::string>().c_str());
    CHECK_FALSE(seen["tenants"].contains("none") || seen["tenants"].contains("other"));
    LONGS_EQUAL(0, seen["keys"].get<long>());
    const std::string metrics = http_get(fleet->node(0).admin, "/metrics").body;
    CHECK_TRUE(metrics.find("snipeplank_accounts 2\n") != std::string::npos);
    CHECK_TRUE(metrics.find("key-of") == std::string::npos);
    const auto log = [&] { return fleet->node(0).program->output(); };
    wait_until("the line of the call",
               [&] { return log().find(R"("request_id":"good")") != std::string::npos; });
    CHECK_TRUE(log().find("key-of") == std::string::npos);
}

// Fails when a node goes on accepting keys although it can't know whether they were taken away, or
// does not accept them again afterwards.
TEST(machine_account, keys_are_refused_while_the_configuration_may_be_old)
{
    start({home, remote});
    fleet->tell_store("/standin/down", "yes");
    wait_until("keyed requests are refused",
               [&] { return keyed("/read/x", "late", "key-of-gold").status == 503; });
    CHECK_TRUE(keyed("/read/x", "late", "key-of-gold").headers.contains("retry-after"));
    fleet->tell_store("/standin/down", "no");
    wait_until("keyed requests are served again",
               [&] { return keyed("/read/x", "again", "key-of-gold").is(200); });
    publish(4, R"([{"Name":"small","ApiKeys":["key-of-small"]}])");
    wait_until("the key is refused",
               [&] { return keyed("/read/x", "revoked", "key-of-gold").status == 401; });
}

// Fails when keys are accepted, or needed no more, once the last account was removed: at a node
// that reads the store, and at one that copies the state of another (review/7, CONFIG).
TEST(machine_account, without_any_account_left_no_key_is_accepted)
{
    const standin& server = start({home, home});
    publish(4, "[]");
    for (const std::size_t node : {0, 1})
    {
        wait_until("the key is refused",
                   [&] { return keyed("/read/x", "taken", "key-of-gold", node).status == 401; });
        LONGS_EQUAL(401, keyed("/read/x", "never-held", "key-of-nobody", node).status);
        LONGS_EQUAL(401, keyed("/read/x", "no-key", "", node).status);
    }
    fleet->tell_store("/standin/down", "yes");
    fleet->node(1).program->kill();
    fleet->start_node(1);
    wait_until("the node has a copy",
               [&] { return http_get(fleet->node(1).readiness, "/api/readyz").is(200); });
    for (const char* key : {"key-of-gold", "key-of-nobody", ""})
    {
        const int status = keyed("/read/x", "copied", key, 1).status;
        CHECK_TRUE_TEXT(status == 401 || status == 503, std::to_string(status).c_str());
    }
    const auto seen = machine_fleet::seen(server);
    CHECK_FALSE(seen["tenants"].contains("never-held") || seen["tenants"].contains("no-key") ||
                seen["tenants"].contains("copied"));
    LONGS_EQUAL(0, seen["keys"].get<long>());
}

// Fails when nodes together admit more than the bound of an account, or refuse without saying when
// to come back.
TEST(machine_account, nodes_keep_the_quota_of_an_account_together)
{
    const standin& server = start({home, home, home});
    // Nodes take their part of the quota a while after they started.
    constexpr std::chrono::seconds settling{6};
    std::this_thread::sleep_for(settling);
    int served = 0;
    int refused = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{8};
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        const auto answer = keyed("/read/x", "q" + std::to_string(i), "key-of-small",
                                  static_cast<std::size_t>(i) % 3);
        served += answer.is(200) ? 1 : 0;
        refused += answer.status == 429 ? 1 : 0;
        if (answer.status == 429)
            CHECK_TRUE(answer.headers.contains("retry-after"));
    }
    // Of 120 tokens each: (120 x 8 + 120) x 1.25 tokens in 8 s.
    constexpr int bound = 11;
    constexpr int half_of_limit = 4;
    CHECK_TRUE_TEXT(served <= bound, std::to_string(served).c_str());
    CHECK_TRUE_TEXT(served >= half_of_limit && refused > 0, std::to_string(served).c_str());
    CHECK_TRUE(machine_fleet::seen(server)["tenants"]["q0"] == "small");
}
