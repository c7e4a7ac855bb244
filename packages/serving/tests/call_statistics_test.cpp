/// Tests the counters and histograms on the metrics address.

#include <CppUTest/TestHarness.h>

#include "../src/call_statistics.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

TEST_GROUP(call_statistics)
{
    call_statistics subject;

    void expect_line(const std::string& line) const
    {
        const std::string text = subject.render();
        CHECK_TRUE_TEXT(("\n" + text).find("\n" + line + "\n") != std::string::npos, text.c_str());
    }
};

// Fails when a time is counted in a bucket whose bound it exceeds, or is missing in a higher one.
TEST(call_statistics, buckets_are_cumulative)
{
    for (const double ms : {3.0, 7.0, 700.0, 60'000.0})
    {
        call_outcome_line ended;
        ended.outcome = "answered";
        ended.first_byte_ms = ms;
        subject.add(ended);
    }
    for (const auto& [bound, count] :
         {std::pair{"5", 1}, std::pair{"10", 2}, std::pair{"500", 2}, std::pair{"1000", 3},
          std::pair{"30000", 3}, std::pair{"+Inf", 4}})
    {
        expect_line("snipeplank_first_byte_ms_bucket{le=\"" + std::string(bound) + "\"} " +
                    std::to_string(count));
    }
    expect_line("snipeplank_first_byte_ms_sum 60710.000");
    expect_line("snipeplank_first_byte_ms_count 4");
    expect_line("snipeplank_calls_total{outcome=\"answered\"} 4");
}

// Fails when a call without any event or pause is recorded with a duration of zero.
TEST(call_statistics, missing_measurements_are_not_counted)
{
    call_outcome_line refused;
    refused.outcome = "overloaded";
    refused.total_ms = 1;
    subject.add(refused);
    expect_line("snipeplank_first_byte_ms_count 0");
    expect_line("snipeplank_longest_pause_ms_count 0");
    expect_line("snipeplank_whole_call_ms_count 1");
    expect_line("snipeplank_calls_total{outcome=\"overloaded\"} 1");
}

// Fails when a retry is not counted by its reason.
TEST(call_statistics, retries_are_counted_by_reason)
{
    subject.count_retry(policy::retry_reason::upstream_failed);
    subject.count_retry(policy::retry_reason::upstream_failed);
    subject.count_retry(policy::retry_reason::connect_failed);
    expect_line("snipeplank_retries_total{reason=\"upstream_failed\"} 2");
    expect_line("snipeplank_retries_total{reason=\"connect_failed\"} 1");
}

// Fails when an answer that ended early is not counted by who ended it, or a whole one is.
TEST(call_statistics, cut_answers_are_counted_by_cause)
{
    for (const cut_cause cause : {cut_cause::none, cut_cause::silence, cut_cause::silence})
    {
        call_outcome_line ended;
        ended.cut_by = cause;
        subject.add(ended);
    }
    expect_line("snipeplank_cut_answers_total{by=\"silence\"} 2");
    CHECK_TRUE(subject.render().find("by=\"none\"") == std::string::npos);
}

// Fails when a request that was refused before it became a call is not counted by its status.
TEST(call_statistics, rejected_requests_are_counted_by_status)
{
    for (const int status : {413, 408, 413})
    {
        subject.count_rejected(status);
    }
    expect_line("snipeplank_rejected_requests_total{status=\"413\"} 2");
    expect_line("snipeplank_rejected_requests_total{status=\"408\"} 1");
}
