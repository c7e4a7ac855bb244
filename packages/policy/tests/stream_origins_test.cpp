/// Tests what a node knows of the software versions that began streams.

#include <snipeplank/policy/stream_keepers.hpp>
#include <snipeplank/policy/stream_origins.hpp>
#include <snipeplank/policy/version_history.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace std::chrono_literals;

namespace
{

const core::time_point start{1'000'000s};
const core::service_id service{"lm"};
const software_version_key v1 = software_version_of(service, "v1");
const software_version_key v2 = software_version_of(service, "v2");

stream_key key(int number)
{
    return stream_key_of("attempt-" + std::to_string(number));
}

} // namespace

TEST_GROUP(stream_origins){};

// Fails when a held stream takes more than the stated bytes, or the table is not bounded.
TEST(stream_origins, a_stream_takes_a_fixed_number_of_bytes)
{
    UNSIGNED_LONGS_EQUAL(16, stream_origins::bytes_per_stream);
    stream_origins table;
    for (int i = 0; i < 100'000; ++i)
    {
        table.record(key(i), {v1, 10s}, start);
    }
    CHECK_TRUE(table.size(start) <= stream_origins::max_streams);
    CHECK_TRUE(table.size(start) > stream_origins::max_streams * 9 / 10);
    CHECK_TRUE(table.find(key(99'999), start).has_value());
}

// Fails when an origin is forgotten before its time, kept after it, or mixed up with another one.
TEST(stream_origins, an_origin_is_held_until_its_time_is_over)
{
    stream_origins table;
    constexpr int streams = 5'000;
    for (int i = 0; i < streams; ++i)
    {
        table.record(key(i), {i % 2 == 0 ? v1 : v2, 8s}, start);
    }
    for (int i = 0; i < streams; ++i)
    {
        const auto found = table.find(key(i), start + 7'900ms);
        CHECK_TRUE(found && found->version == (i % 2 == 0 ? v1 : v2));
        CHECK_FALSE(table.find(key(i), start + 8'100ms).has_value());
    }
    UNSIGNED_LONGS_EQUAL(0, table.size(start + 8'100ms));
    table.record(key(1), {v1, 3'600s}, start);
    CHECK_FALSE(table.find(key(1), start + stream_origins::max_lifetime + 1s).has_value());
}

// Fails when one of two records that contradict each other is believed.
TEST(stream_origins, records_that_differ_make_an_origin_unknown)
{
    stream_origins table;
    table.record(key(1), {v1, 8s}, start);
    table.record(key(1), {v1, 4s}, start + 1s);
    CHECK_TRUE(table.find(key(1), start + 7s)->version == v1);
    table.record(key(1), {v2, 8s}, start + 7s);
    CHECK_TRUE(table.find(key(1), start + 8s)->version == software_version_key{});
    table.record(key(1), {v1, 8s}, start + 8s);
    CHECK_TRUE(table.find(key(1), start + 9s)->version == software_version_key{});
    CHECK_FALSE(table.find(stream_key{}, start).has_value());
}

// Fails when versions of two services count as the same.
TEST(stream_origins, a_version_belongs_to_its_service)
{
    CHECK_FALSE(software_version_of(core::service_id{"other"}, "v1") == v1);
    CHECK_FALSE(v1 == v2);
}

TEST_GROUP(version_history){};

// Fails when a version counts as the only one although a stream may have begun at another, or the
// node has not watched for as long as a stream may last.
TEST(version_history, a_version_is_the_only_one_when_no_other_can_have_begun_a_stream)
{
    constexpr core::milliseconds lifetime{8'000};
    const core::duration window = lifetime + version_history::list_lag;
    const service_key name{1};
    struct row
    {
        const char* name;
        core::duration other_from; ///< after the start; when the other version is listed
        core::duration other_to;
        core::duration at;
        bool is_only;
    };
    const row rows[] = {
        {"not watched for long", 1h, 1h, window - 1s, false},
        {"watched for long", 1h, 1h, window + 1s, true},
        {"another serves", 30s, 60s, 40s, false},
        {"another has just left", 30s, 60s, 61s, false},
        {"another may still have streams", 30s, 60s, 60s + window - 1s, false},
        {"another is long gone", 30s, 60s, 60s + window + 1s, true},
        {"another comes later", 60s, 90s, 59s, true},
    };
    for (const row& each : rows)
    {
        version_history seen;
        for (core::duration at{0}; at <= each.at; at += 500ms)
        {
            const bool has_other = at >= each.other_from && at < each.other_to;
            listed_versions listed{{name, {{v1, 0}}}};
            if (has_other)
                listed[name][v2] = 0;
            seen.observe(listed, start + at);
        }
        const auto only = seen.only_version(name, lifetime, start + each.at);
        CHECK_EQUAL_TEXT(each.is_only, only == v1, each.name);
        CHECK_EQUAL_TEXT(each.is_only, only.has_value(), each.name);
        CHECK_FALSE_TEXT(seen.only_version(service_key{2}, lifetime, start + each.at).has_value(),
                         each.name);
    }
}

// Fails when a node infers something from the time in which it did not see the list.
TEST(version_history, an_interruption_begins_the_watch_anew)
{
    const service_key name{1};
    version_history seen;
    seen.interrupt(start - 60s);
    seen.observe({{name, {{v1, 0}}}}, start);
    CHECK_FALSE(seen.only_version(name, 8s, start + 1s).has_value());
    CHECK_TRUE(seen.only_version(name, 8s, start + 60s) == v1);
    seen.interrupt(start + 60s);
    seen.observe({{name, {{v1, 0}}}}, start + 60s);
    CHECK_FALSE(seen.only_version(name, 8s, start + 77s).has_value());
    CHECK_TRUE(seen.only_version(name, 8s, start + 79s) == v1);
}

// Fails when a version that replaced another at once counts as the only one too early.
TEST(version_history, a_replaced_version_is_remembered)
{
    const service_key name{1};
    version_history seen;
    seen.observe({{name, {{v1, 0}}}}, start);
    seen.observe({{name, {{v2, 0}}}}, start + 60s);
    CHECK_TRUE(seen.has_other(name, v2, 8s, start + 70s));
    CHECK_FALSE(seen.only_version(name, 8s, start + 70s).has_value());
    CHECK_TRUE(seen.only_version(name, 8s, start + 80s) == v2);
    CHECK_FALSE(seen.has_other(name, v2, 8s, start + 80s));
}

// Fails when streams begin at a version that nodes with an older list do not know yet, or when a
// node that has just started takes the version that has served for longest for a new one.
TEST(version_history, a_version_is_new_until_every_node_knows_it)
{
    constexpr core::milliseconds span{4'000};
    const service_key name{1};
    version_history seen;
    CHECK_TRUE(seen.is_known_for(name, v1, span, start));
    seen.observe({{name, {{v1, 70'000}, {v2, 90'000}}}}, start);
    CHECK_TRUE(seen.is_known_for(name, v1, span, start));
    CHECK_FALSE(seen.is_known_for(name, v2, span, start + span - 1ms));
    CHECK_TRUE(seen.is_known_for(name, v2, span, start + span));
    // Gone for a moment, and for so long that others have forgotten it.
    seen.observe({{name, {{v1, 70'000}}}}, start + 10s);
    seen.observe({{name, {{v1, 70'000}, {v2, 99'000}}}}, start + 15s);
    CHECK_TRUE(seen.is_known_for(name, v2, span, start + 15s));
    seen.observe({{name, {{v1, 70'000}}}}, start + 20s);
    seen.observe({{name, {{v1, 70'000}, {v2, 99'000}}}}, start + 40s);
    CHECK_FALSE(seen.is_known_for(name, v2, span, start + 41s));
    CHECK_TRUE(seen.is_known_for(name, v2, span, start + 44s));
    CHECK_TRUE(seen.is_known_for(service_key{2}, v2, span, start));
}

TEST_GROUP(stream_keepers){};

// Fails when a node that takes a stream up does not ask a node that was told its origin, whichever
// nodes of a fleet of any size are concerned.
TEST(stream_keepers, those_that_were_told_are_asked)
{
    const core::region_id regions[] = {core::region_id{"a"}, core::region_id{"b"},
                                       core::region_id{"c"}};
    for (const std::size_t nodes : {3, 6, 9, 30, 300})
    {
        std::vector<std::pair<core::address, core::region_id>> fleet;
        for (std::size_t i = 0; i < nodes; ++i)
        {
            fleet.emplace_back("10.0.0." + std::to_string(i) + ":1", regions[i % 3]);
        }
        const auto others_of = [&](std::size_t self)
        {
            other_nodes others;
            for (std::size_t i = 0; i < nodes; ++i)
            {
                if (i == self)
                    continue;
                if (fleet[i].second == fleet[self].second)
                    others.local.push_back(fleet[i].first);
                else
                    others.remote[fleet[i].second].push_back(fleet[i].first);
            }
            return others;
        };
        for (int stream = 0; stream < 30; ++stream)
        {
            const std::size_t teller = static_cast<std::size_t>(stream * 7) % nodes;
            const std::size_t asker = static_cast<std::size_t>(stream * 11 + 1) % nodes;
            const auto told = keepers_to_tell(key(stream), others_of(teller));
            CHECK_TRUE(told.size() <= keepers);
            CHECK_TRUE(!told.empty());
            auto asked = local_keepers_to_ask(key(stream), others_of(asker));
            const auto remote = remote_keepers_to_ask(key(stream), others_of(asker));
            asked.insert(asked.end(), remote.begin(), remote.end());
            const bool knows =
                std::any_of(told.begin(), told.end(),
                            [&](const core::address& each)
                            {
                                return each == fleet[asker].first ||
                                       std::find(asked.begin(), asked.end(), each) != asked.end();
                            });
            CHECK_TRUE(asker == teller || knows);
        }
    }
}
