/// @file
/// The node on a machine of the platform, which is configured by the platform's settings file.

#ifndef SNIPEPLANK_NODE_MACHINE_NODE_HPP
#define SNIPEPLANK_NODE_MACHINE_NODE_HPP

#include <string>

namespace snipeplank
{

/// @brief Serves until SIGTERM, on one event loop.
/// @param settings_path settings file that the platform writes
/// @return the exit status of the process
int run_machine_node(const std::string& settings_path);

} // namespace snipeplank

#endif
