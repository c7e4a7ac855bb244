/// Published state at a node whose link to the store is slow for the size of the configuration.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <thread>

#include "machine_test.hpp"

using namespace snipeplank::tests;
using namespace std::chrono_literals;

TEST_GROUP_BASE(slow_link, machine_test)
{
    /// Time from the confirmation of a change until it must be in force (`ConfigMs`, `EvacuateMs`).
    static constexpr std::chrono::milliseconds bound{5'000};
    /// Routes of a configuration of 0.4 MB on the wire.
    static constexpr int large = 1'400;

    void start(std::uint64_t bytes_per_s)
    {
        fleet =
            std::make_unique<machine_fleet>(std::vector<std::string>{home}, store_path::relayed);
        fleet->publish_configuration(3);
        fleet->add_server("i-s", "shop", home);
        fleet->start_nodes();
        fleet->wait_until_served(0, "/read/x");
        fleet->store_relay().set_faults({{"rate_bytes_per_s", bytes_per_s}});
    }

    void publish(int version, int more_routes) const
    {
        fleet_configuration config;
        config.version = version;
        config.more_routes = more_routes;
        fleet->publish_configuration(config);
    }

    bool has_version(int version, std::size_t node = 0) const
    {
        const std::string wanted = "snipeplank_config_version " + std::to_string(version) + "\n";
        return http_get(fleet->node(node).admin, "/metrics").body.find(wanted) != std::string::npos;
    }

    bool has_evacuated(const std::string& zone) const
    {
        return fleet->node(0).program->output().find(R"("event":"evacuations","zones":[")" +
                                                     zone) != std::string::npos;
    }

    /// Waits until `is_so`, at most until `end`.
    template <typename Condition>
    static bool comes_true(std::chrono::steady_clock::time_point end, Condition is_so)
    {
        while (!is_so())
        {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }
};

// Fails when an evacuation waits for a configuration that is being read (EVAC, issue 73): a node
// sends requests to a zone long after it was to be emptied.
TEST(slow_link, an_evacuation_waits_for_no_configuration)
{
    struct row
    {
        int changes; ///< of the configuration, before and after the evacuation
        std::chrono::milliseconds gap;
        std::uint64_t bytes_per_s;
    };
    int number = 0;
    for (const row& each : {row{1, 0ms, 60'000}, row{6, 300ms, 300'000}})
    {
        start(each.bytes_per_s);
        for (int i = 0; i < each.changes; ++i)
        {
            publish(10 + i, large);
            std::this_thread::sleep_for(each.gap);
        }
        // The answer with the configuration has begun.
        std::this_thread::sleep_for(300ms);
        const std::string zone = "salzkammer-" + std::to_string(++number);
        fleet->put("op/evacuate/" + zone, "{}");
        const auto confirmed = std::chrono::steady_clock::now();
        for (int i = 0; i < each.changes; ++i)
        {
            publish(20 + i, large);
            std::this_thread::sleep_for(each.gap);
        }
        CHECK_TRUE_TEXT(comes_true(confirmed + bound, [&] { return has_evacuated(zone); }),
                        zone.c_str());
        teardown();
    }
}

// Fails when a configuration is given up because its transfer takes long, and is begun again, so
// that a node never gets it (CONFIG, issue 73).
TEST(slow_link, a_configuration_that_arrives_slowly_is_read_to_its_end)
{
    // 0.4 MB take 3.3 s.
    start(120'000);
    publish(9, large);
    const auto confirmed = std::chrono::steady_clock::now();
    CHECK_TRUE(comes_true(confirmed + bound, [&] { return has_version(9); }));
}

// Fails when a node that is behind asks for every version since the last one that it has, and falls
// further behind (CONFIG, issue 73).
TEST(slow_link, a_node_that_is_behind_reads_the_newest_version_only)
{
    // 0.4 MB take 1 s: the changes come three times as fast as a node can read them.
    start(400'000);
    constexpr int changes = 18;
    constexpr auto gap = 330ms;
    for (int i = 0; i < changes; ++i)
    {
        std::this_thread::sleep_for(gap);
        publish(10 + i, large);
    }
    const auto confirmed = std::chrono::steady_clock::now();
    CHECK_TRUE(comes_true(confirmed + bound, [&] { return has_version(10 + changes - 1); }));
}

// Fails when a node waits for its own slow link although another node that it talks to has the
// configuration (CONFIG, issue 73).
TEST(slow_link, a_node_gets_the_configuration_from_one_that_has_it)
{
    fleet =
        std::make_unique<machine_fleet>(std::vector<std::string>{home, home}, store_path::relayed);
    fleet->publish_configuration(3);
    fleet->add_server("i-s", "shop", home);
    const std::string slow_path = fleet->store_relay().address();
    fleet->use_store(fleet->store().address());
    fleet->start_node(0);
    fleet->wait_until_served(0, "/read/x");
    fleet->use_store(slow_path);
    fleet->start_node(1);
    fleet->wait_until_served(1, "/read/x");
    // 0.4 MB take 20 s.
    fleet->store_relay().set_faults({{"rate_bytes_per_s", 20'000}});
    publish(9, large);
    const auto confirmed = std::chrono::steady_clock::now();
    CHECK_TRUE(comes_true(confirmed + bound, [&] { return has_version(9, 1); }));
}
