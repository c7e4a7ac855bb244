/// Tests the limits of the log: a stalled reader must not block requests, and the number of dropped
/// lines is reported.

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

#include "../src/call_log.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

namespace
{

/// Redirects standard output into a pipe during its lifetime.
class captured_output
{
  public:
    captured_output()
    {
        std::fflush(stdout);
        m_saved = ::dup(STDOUT_FILENO);
        std::array<int, 2> ends{};
        CHECK_EQUAL(0, ::pipe(ends.data()));
        m_reader = ends[0];
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
        ::fcntl(m_reader, F_SETFL, O_NONBLOCK);
    }

    ~captured_output()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        ::close(m_reader);
    }

    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    /// Writes until the pipe is full.
    static void fill()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        const std::array<char, 4096> page{};
        while (::write(STDOUT_FILENO, page.data(), page.size()) > 0)
        {
        }
        ::fcntl(STDOUT_FILENO, F_SETFL, flags);
    }

    std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> page{};
        for (ssize_t count = 1; count > 0;)
        {
            count = ::read(m_reader, page.data(), page.size());
            text.append(page.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return text;
    }

  private:
    int m_saved = -1;
    int m_reader = -1;
};

} // namespace

TEST_GROUP(call_log)
{
    call_log subject{"node-1"};

    void log_one(const std::string& id)
    {
        call_outcome_line line;
        line.request_id = id;
        line.outcome = "overloaded";
        subject.call_ended(line);
    }
};

// Hangs when a full pipe blocks the event loop; fails when the dropped line is not reported.
TEST(call_log, a_stalled_reader_does_not_block_logging)
{
    std::string text;
    {
        const captured_output output;
        captured_output::fill();
        log_one("left-out");
        static_cast<void>(output.read_all());
        log_one("written");
        text = output.read_all();
    }
    UNSIGNED_LONGS_EQUAL(1, subject.dropped());
    const auto line = nlohmann::json::parse(text, nullptr, false);
    CHECK_TRUE_TEXT(line.is_object(), text.c_str());
    STRCMP_EQUAL("written", line.value("request_id", "").c_str());
    LONGS_EQUAL(1, line.value("lines_dropped", 0));
}

// Fails when the number of lines about failures is not limited.
TEST(call_log, the_number_of_lines_is_limited)
{
    constexpr int failures = 1'000;
    constexpr std::size_t burst = 200; // four seconds at 50 lines/s
    std::string text;
    {
        const captured_output output;
        for (int i = 0; i < failures; ++i)
        {
            log_one(std::to_string(i));
            text += output.read_all();
        }
    }
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    CHECK_TRUE_TEXT(lines >= burst, text.c_str());
    UNSIGNED_LONGS_EQUAL(failures, lines + subject.dropped());
    CHECK_TRUE(subject.dropped() > 0);
}
