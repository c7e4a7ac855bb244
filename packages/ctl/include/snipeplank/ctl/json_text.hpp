/// @file
/// JSON answers of a node as text for people.

#ifndef SNIPEPLANK_CTL_JSON_TEXT_HPP
#define SNIPEPLANK_CTL_JSON_TEXT_HPP

#include <snipeplank/core/error.hpp>

#include <string>

namespace snipeplank::ctl
{

/// @brief Indented `key: value` lines of a JSON object, whatever its keys are.
/// @return the lines, or `connection_failed` when the text is not a JSON object. O(n).
core::result<std::string> render_json(const std::string& json);

} // namespace snipeplank::ctl

#endif
