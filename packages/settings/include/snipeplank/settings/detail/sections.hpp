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

/// @brief Account section `name`, one of `accounts-000` to `accounts-127`.
std::vector<account_entry> read_accounts_section(const yaml_field& root, const std::string& name,
                                                 const region_map& regions);

// Answers files contain some of the same groups, so the readers below are shared with them.

/// @brief Refuses a region that is not in `regions`.
core::region_id read_known_region(const yaml_field& field, const region_map& regions);

/// @brief Regions with their availability zones.
region_map read_regions(const yaml_field& group);

/// @brief The two different regions that a link connects.
std::pair<core::region_id, core::region_id> read_link_ends(const yaml_field& between,
                                                           const region_map& regions);

/// @brief One-way delay of a link.
core::milliseconds read_link_delay(const yaml_field& field);

/// @brief Rate of a link or of the weight store, in megabits per second.
double read_megabits(const yaml_field& field);

/// @brief Refuses a name that is the first segment of one of the node's own paths.
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

/// @brief Sustained rate of an account, in calls per second.
double read_account_rate(const yaml_field& field);

/// @brief One service. The group must also have `extra_required_keys`, which the caller reads.
service_config read_service(const std::string& name, const yaml_field& group,
                            const std::vector<const char*>& extra_required_keys = {});

/// @brief Bearer key hash, home and rates of an account. Neither reads the id nor checks which keys
/// the group has.
account_config read_account_values(const yaml_field& group, const region_map& regions);

} // namespace snipeplank::settings::detail

#endif
