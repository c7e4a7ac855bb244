/// The platform stand-in must follow the protocol in section 7 of the design.

#include <snipeplank/core/hash.hpp>

#include <CppUTest/TestHarness.h>

#include <future>

#include "published_files.hpp"
#include "standin.hpp"

using namespace snipeplank::tests;
using nlohmann::json;

namespace
{

const std::string manifest_path = "/v1/kv/snipeplank/manifest?raw";

json host(const std::string& address, const std::string& kind, const std::string& state)
{
    return {{"address", address}, {"kind", kind}, {"state", state}};
}

} // namespace

TEST_GROUP(standin_platform)
{
    temporary_directory directory;
    standin platform{"standin_platform",
                     {"--config_dir", directory.path().string(), "--weight_bytes", "40000"}};

    void publish_version(std::uint64_t version) const
    {
        publish(directory.path(), version, {{"fleet", "text of version\n"}});
    }

    http_answer get(const std::string& path) const
    {
        return http_get(platform.address(), path);
    }

    void set_hosts(const json& hosts) const
    {
        http_call(platform.address(), {.method = "PUT",
                                       .path = "/standin/hosts",
                                       .headers = {},
                                       .body = json{{"hosts", hosts}}.dump()});
    }
};

// Guards against a manifest whose sections cannot be read under their hashes.
TEST(standin_platform, serves_manifest_and_sections)
{
    CHECK_TRUE(get(manifest_path).is(404));
    publish_version(1);
    const http_answer manifest = get(manifest_path);
    CHECK_TRUE_TEXT(manifest.is(200), manifest.describe().c_str());
    STRCMP_EQUAL("1", manifest.headers.at("x-consul-index").c_str());
    const std::string hash = snipeplank::core::sha256_hex("text of version\n");
    CHECK_TRUE(manifest.body.find(hash) != std::string::npos);
    const http_answer section = get("/v1/kv/snipeplank/sections/" + hash + "?raw");
    STRCMP_EQUAL("text of version\n", section.body.c_str());
}

// Guards against a blocking read that returns early or never.
TEST(standin_platform, holds_a_blocking_read_until_the_next_version)
{
    publish_version(1);
    CHECK_TRUE(get(manifest_path).is(200));
    auto waiting =
        std::async(std::launch::async, [this] { return get(manifest_path + "&index=1&wait=30s"); });
    wait_until("waiting", [this] { return platform.counts()["manifest_blocking_reads"] == 1; });
    publish_version(2);
    const http_answer answer = waiting.get();
    STRCMP_EQUAL("2", answer.headers.at("x-consul-index").c_str());
    CHECK_TRUE(answer.body.find("version: 2") != std::string::npos);
}

// Guards against a configuration fault that has no effect.
TEST(standin_platform, can_be_down_and_stale)
{
    publish_version(1);
    get(manifest_path);
    publish_version(2);
    CHECK_TRUE(get(manifest_path).body.find("version: 2") != std::string::npos);
    platform.set_faults({{"config", {{"stale_version", 1}}}});
    CHECK_TRUE(get(manifest_path).body.find("version: 1") != std::string::npos);
    platform.set_faults({{"config", {{"down", true}}}});
    CHECK_TRUE(get(manifest_path).end == answer_end::truncated);
    platform.set_faults(json::object());
    CHECK_TRUE(get(manifest_path).body.find("version: 2") != std::string::npos);
}

// Guards against a host list fault that has no effect.
TEST(standin_platform, freezes_and_reverses_the_host_list)
{
    set_hosts(json::array({host("a", "entry", "live")}));
    platform.set_faults({{"hosts", {{"frozen", true}}}});
    set_hosts(json::array({host("a", "entry", "leaving"), host("b", "upstream", "live")}));
    LONGS_EQUAL(1, platform.get_json("/v1/hosts")["index"].get<int>());
    platform.set_faults(json::object());
    LONGS_EQUAL(2, platform.get_json("/v1/hosts")["hosts"].size());
    LONGS_EQUAL(0, platform.get_json("/v1/directory")["hosts"].size());
    platform.set_faults({{"hosts", {{"reversed", true}}}});
    STRCMP_EQUAL("live",
                 platform.get_json("/v1/hosts")["hosts"][0]["state"].get<std::string>().c_str());
}

// Guards against a weight store that loses bytes.
TEST(standin_platform, serves_weights_whole)
{
    const http_answer answer = get("/v1/weights/almanac");
    CHECK_TRUE(answer.is(200));
    LONGS_EQUAL(40'000, answer.body.size());
}
