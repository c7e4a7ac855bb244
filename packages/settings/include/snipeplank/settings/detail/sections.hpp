/// @file
/// Readers of the sections of the published configuration.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_SECTIONS_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_SECTIONS_HPP

#include <snipeplank/settings/detail/yaml_reader.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::settings::detail
{

/// @brief Whether the name is `accounts-000` to `accounts-127`.
bool is_account_section(const std::string& name);

/// @brief The section of that name in the manifest, or nothing.
const section_ref* find_section(const manifest& index, const std::string& name);

/// @brief Section `fleet`: regions, links, weight store, routing.
void read_fleet_section(const yaml_field& root, published_config& config);

/// @brief Section `services`.
void read_services_section(const yaml_field& root, published_config& config);

/// @brief An account and the line of its key, for errors found after the section was read.
struct account_entry
{
    account_config account;
    int line = 1;
};

/// @brief Section `accounts-NNN`, called `name`.
std::vector<account_entry> read_accounts_section(const yaml_field& root, const std::string& name,
                                                 const region_map& regions);

// The questionnaire's answers hold some of the same groups, so their readers are shared.

/// @brief Refuses a region that is not in `regions`.
core::region_id read_known_region(const yaml_field& field, const region_map& regions);

/// @brief Regions with their availability zones.
region_map read_regions(const yaml_field& group);

/// @brief The two regions of a link and nothing else of it.
std::pair<core::region_id, core::region_id> read_link_ends(const yaml_field& between,
                                                           const region_map& regions);

/// @brief One-way delay of a link.
core::milliseconds read_link_delay(const yaml_field& field);

/// @brief Rate of a link or of the weight store, in megabits per second.
double read_megabits(const yaml_field& field);

/// @brief Refuses the first segments of the node's own paths.
void check_service_name(const std::string& name, const yaml_field& field);

service_kind read_kind(const yaml_field& field);
residency read_residency(const yaml_field& field);
ticket_rule read_ticket_rule(const yaml_field& field);
core::milliseconds read_deadline(const yaml_field& field);
unsigned read_calls_per_upstream(const yaml_field& field);

/// @brief HTTP methods, all different.
std::set<std::string> read_method_set(const yaml_field& list);

/// @brief Home regions of a service, all different.
std::vector<core::region_id> read_homes(const yaml_field& list, const region_map& regions);

/// @brief Sustained rate of an account.
double read_account_rate(const yaml_field& field);

/// @brief One service. `more_keys` are required in its group and left to the caller.
service_config read_service(const std::string& name, const yaml_field& group,
                            const std::vector<const char*>& more_keys = {});

/// @brief Key, home and rates of an account, without its id and without a check of the keys.
account_config read_account_values(const yaml_field& group, const region_map& regions);

} // namespace snipeplank::settings::detail

#endif
