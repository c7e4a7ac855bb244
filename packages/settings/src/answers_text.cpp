#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/service_text.hpp>
#include <snipeplank/settings/detail/yaml_writer.hpp>

namespace snipeplank::settings
{

namespace
{

using detail::yaml_list_of;
using detail::yaml_number;
using detail::yaml_word;
using detail::yaml_writer;

void write_link_values(yaml_writer& yaml, const link_answer& link)
{
    yaml.value("delay_ms", std::to_string(link.delay.count()));
    yaml.value("megabits_per_second", yaml_number(link.megabits_per_second));
}

void write_links(yaml_writer& yaml, const answers& given)
{
    if (!given.every_link)
    {
        return;
    }
    yaml.open("links");
    yaml.open("every_pair");
    write_link_values(yaml, *given.every_link);
    yaml.close();
    if (!given.link_exceptions.empty())
    {
        yaml.open("exceptions");
        for (const auto& [ends, link] : given.link_exceptions)
        {
            yaml.open_item("between", yaml_list_of(std::vector{ends.first, ends.second}));
            write_link_values(yaml, link);
            yaml.close();
        }
        yaml.close();
    }
    yaml.close();
}

void write_network(yaml_writer& yaml, const answers& given)
{
    yaml.open("regions");
    for (const auto& [region, zones] : given.regions)
    {
        yaml.value(yaml_word(region.get()), yaml_list_of(zones));
    }
    yaml.close();
    yaml.open("delays");
    yaml.value("between_zones_ms", yaml_number(given.between_zones_ms));
    yaml.value("to_clients_ms", yaml_number(given.to_clients_ms));
    yaml.close();
    write_links(yaml, given);
    yaml.open("weight_store");
    yaml.value("region", yaml_word(given.weight_store_region.get()));
    yaml.value("megabits_per_second", yaml_number(given.weight_store_megabits));
    yaml.close();
}

void write_hosts(yaml_writer& yaml, const answers& given)
{
    yaml.open("platform");
    yaml.value("config_service", detail::yaml_addresses(given.config_service));
    yaml.value("host_list", detail::yaml_address(given.host_list));
    yaml.close();
    yaml.open("entry_hosts");
    for (const auto& [name, host] : given.entry_hosts)
    {
        yaml.open(yaml_word(name));
        yaml.value("zone", yaml_word(host.zone.get()));
        yaml.value("ip", detail::yaml_address(core::address{host.ip}));
        yaml.close();
    }
    yaml.close();
    yaml.open("ports");
    yaml.value("caller", std::to_string(given.ports.caller));
    yaml.value("peer", std::to_string(given.ports.peer));
    yaml.value("admin", std::to_string(given.ports.admin));
    yaml.close();
    yaml.value("fleet_keys", detail::yaml_keys(given.fleet_keys));
}

void write_service_answer(yaml_writer& yaml, const service_answer& service)
{
    yaml.open(yaml_word(service.config.name.get()));
    detail::write_service(yaml, service.config, "");
    yaml.value("homes", yaml_list_of(service.homes));
    yaml.value("peak_calls_per_second", yaml_number(service.peak_calls_per_second));
    yaml.value("kilobytes_per_call", yaml_number(service.kilobytes_per_call));
    yaml.open("upstreams");
    for (const upstream_answer& group : service.upstreams)
    {
        yaml.open_item("zone", yaml_word(group.zone.get()));
        yaml.value("count", std::to_string(group.count));
        yaml.value("addresses", detail::yaml_addresses(group.addresses));
        yaml.close();
    }
    yaml.close();
    yaml.close();
}

void write_tolerance(yaml_writer& yaml, const tolerance_answers& tolerance)
{
    yaml.open("tolerance");
    yaml.value("delay", detail::to_word(tolerance.delay));
    yaml.value("cost", detail::to_word(tolerance.cost));
    yaml.value("other_region", detail::to_word(tolerance.other_region));
    yaml.value("expected_spill", yaml_number(tolerance.expected_spill));
    yaml.close();
}

void write_accounts(yaml_writer& yaml, const answers& given)
{
    if (!given.asks_for_keys())
    {
        return;
    }
    if (given.accounts.empty())
    {
        yaml.value("accounts", "{}");
        return;
    }
    yaml.open("accounts");
    for (const auto& [id, account] : given.accounts)
    {
        yaml.open(yaml_word(id.get()));
        yaml.value("key_sha256", account.key_sha256);
        yaml.value("home", yaml_word(account.home.get()));
        yaml.value("calls_per_second", yaml_number(account.calls_per_second));
        yaml.value("burst", yaml_number(account.burst));
        yaml.close();
    }
    yaml.close();
}

} // namespace

std::string render_answers(const answers& given)
{
    yaml_writer yaml;
    yaml.comment("Answers for `snipeplankctl questionnaire --answers FILE --out DIR`.");
    yaml.comment("The file holds the fleet key: keep it as you keep passwords.");
    yaml.value("version", std::to_string(given.version.get()));
    write_network(yaml, given);
    write_hosts(yaml, given);
    yaml.open("services");
    for (const auto& [name, service] : given.services)
    {
        write_service_answer(yaml, service);
    }
    yaml.close();
    write_tolerance(yaml, given.tolerance);
    write_accounts(yaml, given);
    if (given.max_body)
    {
        yaml.value("max_body_bytes", std::to_string(given.max_body->count));
    }
    if (given.format)
    {
        yaml.value("log_format", *given.format == log_format::json ? "json" : "text");
    }
    return yaml.text();
}

} // namespace snipeplank::settings
