/// @file
/// Readers of the sections of the published configuration.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_SECTIONS_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_SECTIONS_HPP

#include <snipeplank/settings/detail/yaml_reader.hpp>
#include <snipeplank/settings/published_config.hpp>

namespace snipeplank::settings::detail
{

/// @brief Section `fleet`: regions, links, weight store, routing.
void read_fleet_section(const yaml_field& root, published_config& config);

/// @brief Section `services`.
void read_services_section(const yaml_field& root, published_config& config);

/// @brief Section `accounts-NNN`, called `name`. The regions must have been read before.
void read_accounts_section(const yaml_field& root, const std::string& name,
                           published_config& config);

/// @brief Refuses a region that the fleet section does not list.
core::region_id read_known_region(const yaml_field& field, const published_config& config);

} // namespace snipeplank::settings::detail

#endif
