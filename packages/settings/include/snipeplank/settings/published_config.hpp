/// @file
/// The published configuration of the whole fleet.

#ifndef SNIPEPLANK_SETTINGS_PUBLISHED_CONFIG_HPP
#define SNIPEPLANK_SETTINGS_PUBLISHED_CONFIG_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeplank::settings
{

enum class service_kind
{
    model,
    plain,
};

enum class residency
{
    bound, ///< requests never leave their home region; also assumed for an unknown value
    free,  ///< requests may be sent to another region
};

enum class ticket_rule
{
    required,
    optional,
};

/// @brief One service: a model or a plain service.
struct service_config
{
    core::service_id name;
    service_kind kind = service_kind::plain;
    settings::residency residency = residency::bound;
    std::set<std::string> non_idempotent_methods; ///< methods whose calls must not run twice
    ticket_rule ticket = ticket_rule::required;   ///< for non-idempotent calls
    core::milliseconds deadline{10'000};          ///< when the caller sends none
    std::set<int> not_run_statuses;      ///< statuses that the upstream sends only before execution
    unsigned calls_per_upstream = 8;     ///< initial concurrency limit
    bool engine_checks_fencing = false;  ///< engines refuse an old fencing number
    bool engine_resumes_streams = false; ///< engines honour Last-Event-ID
};

/// @brief A link between two regions, the same in both directions.
struct link_config
{
    core::region_id a;
    core::region_id b;
    core::milliseconds one_way_delay{80};
    core::bytes_per_second rate{};
    double spill_share = 0.25; ///< fraction of the rate that forwarded calls may use
};

/// @brief How strongly routing avoids latency, cost and other regions; larger avoids more.
struct routing_weights
{
    double latency = 1.0;
    double cost = 0.2;
    double away = 0.5; ///< requests sent to another region
};

/// @brief One client account.
struct account_config
{
    core::account_id id;
    std::string key_sha256; ///< hexadecimal SHA-256 of the bearer key
    core::region_id home;
    double calls_per_second = 50;
    double burst = 100;
};

/// @brief The routing policy in force. All but `adaptive` are baselines for comparison.
enum class routing_kind
{
    adaptive,
    round_robin,
    least_outstanding,
    random_of_two,
};

/// Availability zones of each region.
using region_map = std::map<core::region_id, std::vector<core::zone_id>>;

/// @brief The whole configuration of one version.
struct published_config
{
    core::config_version version;
    region_map regions;
    std::vector<link_config> links;
    std::map<core::service_id, service_config> services;
    routing_weights weights;
    routing_kind routing = routing_kind::adaptive;
    core::bytes_per_second weight_store_rate{};
    core::region_id weight_store_region;
    /// Whether callers need the key of an account: a section of accounts is listed, perhaps without
    /// any account left in it.
    bool asks_for_keys = false;
    std::unordered_map<std::string, account_config> accounts;       ///< by key_sha256
    std::unordered_map<core::account_id, std::string> account_keys; ///< key_sha256 by account

    /// @brief Adds an account. Returns false when another one has its key.
    bool add_account(const account_config& added)
    {
        if (!accounts.emplace(added.key_sha256, added).second)
            return false;
        account_keys[added.id] = added.key_sha256;
        return true;
    }

    /// @brief The account of that id, or nothing.
    const account_config* find_account(const core::account_id& id) const
    {
        const auto key = account_keys.find(id);
        return key == account_keys.end() ? nullptr : &accounts.at(key->second);
    }

    /// @brief The service of that name, or nothing.
    const service_config* find_service(const core::service_id& name) const
    {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    }
};

/// @brief Name and content hash of one section of the configuration.
struct section_ref
{
    std::string name;
    std::string sha256;

    friend bool operator==(const section_ref&, const section_ref&) = default;
};

/// @brief Version and list of sections of a configuration. Sections are stored under their hash and
/// never change; the manifest is the only value that is overwritten.
struct manifest
{
    core::config_version version;
    std::vector<section_ref> sections;
};

/// Number of sections over which accounts are distributed, so that a change of one account
/// republishes a small part of them.
constexpr unsigned account_section_count = 128;

/// @brief Name of the section that holds an account, `accounts-000` to `accounts-127`.
std::string account_section_name(const core::account_id& id);

/// @brief Parses and checks a manifest.
core::result<manifest> parse_manifest(const std::string& text, const std::string& file);

/// @brief Builds the configuration from a manifest and the texts of its sections.
/// @param sections text of each section, by hash
/// @return the configuration, or the first error; depends on the documents alone
core::result<published_config> build_config(const manifest& index,
                                            const std::map<std::string, std::string>& sections);

} // namespace snipeplank::settings

#endif
