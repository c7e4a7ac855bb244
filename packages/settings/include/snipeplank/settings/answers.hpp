/// @file
/// Answers of the questionnaire that a new team fills in instead of writing configuration.

#ifndef SNIPEPLANK_SETTINGS_ANSWERS_HPP
#define SNIPEPLANK_SETTINGS_ANSWERS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/settings/node_settings.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::settings
{

/// @brief How much of a drawback, such as delay or cost, the team accepts.
enum class tolerance_level
{
    low,
    medium,
    high,
};

/// @brief The team's priorities in routing, from which the routing weights are derived.
struct tolerance_answers
{
    tolerance_level delay = tolerance_level::medium;
    tolerance_level cost = tolerance_level::medium;
    tolerance_level other_region = tolerance_level::medium; ///< requests sent to another region
    double expected_spill = 0; ///< fraction of a region's peak that another region takes over
};

/// @brief A link between two regions, the same in both directions.
struct link_answer
{
    core::milliseconds delay{80};
    double megabits_per_second = 0;
};

/// @brief An entry host.
struct entry_host_answer
{
    core::zone_id zone;
    std::string ip; ///< without a port; an IPv6 address is written in brackets
};

/// @brief Ports of a node, the same on each entry host.
struct port_answers
{
    unsigned caller = 8080;
    unsigned peer = 8081;
    unsigned admin = 8082;
};

/// @brief Upstreams of one service in one availability zone.
struct upstream_answer
{
    core::zone_id zone;
    unsigned count = 0; ///< must equal the number of addresses
    std::vector<core::address> addresses;
};

/// @brief One service and where it runs.
struct service_answer
{
    service_config config;
    std::vector<core::region_id> homes; ///< regions whose customers use the service
    double peak_calls_per_second = 0;   ///< of the busiest home region
    double kilobytes_per_call = 0;      ///< request or answer, whichever is larger
    std::vector<upstream_answer> upstreams;
};

/// A pair of regions in alphabetical order.
using region_pair = std::pair<core::region_id, core::region_id>;

/// @brief All answers. Maps are ordered by name, so the order in the file does not matter.
struct answers
{
    core::config_version version{1};
    region_map regions;
    double between_zones_ms = 0;           ///< one-way delay
    double to_clients_ms = 0;              ///< one-way delay
    std::optional<link_answer> every_link; ///< unless `link_exceptions` lists the pair
    std::map<region_pair, link_answer> link_exceptions;
    core::region_id weight_store_region;
    double weight_store_megabits = 0; ///< per second
    std::vector<core::address> config_service;
    core::address host_list;
    std::map<std::string, entry_host_answer> entry_hosts;
    port_answers ports;
    std::vector<std::string> fleet_keys;
    std::map<core::service_id, service_answer> services;
    tolerance_answers tolerance;
    bool lists_accounts = false; ///< the answers have the group, perhaps without any account left
    std::map<core::account_id, account_config> accounts;
    std::optional<core::bytes> max_body;
    std::optional<log_format> format;

    /// @brief Whether callers need the key of an account.
    bool asks_for_keys() const { return lists_accounts || !accounts.empty(); }
};

/// @brief Parses an answers file and refuses invalid values. Contradictions between answers are
/// left to `find_contradiction`.
/// @return the answers, or an error naming file, line, question and remedy. O(n log n).
core::result<answers> parse_answers(const std::string& text, const std::string& file);

/// @brief Reads `path` and parses it.
core::result<answers> load_answers(const std::string& path);

/// @brief Text of an answers file from which `parse_answers` reads the same answers.
std::string render_answers(const answers& given);

/// @brief The first contradiction between answers, naming the question to change; or nothing.
std::optional<core::error> find_contradiction(const answers& given);

/// @brief The link between two regions, an exception before `every_link`; nothing when there is
/// none.
std::optional<link_answer> link_between(const answers& given, const core::region_id& a,
                                        const core::region_id& b);

/// @brief The region of an availability zone; empty when no region lists it.
core::region_id region_of(const answers& given, const core::zone_id& zone);

/// @brief Fraction of a link's rate that forwarded calls may use, from the tolerance for requests
/// sent to another region.
double spill_share_of(tolerance_level other_region);

} // namespace snipeplank::settings

#endif
