#include <snipeplank/ctl/command.hpp>
#include <snipeplank/ctl/load_run.hpp>
#include <snipeplank/settings/address.hpp>

#include <charconv>
#include <optional>
#include <ostream>
#include <string>

namespace snipeplank::ctl
{

namespace
{

constexpr std::size_t max_callers = 1'000;
constexpr std::size_t max_seconds = 600;
constexpr std::size_t max_tokens = 100'000;

std::optional<std::size_t> parse_count(const std::string& text, std::size_t max)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = error == std::errc{} && end == text.data() + text.size();
    if (!is_number || value == 0 || value > max)
        return std::nullopt;
    return value;
}

class load_command final : public command
{
  public:
    std::string name() const override { return "load"; }

    std::vector<std::string> flags() const override
    {
        return {"entry", "service", "callers", "seconds", "tokens"};
    }

    std::string help() const override
    {
        return R"(  load --entry IP:PORT --service NAME [--callers N] [--seconds N] [--tokens N]
    Sends streamed model calls to an entry host, each caller one after another, and
    prints one JSON line: counts, refusals by reason, time to first token and between
    tokens. Exit status 1 when an answer was incomplete.
    Example: snipeplankctl load --entry 127.0.0.1:8080 --service almanac --callers 8
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (!line.arguments.empty())
            return report_usage_error(io, "load takes no argument " + line.arguments.front(),
                                      "name the host with --entry IP:PORT");
        if (line.service.empty())
            return report_usage_error(io, "no service is named", "give --service NAME");
        const core::result<core::address> entry = settings::parse_address(line.entry);
        if (!entry)
            return report_error(io, entry.error(), exit_refused);
        const auto callers = parse_count(line.callers, max_callers);
        const auto seconds = parse_count(line.seconds, max_seconds);
        const auto tokens = parse_count(line.tokens, max_tokens);
        if (!callers || !seconds || !tokens)
            return report_usage_error(io, "--callers, --seconds or --tokens is out of range",
                                      "give whole numbers of at most 1000, 600 and 100000");
        const load_plan plan{entry.value(), core::service_id{line.service}, *callers,
                             core::seconds{*seconds}, *tokens};
        const load_report report = run_load(plan);
        io.out << to_json_line(plan, report) << "\n";
        return report.broken == 0 ? exit_ok : exit_failed;
    }
};

} // namespace

std::unique_ptr<command> make_load_command()
{
    return std::make_unique<load_command>();
}

} // namespace snipeplank::ctl
