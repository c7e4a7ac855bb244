/// @file
/// The questionnaire as an interactive session on a terminal.

#ifndef SNIPEPLANK_SETTINGS_QUESTIONNAIRE_HPP
#define SNIPEPLANK_SETTINGS_QUESTIONNAIRE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/answers.hpp>

#include <functional>
#include <iosfwd>
#include <string>

namespace snipeplank::settings
{

/// Generates a new secret of 64 hexadecimal characters.
using secret_generator = std::function<std::string()>;

/// @brief Asks every question with its default and an example, and repeats it after an
/// invalid answer.
/// @param generate_secret called for the fleet key and for the bearer keys of accounts
/// @return the answers, or an error when the input ends before the last question
core::result<answers> ask_answers(std::istream& in, std::ostream& out,
                                  const secret_generator& generate_secret);

/// @brief A secret from the operating system's random number generator.
std::string generate_random_secret();

} // namespace snipeplank::settings

#endif
