/// @file
/// Checks of single answers, shared by the answers file and the interactive questionnaire.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_ANSWER_FIELDS_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_ANSWER_FIELDS_HPP

#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/detail/yaml_reader.hpp>

#include <string>
#include <vector>

namespace snipeplank::settings::detail
{

core::config_version read_version(const yaml_field& field);
double read_delay_ms(const yaml_field& field);
double read_peak(const yaml_field& field);
double read_kilobytes(const yaml_field& field);
unsigned read_port(const yaml_field& field);
tolerance_level read_level(const yaml_field& field);
core::bytes read_max_body(const yaml_field& field);
log_format read_log_format(const yaml_field& field);

/// @brief An IP address without a port; an IPv6 address is written in brackets.
std::string read_ip(const yaml_field& field);

/// @brief Addresses of the configuration service's replicas, all different.
std::vector<core::address> read_config_service(const yaml_field& list);

/// @brief One or two fleet keys, different from each other.
std::vector<std::string> read_fleet_keys(const yaml_field& list);

/// @brief Burst of an account that specifies none: the calls of two seconds, at least one.
double default_burst(double calls_per_second);

/// @brief `low`, `medium` or `high`.
const char* to_word(tolerance_level level);

} // namespace snipeplank::settings::detail

#endif
