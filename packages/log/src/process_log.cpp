#include <snipeplank/core/printable.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/log/repeat_limit.hpp>

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace snipeplank::log
{

namespace
{

/// Hands formatted lines over to the writer.
class writer_sink final : public spdlog::sinks::base_sink<std::mutex>
{
  protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        std::string line(formatted.data(), formatted.size());
        if (line.ends_with('\n'))
            line.pop_back();
        standard_output().push(std::move(line));
    }

    void flush_() override {}
};

struct limited_lines
{
    std::mutex mutex;
    repeat_limit limit;
};

limited_lines& limited()
{
    static auto* const instance = new limited_lines;
    return *instance;
}

void write_limited(spdlog::level::level_enum level, std::string_view cause, std::string_view text)
{
    std::optional<std::uint64_t> omitted;
    {
        const std::lock_guard lock(limited().mutex);
        omitted = limited().limit.admit(cause, std::chrono::steady_clock::now());
    }
    if (!omitted)
        return;
    if (*omitted == 0)
        spdlog::log(level, "{}", text);
    else
        spdlog::log(level, "{} ({} more lines about '{}' were left out before)", text, *omitted,
                    cause);
}

} // namespace

line_writer& standard_output()
{
    static auto* const instance = new line_writer(STDOUT_FILENO);
    return *instance;
}

void take_default_logger()
{
    auto logger = std::make_shared<spdlog::logger>("", std::make_shared<writer_sink>());
    logger->set_error_handler([](const std::string& error)
                              { standard_output().push("log: " + core::printable(error)); });
    spdlog::set_default_logger(std::move(logger));
}

void warn(std::string_view cause, std::string_view text)
{
    write_limited(spdlog::level::warn, cause, text);
}

void inform(std::string_view cause, std::string_view text)
{
    write_limited(spdlog::level::info, cause, text);
}

std::uint64_t left_out()
{
    const std::lock_guard lock(limited().mutex);
    return limited().limit.left_out();
}

void finish(core::milliseconds limit)
{
    {
        const std::lock_guard lock(limited().mutex);
        limited().limit.report(
            [](const std::string& cause, std::uint64_t count)
            { spdlog::warn("{} lines about '{}' were left out", count, cause); });
    }
    standard_output().flush(limit);
}

void write_last_line(std::string_view line)
{
    constexpr core::milliseconds limit{200};
    line_writer error(STDERR_FILENO);
    error.push(std::string(line));
    error.flush(limit);
}

} // namespace snipeplank::log
