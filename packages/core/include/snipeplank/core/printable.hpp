/// @file
/// Text of other programs in log lines, error messages, metrics and JSON documents.

#ifndef SNIPEPLANK_CORE_PRINTABLE_HPP
#define SNIPEPLANK_CORE_PRINTABLE_HPP

#include <string>
#include <string_view>

namespace snipeplank::core
{

/// @brief Whether the whole text is valid UTF-8. O(n).
bool is_utf8(std::string_view text);

/// @brief The text as part of one line: control characters and bytes that are not UTF-8 become
/// `\xNN`, so that it can neither begin a line of its own nor control a terminal. O(n).
std::string printable(std::string_view text);

/// @brief The text as the value of a label in the text format of Prometheus, without its quotes.
/// O(n).
std::string metric_label(std::string_view text);

} // namespace snipeplank::core

#endif
