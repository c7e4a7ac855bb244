/// @file
/// The questionnaire as a conversation on a terminal.

#ifndef SNIPEPLANK_SETTINGS_QUESTIONNAIRE_HPP
#define SNIPEPLANK_SETTINGS_QUESTIONNAIRE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/answers.hpp>

#include <functional>
#include <iosfwd>
#include <string>

namespace snipeplank::settings
{

/// Draws a new secret as 64 hexadecimal characters.
using secret_source = std::function<std::string()>;

/// @brief Asks every question with its default and an example, and asks again after a wrong answer.
/// @param draw_secret called for the fleet key and for the bearer keys of accounts
/// @return the answers, or an error when the input ends before the last question
core::result<answers> ask_answers(std::istream& in, std::ostream& out,
                                  const secret_source& draw_secret);

/// @brief A secret from the operating system's generator.
std::string draw_random_secret();

} // namespace snipeplank::settings

#endif
