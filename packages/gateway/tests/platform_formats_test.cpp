/// Guards against host lists and load reports that are misread or throw in the parser.

#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/log_format.hpp>
#include <snipeplank/gateway/platform_client.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>

using namespace snipeplank;
using namespace snipeplank::gateway;

TEST_GROUP(platform_formats){};

TEST(platform_formats, unusable_entries_of_the_host_list_are_skipped)
{
    const auto listing = parse_host_listing(
        R"({"index":5,"hosts":[{"address":"10.0.0.1:1","kind":"entry","region":"a"},
            {"address":"10.0.0.2:1","kind":"upstream","service":"s","region":"a","state":"leaving"},
            {"address":"10.0.0.3:1","kind":"upstream","region":"a"}, 7, {"kind":"entry"}]})");
    CHECK_TRUE(listing.has_value());
    LONGS_EQUAL(5, listing.value().index);
    LONGS_EQUAL(2, listing.value().hosts.size());
    CHECK_TRUE(listing.value().hosts[0].is_entry);
    CHECK_TRUE(listing.value().hosts[1].is_leaving);
}

TEST(platform_formats, arbitrary_text_never_throws)
{
    tests::check_property("arbitrary text is read or refused",
                          [](const std::string& text)
                          {
                              const auto listing = parse_host_listing(text);
                              RC_ASSERT(listing || !listing.error().remedy.empty());
                              parse_load_report(text);
                              escape_json(text);
                          });
}

TEST(platform_formats, load_report_values_are_parsed)
{
    const upstream_report report = parse_load_report(
        "# HELP vllm:num_requests_running x\nvllm:num_requests_running{model=\"m\"} 3.0\n"
        "vllm:num_requests_waiting 2\nvllm:gpu_cache_usage_perc 0.5\n");
    LONGS_EQUAL(3, report.running);
    LONGS_EQUAL(2, report.waiting);
    DOUBLES_EQUAL(0.5, report.cache_use, 1e-9);
}

TEST(platform_formats, a_full_decision_log_evicts_only_the_oldest_record)
{
    decision_log log;
    const auto add = [&log](std::size_t number)
    {
        call_record record;
        record.request_id = std::to_string(number);
        log.add(std::move(record));
    };
    for (std::size_t number = 0; number <= decision_log::capacity; ++number)
    {
        add(number);
    }
    CHECK_FALSE(log.explain("0").has_value());
    CHECK_TRUE(log.explain("1").has_value());
    CHECK_TRUE(log.explain(std::to_string(decision_log::capacity)).has_value());
}
