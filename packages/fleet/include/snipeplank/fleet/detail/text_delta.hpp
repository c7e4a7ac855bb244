/// @file
/// Deltas between two versions of a text, so that a small change transfers few bytes.

#ifndef SNIPEPLANK_FLEET_DETAIL_TEXT_DELTA_HPP
#define SNIPEPLANK_FLEET_DETAIL_TEXT_DELTA_HPP

#include <snipeplank/fleet/messages.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace snipeplank::fleet::detail
{

/// Values of the configuration service are at most 1 MB.
constexpr std::size_t max_text_bytes = 1'048'576;

/// @brief Steps that turn `base` into `target`.
///
/// Texts are compared in tokens that end with a line end or a closing brace, which suits YAML and
/// compact JSON. O(base + target).
std::vector<delta_step> make_delta(const std::string& base, const std::string& target);

/// @brief Applies the steps; returns nothing if a step exceeds `base` or the result exceeds
/// `max_text_bytes`.
std::optional<std::string> apply_delta(const std::string& base,
                                       const std::vector<delta_step>& steps);

} // namespace snipeplank::fleet::detail

#endif
