/// @file
/// Renders JSON answers of a node as readable text.

#ifndef SNIPEPLANK_CTL_JSON_TEXT_HPP
#define SNIPEPLANK_CTL_JSON_TEXT_HPP

#include <snipeplank/core/error.hpp>

#include <string>

namespace snipeplank::ctl
{

/// @brief Renders any JSON object as indented `key: value` lines.
/// @return the lines, or `connection_failed` when the text is not a JSON object. O(n).
core::result<std::string> render_json(const std::string& json);

} // namespace snipeplank::ctl

#endif
