/// Tests the limit on lines that repeat.

#include <snipeplank/log/repeat_limit.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

using namespace snipeplank;
using namespace std::chrono_literals;
using snipeplank::log::repeat_limit;

TEST_GROUP(repeat_limit)
{
    repeat_limit subject;
    const core::time_point begin{};

    std::uint64_t admitted(const std::string& cause, int lines, core::time_point at)
    {
        std::uint64_t count = 0;
        for (int i = 0; i < lines; ++i)
        {
            count += subject.admit(cause, at) ? 1 : 0;
        }
        return count;
    }
};

// Fails when a cause that repeats is not limited, or takes the lines of another one.
TEST(repeat_limit, each_cause_has_its_own_limit)
{
    UNSIGNED_LONGS_EQUAL(repeat_limit::max_lines, admitted("store", 500, begin));
    UNSIGNED_LONGS_EQUAL(1, admitted("items", 1, begin));
    UNSIGNED_LONGS_EQUAL(500 - repeat_limit::max_lines, subject.left_out());
    UNSIGNED_LONGS_EQUAL(0, admitted("store", 1, begin + repeat_limit::interval - 1ms));
    UNSIGNED_LONGS_EQUAL(repeat_limit::max_lines,
                         admitted("store", 500, begin + repeat_limit::interval));
}

// Fails when the line behind those that were left out does not say how many, or says it twice.
TEST(repeat_limit, the_next_line_says_how_many_were_left_out)
{
    admitted("store", 12, begin);
    const auto next = subject.admit("store", begin + repeat_limit::interval);
    CHECK_TRUE(next.has_value());
    UNSIGNED_LONGS_EQUAL(12 - repeat_limit::max_lines, *next);
    UNSIGNED_LONGS_EQUAL(0, *subject.admit("store", begin + repeat_limit::interval));
}

// Fails when what was left out last is never told.
TEST(repeat_limit, a_report_tells_what_no_line_has_told)
{
    admitted("store", 12, begin);
    admitted("items", 1, begin);
    std::string told;
    const auto tell = [&](const std::string& cause, std::uint64_t count)
    { told += cause + " " + std::to_string(count) + ";"; };
    subject.report(tell);
    subject.report(tell);
    STRCMP_EQUAL("store 7;", told.c_str());
    UNSIGNED_LONGS_EQUAL(7, subject.left_out());
}
