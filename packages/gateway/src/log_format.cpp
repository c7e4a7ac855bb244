#include <snipeplank/gateway/log_format.hpp>

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

} // namespace

std::string escape_json(std::string_view text)
{
    const std::string quoted =
        nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return quoted.substr(1, quoted.size() - 2);
}

void set_up_log(const settings::node_settings& settings)
{
    if (settings.format == settings::log_format::json)
    {
        auto formatter = std::make_unique<spdlog::pattern_formatter>();
        formatter->add_flag<json_message>('*').set_pattern(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","thread":%t,"message":"%*"})");
        spdlog::set_formatter(std::move(formatter));
    }
    else
    {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ %v");
    }
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
    spdlog::flush_on(spdlog::level::info);
}

} // namespace snipeplank::gateway
