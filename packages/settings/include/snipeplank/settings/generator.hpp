/// @file
/// Generation of the configuration from the questionnaire's answers.

#ifndef SNIPEPLANK_SETTINGS_GENERATOR_HPP
#define SNIPEPLANK_SETTINGS_GENERATOR_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/answers.hpp>

#include <map>
#include <string>

namespace snipeplank::settings
{

/// Text of each file, by its path relative to the output directory.
using generated_files = std::map<std::string, std::string>;

/// @brief Generates `publish/manifest.yaml`, `publish/sections/<sha256>.yaml` and
/// `nodes/<host>.yaml`.
///
/// The output depends on the answers alone: the same answers give the same bytes. Each derived
/// value has a comment with the answer it is derived from. Contradictory answers are refused with
/// `answers_contradict`. O(n log n) in the number of answers and quadratic in the number of
/// regions.
/// @code
/// auto files = generate_files(load_answers("hallstein.answers.yaml").value());
/// @endcode
core::result<generated_files> generate_files(const answers& given);

} // namespace snipeplank::settings

#endif
