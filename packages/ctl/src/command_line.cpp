#include <snipeplank/ctl/command.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <string_view>

DEFINE_string(node, "", "admin address of a node, IP:PORT");
DEFINE_string(admin_port, "", "port of the admin address when it is derived from a request id");
DEFINE_string(answers, "", "file with the answers of the questionnaire");
DEFINE_string(out, "", "directory for the generated files");
DEFINE_bool(json, false, "print the node's JSON unchanged");
DEFINE_string(entry, "", "caller address of a node, IP:PORT");
DEFINE_string(service, "", "model service to call");
DEFINE_string(callers, "8", "callers that send one request after another");
DEFINE_string(seconds, "10", "time to send for");
DEFINE_string(tokens, "64", "tokens of each answer");

namespace snipeplank::ctl
{

namespace
{

constexpr std::array<std::string_view, 9> text_flags{
    "node", "admin_port", "answers", "out", "entry", "service", "callers", "seconds", "tokens"};
constexpr std::array<std::string_view, 3> switches{"json", "help", "version"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count>& words, std::string_view word)
{
    return std::find(words.begin(), words.end(), word) != words.end();
}

auto usage_error(const std::string& problem, const std::string& remedy)
{
    return core::fail(core::error_code::settings_bad_value, problem, remedy);
}

/// Checks the flags before gflags sees them, because gflags exits on an invalid flag without
/// stating a remedy. Returns the names of the given flags.
core::result<std::vector<std::string>> check_flags(const std::vector<std::string>& words)
{
    std::vector<std::string> given;
    for (std::size_t i = 0; i < words.size(); ++i)
    {
        const std::string& word = words[i];
        if (word == "--")
        {
            break;
        }
        if (word.size() < 2 || word.front() != '-')
        {
            continue;
        }
        const std::size_t begin = word.find_first_not_of('-');
        const std::size_t equals = word.find('=');
        const std::string name =
            begin == std::string::npos || begin > 2 ? "" : word.substr(begin, equals - begin);
        const bool has_value = equals != std::string::npos;
        if (!contains(text_flags, name) && !contains(switches, name))
        {
            return usage_error("unknown flag " + word,
                               "run `snipeplankctl --help` for the flags of each command");
        }
        if (contains(switches, name) && has_value)
        {
            return usage_error("--" + name + " takes no value", "write --" + name + " alone");
        }
        if (contains(text_flags, name) &&
            (has_value ? equals + 1 : ++i) >= (has_value ? word.size() : words.size()))
        {
            return usage_error("--" + name + " has no value", "write --" + name + " VALUE");
        }
        given.push_back(name);
    }
    return given;
}

bool is_given(const std::vector<std::string>& flags, const char* name)
{
    return std::find(flags.begin(), flags.end(), name) != flags.end();
}

} // namespace

core::result<command_line> parse_command_line(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    core::result<std::vector<std::string>> given = check_flags(words);
    if (!given)
    {
        return given.as_failure();
    }
    // Restores the defaults on return, so that a process can parse more than one command line.
    const gflags::FlagSaver restore_flags;
    constexpr bool remove_flags = true;
    // This variant ignores --help and --version, which print this program's own text.
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, remove_flags);
    command_line line;
    line.given_flags = given.value();
    line.help = is_given(line.given_flags, "help");
    line.version = is_given(line.given_flags, "version");
    line.json = FLAGS_json;
    line.node = FLAGS_node;
    line.admin_port = FLAGS_admin_port;
    line.answers = FLAGS_answers;
    line.out = FLAGS_out;
    line.entry = FLAGS_entry;
    line.service = FLAGS_service;
    line.callers = FLAGS_callers;
    line.seconds = FLAGS_seconds;
    line.tokens = FLAGS_tokens;
    if (argc > 1)
    {
        line.command = argv[1];
        line.arguments.assign(argv + 2, argv + argc);
    }
    return line;
}

} // namespace snipeplank::ctl
