/// @file
/// Command interface of snipeplankctl, its commands and the command line parser.

#ifndef SNIPEPLANK_CTL_COMMAND_HPP
#define SNIPEPLANK_CTL_COMMAND_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/ctl/admin_client.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace snipeplank::ctl
{

/// The command succeeded.
constexpr int exit_ok = 0;
/// A node gave no answer or refused.
constexpr int exit_failed = 1;
/// The command line or a file is wrong.
constexpr int exit_refused = 2;

/// @brief A parsed command line; a flag that is not given is empty.
struct command_line
{
    std::string command;
    std::vector<std::string> arguments;
    std::vector<std::string> given_flags; ///< names of the flags that were given
    std::string node;
    std::string admin_port;
    std::string answers;
    std::string out;
    std::string entry;
    std::string service;
    std::string callers;
    std::string seconds;
    std::string tokens;
    bool json = false;
    bool help = false;
    bool version = false;
};

/// @brief Input and output streams of a command.
struct command_io
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    bool is_terminal; ///< whether `in` is an interactive terminal
};

/// @brief One subcommand of snipeplankctl.
class command
{
  public:
    virtual ~command() = default;

    /// @brief Name that selects the command on the command line.
    virtual std::string name() const = 0;

    /// @brief Help text: a synopsis line, a description and an example.
    virtual std::string help() const = 0;

    /// @brief Names of the flags that the command accepts, without dashes.
    virtual std::vector<std::string> flags() const = 0;

    /// @brief Runs the command and returns the exit status.
    virtual int run(const command_line& line, const command_io& io) const = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

std::unique_ptr<command> make_questionnaire_command();
std::unique_ptr<command> make_check_command();
std::unique_ptr<command> make_status_command(admin_connector connect);
std::unique_ptr<command> make_explain_command(admin_connector connect);
std::unique_ptr<command> make_drain_command(admin_connector connect);
std::unique_ptr<command> make_load_command();

/// @brief All commands, in the order in which a new operator needs them.
command_list make_commands(const admin_connector& connect);

/// @brief Parses the command line. Each error states a remedy.
core::result<command_line> parse_command_line(int argc, char** argv);

/// @brief Selects and runs the command, or prints help.
int run_command(const command_list& commands, const command_line& line, const command_io& io);

/// @brief Prints an error with its remedy to `io.err` and returns `status`.
int report_error(const command_io& io, const core::error& cause, int status);

/// @brief Prints a command line error with its remedy and returns `exit_refused`.
int report_usage_error(const command_io& io, const std::string& problem, const std::string& remedy);

} // namespace snipeplank::ctl

#endif
