/// @file
/// Loading of a configuration from a directory, before it is published.

#ifndef SNIPEPLANK_SETTINGS_CONFIG_DIRECTORY_HPP
#define SNIPEPLANK_SETTINGS_CONFIG_DIRECTORY_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <string>

namespace snipeplank::settings
{

/// @brief Reads `manifest.yaml` and the sections that it lists from `sections/<hash>.yaml`.
/// @return the validated configuration, or the first error
/// O(n) in the size of the files. Other files in the directory are ignored.
/// @code
/// auto config = load_config_directory("out/publish");
/// @endcode
core::result<published_config> load_config_directory(const std::string& directory);

} // namespace snipeplank::settings

#endif
