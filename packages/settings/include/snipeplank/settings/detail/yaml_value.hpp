/// @file
/// A YAML document as a plain tree with line numbers. It confines yaml-cpp to one source file.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_YAML_VALUE_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_YAML_VALUE_HPP

#include <snipeplank/core/error.hpp>

#include <string>
#include <vector>

namespace snipeplank::settings::detail
{

enum class yaml_kind
{
    null,
    scalar,
    list,
    map,
};

struct yaml_entry;

/// @brief One value of a document.
struct yaml_value
{
    yaml_kind kind = yaml_kind::null;
    int line = 1;
    std::string text;                ///< of a scalar
    bool is_quoted = false;          ///< of a scalar
    std::vector<yaml_value> items;   ///< of a list
    std::vector<yaml_entry> entries; ///< of a map, in the order of the document
};

/// @brief One key of a map and its value.
struct yaml_entry
{
    std::string key;
    int line = 1;
    yaml_value value;
};

/// @brief Parses a text that holds exactly one document.
///
/// Duplicate keys are refused at any depth. Anchors, aliases and tags are refused too: an alias can
/// expand a short text into an unbounded tree. O(n), except for the check for duplicates, which is
/// O(n log n).
core::result<yaml_value> parse_yaml(const std::string& text, const std::string& file);

} // namespace snipeplank::settings::detail

#endif
