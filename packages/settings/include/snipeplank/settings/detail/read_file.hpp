/// @file
/// Reading of whole files.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_READ_FILE_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_READ_FILE_HPP

#include <snipeplank/core/error.hpp>

#include <string>

namespace snipeplank::settings::detail
{

/// @brief The text of a file, or `settings_unreadable`. O(n).
core::result<std::string> read_file(const std::string& path);

} // namespace snipeplank::settings::detail

#endif
