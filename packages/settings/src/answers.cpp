#include <snipeplank/settings/address.hpp>
#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/read_file.hpp>
#include <snipeplank/settings/detail/sections.hpp>

#include <algorithm>

namespace snipeplank::settings
{

namespace
{

using core::error_code;
using detail::yaml_field;

constexpr std::size_t max_upstream_groups = 1'000;
constexpr std::size_t max_upstreams_in_zone = 10'000;
constexpr std::size_t max_links = 10'000;

link_answer read_link_values(const yaml_field& group)
{
    return {detail::read_link_delay(group["delay_ms"]),
            detail::read_megabits(group["megabits_per_second"])};
}

void read_links(const yaml_field& group, answers& given)
{
    group.expect_keys({"every_pair"}, {"exceptions"});
    const yaml_field every = group["every_pair"];
    every.expect_keys({"delay_ms", "megabits_per_second"});
    given.every_link = read_link_values(every);
    const yaml_field exceptions = group["exceptions"];
    if (!exceptions.is_present())
    {
        return;
    }
    for (const yaml_field& item : exceptions.items(0, max_links))
    {
        item.expect_keys({"between", "delay_ms", "megabits_per_second"});
        const region_pair ends = detail::read_link_ends(item["between"], given.regions);
        const region_pair key = std::minmax(ends.first, ends.second);
        if (!given.link_exceptions.emplace(key, read_link_values(item)).second)
        {
            item.add_error(error_code::config_invalid,
                           "a link between these regions is listed twice",
                           "keep one entry for each pair");
        }
    }
}

core::zone_id read_known_zone(const yaml_field& field, const answers& given)
{
    core::zone_id zone{field.name()};
    if (region_of(given, zone).get().empty())
    {
        field.add_error(error_code::config_invalid,
                        "availability zone \"" + zone.get() + "\" is not listed",
                        "name one of the availability zones listed under `regions`");
    }
    return zone;
}

void read_entry_hosts(const yaml_field& group, answers& given)
{
    for (const auto& [name, host] : group.members())
    {
        host.expect_keys({"zone", "ip"});
        given.entry_hosts[name] = {read_known_zone(host["zone"], given),
                                   detail::read_ip(host["ip"])};
    }
}

void read_ports(const yaml_field& group, port_answers& ports)
{
    group.expect_keys({"caller", "peer", "admin"});
    ports.caller = detail::read_port(group["caller"]);
    ports.peer = detail::read_port(group["peer"]);
    ports.admin = detail::read_port(group["admin"]);
}

upstream_answer read_upstreams(const yaml_field& item, const answers& given)
{
    item.expect_keys({"zone", "count", "addresses"});
    upstream_answer upstreams;
    upstreams.zone = read_known_zone(item["zone"], given);
    upstreams.count =
        static_cast<unsigned>(item["count"].whole(1, max_upstreams_in_zone, "upstreams"));
    for (const yaml_field& address : item["addresses"].items(1, max_upstreams_in_zone))
    {
        upstreams.addresses.push_back(address.address());
    }
    return upstreams;
}

service_answer read_service_answer(const std::string& name, const yaml_field& group,
                                   const answers& given)
{
    service_answer service;
    service.config =
        detail::read_service(name, group,
                             {"residency", "deadline_ms", "calls_per_upstream", "homes",
                              "peak_calls_per_second", "kilobytes_per_call", "upstreams"});
    service.homes = detail::read_homes(group["homes"], given.regions);
    service.peak_calls_per_second = detail::read_peak(group["peak_calls_per_second"]);
    service.kilobytes_per_call = detail::read_kilobytes(group["kilobytes_per_call"]);
    for (const yaml_field& item : group["upstreams"].items(1, max_upstream_groups))
    {
        service.upstreams.push_back(read_upstreams(item, given));
    }
    return service;
}

void read_accounts(const yaml_field& group, answers& given)
{
    given.lists_accounts = true;
    for (const auto& [name, account] : group.members())
    {
        account.expect_keys({"key_sha256", "home", "calls_per_second"}, {"burst"});
        account_config config = detail::read_account_values(account, given.regions);
        config.id = core::account_id{name};
        if (!account["burst"].is_present())
        {
            config.burst = detail::default_burst(config.calls_per_second);
        }
        given.accounts[config.id] = config;
    }
}

void read_tolerance(const yaml_field& group, tolerance_answers& tolerance)
{
    group.expect_keys({"delay", "cost", "other_region", "expected_spill"});
    tolerance.delay = detail::read_level(group["delay"]);
    tolerance.cost = detail::read_level(group["cost"]);
    tolerance.other_region = detail::read_level(group["other_region"]);
    tolerance.expected_spill = group["expected_spill"].decimal(0, 1, "parts of a region's peak");
}

void read_delays(const yaml_field& group, answers& given)
{
    group.expect_keys({"between_zones_ms", "to_clients_ms"});
    given.between_zones_ms = detail::read_delay_ms(group["between_zones_ms"]);
    given.to_clients_ms = detail::read_delay_ms(group["to_clients_ms"]);
}

void read_network(const yaml_field& root, answers& given)
{
    given.regions = detail::read_regions(root["regions"]);
    read_delays(root["delays"], given);
    if (const yaml_field links = root["links"]; links.is_present())
    {
        read_links(links, given);
    }
    const yaml_field store = root["weight_store"];
    store.expect_keys({"region", "megabits_per_second"});
    given.weight_store_region = detail::read_known_region(store["region"], given.regions);
    given.weight_store_megabits = detail::read_megabits(store["megabits_per_second"]);
}

void read_hosts(const yaml_field& root, answers& given)
{
    const yaml_field platform = root["platform"];
    platform.expect_keys({"config_service", "host_list"});
    given.config_service = detail::read_config_service(platform["config_service"]);
    given.host_list = platform["host_list"].address();
    read_entry_hosts(root["entry_hosts"], given);
    read_ports(root["ports"], given.ports);
    given.fleet_keys = detail::read_fleet_keys(root["fleet_keys"]);
}

void read_optional(const yaml_field& root, answers& given)
{
    if (const yaml_field accounts = root["accounts"]; accounts.is_present())
    {
        read_accounts(accounts, given);
    }
    if (const yaml_field body = root["max_body_bytes"]; body.is_present())
    {
        given.max_body = detail::read_max_body(body);
    }
    if (const yaml_field format = root["log_format"]; format.is_present())
    {
        given.format = detail::read_log_format(format);
    }
}

} // namespace

namespace detail
{

std::vector<core::region_id> read_homes(const yaml_field& list, const region_map& regions)
{
    constexpr std::size_t max_homes = 1'000;
    std::vector<core::region_id> homes;
    for (const yaml_field& item : list.items(1, max_homes))
    {
        const core::region_id home = read_known_region(item, regions);
        if (std::find(homes.begin(), homes.end(), home) != homes.end())
        {
            item.add_error(error_code::config_invalid, "the region is listed twice",
                           "remove one of the two");
        }
        homes.push_back(home);
    }
    return homes;
}

} // namespace detail

core::result<answers> parse_answers(const std::string& text, const std::string& file)
{
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file);
    if (!document)
    {
        return document.as_failure();
    }
    detail::yaml_report report(file);
    const yaml_field root = yaml_field::root(report, document.value());
    root.expect_keys({"version", "regions", "delays", "weight_store", "platform", "entry_hosts",
                      "ports", "fleet_keys", "services", "tolerance"},
                     {"links", "accounts", "max_body_bytes", "log_format"});
    answers given;
    if (report.is_clean())
    {
        given.version = detail::read_version(root["version"]);
        read_network(root, given);
        read_hosts(root, given);
        for (const auto& [name, group] : root["services"].members())
        {
            given.services[core::service_id{name}] = read_service_answer(name, group, given);
        }
        read_tolerance(root["tolerance"], given.tolerance);
        read_optional(root, given);
    }
    if (!report.is_clean())
    {
        const core::error& cause = report.first();
        return core::fail(cause.code, cause.message, cause.remedy);
    }
    return given;
}

core::result<answers> load_answers(const std::string& path)
{
    core::result<std::string> text = detail::read_file(path);
    if (!text)
    {
        return text.as_failure();
    }
    return parse_answers(text.value(), path);
}

} // namespace snipeplank::settings
