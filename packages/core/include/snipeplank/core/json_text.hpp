/// @file
/// Text of JSON documents.

#ifndef SNIPEPLANK_CORE_JSON_TEXT_HPP
#define SNIPEPLANK_CORE_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace snipeplank::core
{

/// @brief Text of a document whose strings may hold bytes of other programs: bytes that are not
/// UTF-8 are replaced by U+FFFD. Used in place of `dump`, which throws on them.
/// @param indent spaces a level; -1 for one line
template <typename Document>
std::string json_text(const Document& document, int indent = -1)
{
    return document.dump(indent, ' ', false, Document::error_handler_t::replace);
}

} // namespace snipeplank::core

#endif
