#include <snipeplank/ctl/command.hpp>

#include <algorithm>
#include <ostream>

namespace snipeplank::ctl
{

namespace
{

constexpr const char* version_text = "snipeplankctl 0.1.0\n";

constexpr const char* help_header =
    R"(snipeplankctl: the operator's tool of snipeplank, a multi-region inference gateway.

First steps of a new team:
  1. snipeplankctl questionnaire --out DIR
     asks about regions, hosts, links, services and tolerance for cost and delay,
     and writes the configuration and one settings file for each entry host.
  2. snipeplankctl check DIR/publish DIR/nodes/*.yaml
     checks the files, also after an edit by hand.
  3. Publish DIR/publish in the configuration service: each file of sections/ under
     the key snipeplank/sections/HASH, then manifest.yaml under snipeplank/manifest.
  4. Start `snipeplank` on each entry host with its file of DIR/nodes.
  5. snipeplankctl status --node IP:PORT
     shows the state of a node; IP:PORT is the admin_address of its settings.

Commands:

)";

constexpr const char* help_footer =
    R"(Exit status: 0 done; 1 a node gave no answer or refused; 2 the command line or a file is wrong.
)";

std::string full_help(const command_list& commands)
{
    std::string text = help_header;
    for (const auto& each : commands)
    {
        text += each->help() + "\n";
    }
    return text + help_footer;
}

const command* find_command(const command_list& commands, const std::string& name)
{
    const auto same = [&name](const auto& each) { return each->name() == name; };
    const auto found = std::find_if(commands.begin(), commands.end(), same);
    return found == commands.end() ? nullptr : found->get();
}

/// The first given flag that the command does not accept, or an empty string.
std::string unsupported_flag(const command& chosen, const command_line& line)
{
    const std::vector<std::string> known = chosen.flags();
    for (const std::string& flag : line.given_flags)
    {
        if (std::find(known.begin(), known.end(), flag) == known.end())
        {
            return flag;
        }
    }
    return {};
}

} // namespace

int report_error(const command_io& io, const core::error& cause, int status)
{
    io.err << "snipeplankctl: " << cause.to_string() << '\n';
    return status;
}

int report_usage_error(const command_io& io, const std::string& problem, const std::string& remedy)
{
    io.err << "snipeplankctl: " << problem << "; " << remedy << '\n';
    return exit_refused;
}

command_list make_commands(const admin_connector& connect)
{
    command_list commands;
    commands.push_back(make_questionnaire_command());
    commands.push_back(make_check_command());
    commands.push_back(make_status_command(connect));
    commands.push_back(make_explain_command(connect));
    commands.push_back(make_drain_command(connect));
    commands.push_back(make_load_command());
    return commands;
}

int run_command(const command_list& commands, const command_line& line, const command_io& io)
{
    if (line.version)
    {
        io.out << version_text;
        return exit_ok;
    }
    const command* chosen = find_command(commands, line.command);
    if (line.help)
    {
        io.out << (chosen == nullptr ? full_help(commands) : chosen->help());
        return exit_ok;
    }
    if (chosen == nullptr)
    {
        const std::string problem =
            line.command.empty() ? "no command is given" : "unknown command " + line.command;
        return report_usage_error(io, problem, "run `snipeplankctl --help` for the commands");
    }
    if (const std::string flag = unsupported_flag(*chosen, line); !flag.empty())
    {
        return report_usage_error(io, chosen->name() + " takes no --" + flag,
                                  "run `snipeplankctl " + chosen->name() +
                                      " --help` for its flags");
    }
    return chosen->run(line, io);
}

} // namespace snipeplank::ctl
