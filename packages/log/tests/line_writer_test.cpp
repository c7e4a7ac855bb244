/// Tests that no caller waits for the reader of a log, and that what is lost is counted.

#include <snipeplank/log/line_writer.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace snipeplank;
using namespace std::chrono_literals;
using snipeplank::log::line_writer;

namespace
{

/// A pipe that nobody reads until the test does.
class idle_pipe
{
  public:
    idle_pipe()
    {
        CHECK_EQUAL(0, ::pipe2(m_ends.data(), O_CLOEXEC));
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }

    ~idle_pipe()
    {
        ::close(m_ends[0]);
        // The writer's thread may still use the other end.
    }

    idle_pipe(const idle_pipe&) = delete;
    idle_pipe& operator=(const idle_pipe&) = delete;

    int writer() const { return m_ends[1]; }

    std::string read_some() const
    {
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t count = 1; count > 0;)
        {
            count = ::read(m_ends[0], part.data(), part.size());
            text.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return text;
    }

    /// Reads until the writer has written everything, for at most 10 s.
    std::string read_all(line_writer& subject) const
    {
        std::string text;
        constexpr int max_steps = 1'000;
        for (int i = 0; i < max_steps && !subject.flush(10ms); ++i)
        {
            text += read_some();
        }
        return text + read_some();
    }

  private:
    std::array<int, 2> m_ends{};
};

core::duration time_of(const std::function<void()>& action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    return std::chrono::steady_clock::now() - begin;
}

/// Far more than a queue takes that does not wait, far less than a reader that stands still.
constexpr core::milliseconds no_wait{2'000};

} // namespace

TEST_GROUP(line_writer)
{
    idle_pipe pipe;
};

TEST(line_writer, lines_arrive_whole_and_in_order)
{
    line_writer subject(pipe.writer());
    std::string expected;
    for (int i = 0; i < 1'000; ++i)
    {
        const std::string line = std::to_string(i) + std::string(static_cast<std::size_t>(i), 'x');
        subject.push(line);
        expected += line + "\n";
    }
    CHECK_TRUE(pipe.read_all(subject) == expected);
    UNSIGNED_LONGS_EQUAL(0, subject.dropped());
}

// Fails when a caller waits for a reader that stands still, when the queue grows beyond its
// capacity, or when a line is neither written nor counted.
TEST(line_writer, a_reader_that_stands_still_holds_up_no_caller)
{
    constexpr std::size_t capacity = 100'000;
    constexpr std::size_t lines = 20'000;
    const std::string padding(90, 'x');
    line_writer subject(pipe.writer(), capacity);
    CHECK_TRUE(time_of(
                   [&]
                   {
                       for (std::size_t i = 0; i < lines; ++i)
                       {
                           subject.push(std::to_string(i) + padding);
                       }
                   }) < no_wait);
    CHECK_TRUE(subject.dropped() > 0);
    const std::string text = pipe.read_all(subject);
    const auto written = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    UNSIGNED_LONGS_EQUAL(lines, written + subject.dropped());
    CHECK_TRUE_TEXT(text.ends_with(std::to_string(lines - 1) + padding + "\n"),
                    "the newest line is kept");
}

// Fails when a process cannot end while nobody reads its log.
TEST(line_writer, a_flush_and_the_end_wait_for_no_reader)
{
    auto subject = std::make_unique<line_writer>(pipe.writer());
    for (int i = 0; i < 1'000; ++i)
    {
        subject->push(std::string(1'000, 'x'));
    }
    bool is_flushed = true;
    CHECK_TRUE(time_of([&] { is_flushed = subject->flush(100ms); }) < no_wait);
    CHECK_FALSE(is_flushed);
    CHECK_TRUE(time_of([&] { subject.reset(); }) < no_wait);
}

// Fails when a line that could not be written is not counted, or one without end is kept.
TEST(line_writer, lines_that_are_not_written_are_counted)
{
    constexpr int closed_descriptor = 1'000'000;
    line_writer broken(closed_descriptor);
    broken.push("lost");
    CHECK_TRUE(broken.flush(2s));
    UNSIGNED_LONGS_EQUAL(1, broken.dropped());
    line_writer subject(pipe.writer());
    subject.push(std::string(line_writer::max_line_bytes + 1, 'x'));
    subject.push("kept");
    STRCMP_EQUAL("kept\n", pipe.read_all(subject).c_str());
    UNSIGNED_LONGS_EQUAL(1, subject.dropped());
}
