/// @file
/// Helpers shared by the commands that send requests to a node.

#ifndef SNIPEPLANK_CTL_NODE_CALL_HPP
#define SNIPEPLANK_CTL_NODE_CALL_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/ctl/admin_client.hpp>
#include <snipeplank/ctl/command.hpp>

#include <string>

namespace snipeplank::ctl
{

/// @brief Parses the address in `--node`; an error when the flag is missing.
core::result<core::address> node_address(const command_line& line);

/// @brief The body of an answer with status 200 to 299, else an error that states the status.
core::result<std::string> successful_body(core::result<admin_answer> answer);

/// @brief Prints a JSON body, unchanged with `--json`, else as indented lines.
/// @return the exit status
int print_json(const std::string& body, const command_line& line, const command_io& io);

} // namespace snipeplank::ctl

#endif
