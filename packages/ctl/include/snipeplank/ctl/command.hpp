/// @file
/// The commands of snipeplankctl.

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

/// The command did what it was asked.
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

/// @brief Where a command reads and writes.
struct command_io
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    bool is_terminal; ///< whether a person answers on `in`
};

/// @brief One command.
class command
{
  public:
    virtual ~command() = default;

    /// @brief The word that selects it.
    virtual std::string name() const = 0;

    /// @brief Its help: a synopsis line, what it does, an example.
    virtual std::string help() const = 0;

    /// @brief Flags that it takes.
    virtual std::vector<std::string> flags() const = 0;

    /// @brief Runs it and returns the exit status.
    virtual int run(const command_line& line, const command_io& io) const = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

std::unique_ptr<command> make_questionnaire_command();
std::unique_ptr<command> make_check_command();
std::unique_ptr<command> make_status_command(admin_connector connect);
std::unique_ptr<command> make_explain_command(admin_connector connect);
std::unique_ptr<command> make_drain_command(admin_connector connect);
std::unique_ptr<command> make_load_command();

/// @brief All commands, in the order in which a newcomer needs them.
command_list make_commands(const admin_connector& connect);

/// @brief Reads the flags. Errors name the remedy.
core::result<command_line> parse_command_line(int argc, char** argv);

/// @brief Selects and runs the command, or prints help.
int run_command(const command_list& commands, const command_line& line, const command_io& io);

/// @brief Prints an error with its remedy to `io.err` and returns `status`.
int report_error(const command_io& io, const core::error& cause, int status);

/// @brief Prints a wrong use of the command line and returns `exit_refused`.
int report_misuse(const command_io& io, const std::string& problem, const std::string& remedy);

} // namespace snipeplank::ctl

#endif
