#include <snipeplank/core/json_text.hpp>
#include <snipeplank/core/printable.hpp>
#include <snipeplank/gateway/log_format.hpp>
#include <snipeplank/log/process_log.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace snipeplank::gateway
{

namespace
{

/// Formats the message with JSON escapes, as `%*` in a pattern.
class json_message final : public spdlog::custom_flag_formatter
{
  public:
    void format(const spdlog::details::log_msg& line, const std::tm&,
                spdlog::memory_buf_t& output) override
    {
        const std::string text =
            escape_json(std::string_view(line.payload.data(), line.payload.size()));
        output.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<spdlog::custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_message>();
    }
};

/// Formats the message without control characters, as `%*` in a pattern: text of other programs in
/// it cannot begin a line of its own.
class printable_message final : public spdlog::custom_flag_formatter
{
  public:
    void format(const spdlog::details::log_msg& line, const std::tm&,
                spdlog::memory_buf_t& output) override
    {
        const std::string text =
            core::printable(std::string_view(line.payload.data(), line.payload.size()));
        output.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<spdlog::custom_flag_formatter> clone() const override
    {
        return std::make_unique<printable_message>();
    }
};

/// Writes every message with this flag formatter.
template <typename Message>
void set_line_format(const std::string& pattern)
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<Message>('*').set_pattern(pattern);
    spdlog::set_formatter(std::move(formatter));
}

} // namespace

std::string escape_json(std::string_view text)
{
    const std::string quoted = core::json_text(nlohmann::json(text));
    return quoted.substr(1, quoted.size() - 2);
}

void set_up_log(const settings::node_settings& settings)
{
    log::take_default_logger();
    if (settings.format == settings::log_format::json)
        set_line_format<json_message>(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","thread":%t,"message":"%*"})");
    else
        set_line_format<printable_message>("%Y-%m-%dT%H:%M:%S.%e %^%l%$ %*");
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
}

} // namespace snipeplank::gateway
