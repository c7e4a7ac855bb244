/// @file
/// Questions about services, and helpers that other questions use too.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_SERVICE_QUESTIONS_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_SERVICE_QUESTIONS_HPP

#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/detail/prompter.hpp>

#include <string>
#include <vector>

namespace snipeplank::settings::detail
{

/// @brief Asks for all services and their upstreams.
void ask_services(prompter& ask, answers& given);

/// @brief Asks for one of the regions; the first is the default.
core::region_id ask_known_region(prompter& ask, const std::string& key, const std::string& text,
                                 const answers& given);

/// @brief Reads `minimum` to `maximum` names, all different.
std::vector<std::string> read_names(const yaml_field& list, std::size_t minimum,
                                    std::size_t maximum);

} // namespace snipeplank::settings::detail

#endif
