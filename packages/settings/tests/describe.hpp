/// @file
/// Text descriptions of parsed documents, by which tests compare them.

#ifndef SNIPEPLANK_SETTINGS_TESTS_DESCRIBE_HPP
#define SNIPEPLANK_SETTINGS_TESTS_DESCRIBE_HPP

#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/node_settings.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <map>
#include <sstream>
#include <string>

namespace snipeplank::settings::tests
{

inline void describe(std::ostream& out, const service_config& service)
{
    out << service.name.get() << ' ' << static_cast<int>(service.kind) << ' '
        << static_cast<int>(service.residency) << ' ' << static_cast<int>(service.ticket) << ' '
        << service.deadline.count() << ' ' << service.calls_per_upstream << ' '
        << service.engine_checks_fencing << service.engine_resumes_streams;
    for (const std::string& method : service.non_idempotent_methods)
    {
        out << ' ' << method;
    }
    for (const int status : service.not_run_statuses)
    {
        out << ' ' << status;
    }
    out << '\n';
}

inline void describe(std::ostream& out, const account_config& account)
{
    out << account.id.get() << ' ' << account.key_sha256 << ' ' << account.home.get() << ' '
        << account.calls_per_second << ' ' << account.burst << '\n';
}

inline void describe(std::ostream& out, const region_map& regions)
{
    for (const auto& [region, zones] : regions)
    {
        out << region.get() << ':';
        for (const core::zone_id& zone : zones)
        {
            out << ' ' << zone.get();
        }
        out << '\n';
    }
}

/// @brief Every value of a configuration.
inline std::string describe(const published_config& config)
{
    std::ostringstream out;
    out.precision(17);
    out << config.version.get() << '\n';
    describe(out, config.regions);
    for (const link_config& link : config.links)
    {
        out << link.a.get() << ' ' << link.b.get() << ' ' << link.one_way_delay.count() << ' '
            << link.rate.rate << ' ' << link.spill_share << '\n';
    }
    for (const auto& [name, service] : config.services)
    {
        describe(out, service);
    }
    out << config.weights.latency << ' ' << config.weights.cost << ' ' << config.weights.away << ' '
        << static_cast<int>(config.routing) << ' ' << config.weight_store_rate.rate << ' '
        << config.weight_store_region.get() << ' ' << config.asks_for_keys << '\n';
    const std::map<std::string, account_config> ordered(config.accounts.begin(),
                                                        config.accounts.end());
    for (const auto& [key, account] : ordered)
    {
        describe(out, account);
    }
    return out.str();
}

/// @brief Every value of node settings.
inline std::string describe(const node_settings& settings)
{
    std::ostringstream out;
    out << settings.caller_address.get() << ' ' << settings.peer_address.get() << ' '
        << settings.admin_address.get() << ' ' << settings.region.get() << ' '
        << settings.zone.get() << ' ' << settings.host_list.get() << ' ' << settings.max_connections
        << ' ' << settings.max_body.count << ' ' << static_cast<int>(settings.format) << ' '
        << settings.log_level;
    for (const core::address& replica : settings.config_service)
    {
        out << ' ' << replica.get();
    }
    for (const std::string& key : settings.fleet_keys)
    {
        out << ' ' << key;
    }
    return out.str();
}

} // namespace snipeplank::settings::tests

#endif
