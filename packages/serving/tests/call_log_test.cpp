/// Tests the limits of the log: a stalled reader must not block requests, and the number of dropped
/// lines is reported.

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "../src/call_log.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

namespace
{

/// A small pipe that nobody reads until the test does.
class small_pipe
{
  public:
    small_pipe()
    {
        constexpr int bytes = 4'096;
        CHECK_EQUAL(0, ::pipe2(m_ends.data(), O_CLOEXEC));
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        ::fcntl(m_ends[1], F_SETPIPE_SZ, bytes);
    }

    // The writer's thread may still use the other end.
    ~small_pipe() { ::close(m_ends[0]); }
    small_pipe(const small_pipe&) = delete;
    small_pipe& operator=(const small_pipe&) = delete;

    int writer() const { return m_ends[1]; }

    /// Reads until all queued lines are written, for at most 10 s.
    std::string read_all(log::line_writer& output) const
    {
        constexpr int max_steps = 1'000;
        constexpr core::milliseconds step{10};
        std::string text;
        for (int i = 0; i < max_steps && !output.flush(step); ++i)
        {
            text += read_some();
        }
        return text + read_some();
    }

  private:
    std::string read_some() const
    {
        std::string text;
        std::array<char, 4096> page{};
        for (ssize_t count = 1; count > 0;)
        {
            count = ::read(m_ends[0], page.data(), page.size());
            text.append(page.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return text;
    }

    std::array<int, 2> m_ends{};
};

std::size_t count_lines(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_GROUP(call_log)
{
    static constexpr std::size_t queue_bytes = 10'000;
    small_pipe pipe;
    log::line_writer output{pipe.writer(), queue_bytes};
    call_log subject{"node-1", output};

    void log_one(const std::string& id)
    {
        call_outcome_line line;
        line.request_id = id;
        line.outcome = "overloaded";
        subject.call_ended(line);
    }
};

// Hangs when a full pipe blocks the event loop; fails when a line is neither written nor counted,
// or when the lines that follow do not report the count.
TEST(call_log, a_stalled_reader_does_not_block_logging)
{
    constexpr std::size_t lines = 150; // within the rate limit
    for (std::size_t i = 0; i < lines; ++i)
    {
        log_one("id" + std::to_string(i));
    }
    CHECK_TRUE(subject.dropped() > 0);
    std::istringstream text(pipe.read_all(output));
    log_one("written");
    std::istringstream last(pipe.read_all(output));
    std::size_t written = 0;
    std::uint64_t reported = 0;
    nlohmann::json line;
    for (std::istringstream* each : {&text, &last})
    {
        for (std::string row; std::getline(*each, row); ++written)
        {
            line = nlohmann::json::parse(row, nullptr, false);
            CHECK_TRUE_TEXT(line.is_object(), row.c_str());
            reported = line.value("lines_dropped", reported);
        }
    }
    STRCMP_EQUAL("written", line.value("request_id", "").c_str());
    UNSIGNED_LONGS_EQUAL(lines + 1, written + subject.dropped());
    UNSIGNED_LONGS_EQUAL(subject.dropped(), reported);
}

// Fails when the number of lines about failures is not limited.
TEST(call_log, the_number_of_lines_is_limited)
{
    constexpr int failures = 1'000;
    constexpr std::size_t burst = 200; // four seconds at 50 lines/s
    std::string text;
    for (int i = 0; i < failures; ++i)
    {
        log_one(std::to_string(i));
        text += pipe.read_all(output);
    }
    const std::size_t lines = count_lines(text);
    CHECK_TRUE_TEXT(lines >= burst, text.c_str());
    UNSIGNED_LONGS_EQUAL(failures, lines + subject.dropped());
    CHECK_TRUE(subject.dropped() > 0);
    UNSIGNED_LONGS_EQUAL(0, output.dropped());
}

// Fails when the log does not say by which homes, and by how old a configuration, a request was
// judged (issue 70, HOME).
TEST(call_log, a_request_with_homes_is_logged_with_what_it_was_judged_by)
{
    struct row
    {
        const char* name;
        std::vector<core::region_id> homes;
        std::optional<core::milliseconds> age;
        bool has_unknown_key;
        const char* logged; ///< the fields that name these
    };
    const row rows[] = {
        {"every region", {}, core::seconds{3}, false, "{}"},
        {"one home",
         {core::region_id{"duluth"}},
         core::seconds{3},
         false,
         R"({"confirmed_age_ms":3000,"homes":["duluth"],"homes_version":7})"},
        {"never confirmed",
         {core::region_id{"duluth"}},
         std::nullopt,
         false,
         R"({"homes":["duluth"],"homes_version":7})"},
        {"a key of nobody", {}, core::seconds{3}, true, R"({"unknown_key":true})"},
    };
    for (const row& each : rows)
    {
        call_outcome_line line;
        line.homes.restrict_to(each.homes);
        line.homes_version = 7;
        line.confirmed_age = each.age;
        line.has_unknown_key = each.has_unknown_key;
        subject.call_ended(line);
        const auto logged = nlohmann::json::parse(pipe.read_all(output));
        nlohmann::json named = nlohmann::json::object();
        for (const char* field : {"homes", "homes_version", "confirmed_age_ms", "unknown_key"})
        {
            if (logged.contains(field))
                named[field] = logged[field];
        }
        STRCMP_EQUAL_TEXT(each.logged, named.dump().c_str(), each.name);
    }
}
