/// Entry point of snipeplankctl: parses the command line and runs one command.

#include <snipeplank/ctl/command.hpp>

#include <unistd.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace snipeplank::ctl;
    const command_io io{std::cin, std::cout, std::cerr, isatty(STDIN_FILENO) == 1};
    const auto line = parse_command_line(argc, argv);
    if (!line)
    {
        return report_usage_error(io, line.error().message, line.error().remedy);
    }
    return run_command(make_commands(connect_over_http), line.value(), io);
}
