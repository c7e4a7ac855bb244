#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/prompter.hpp>
#include <snipeplank/settings/detail/sections.hpp>
#include <snipeplank/settings/detail/service_questions.hpp>
#include <snipeplank/settings/detail/yaml_writer.hpp>
#include <snipeplank/settings/questionnaire.hpp>

#include <algorithm>
#include <array>

namespace snipeplank::settings
{

namespace
{

using detail::ask_known_region;
using detail::prompter;
using detail::read_names;
using detail::yaml_field;

constexpr std::size_t max_regions = 1'000;
constexpr std::size_t max_zones = 64;
constexpr std::size_t max_hosts_in_zone = 1'000;

/// Asks for the availability zones of one region and refuses those of another region.
std::vector<core::zone_id> ask_zones(prompter& ask, const core::region_id& region,
                                     const answers& given)
{
    const std::string first = region.get() + "-a";
    const auto read = [&given](const yaml_field& list)
    {
        std::vector<core::zone_id> zones;
        for (const std::string& name : read_names(list, 1, max_zones))
        {
            if (!region_of(given, core::zone_id{name}).get().empty())
            {
                list.add_error(core::error_code::config_invalid, name + " is in another region",
                               "give every availability zone a name of its own");
            }
            zones.emplace_back(name);
        }
        return zones;
    };
    return ask.ask_list({"regions." + region.get(),
                         "Availability zones of region " + region.get() + "?", first, first},
                        read);
}

void ask_regions(prompter& ask, answers& given)
{
    const auto read = [](const yaml_field& list) { return read_names(list, 1, max_regions); };
    const std::vector<std::string> names = ask.ask_list(
        {"regions", "Names of your regions?", "salzkammer, ennstal, murtal", ""}, read);
    for (const std::string& name : names)
    {
        const core::region_id region{name};
        given.regions[region] = ask_zones(ask, region, given);
    }
}

void ask_delays(prompter& ask, answers& given)
{
    given.between_zones_ms = ask.ask(
        {"delays.between_zones_ms", "One-way delay between availability zones, in ms?", "3", "3"},
        detail::read_delay_ms);
    given.to_clients_ms =
        ask.ask({"delays.to_clients_ms", "One-way delay to your callers, in ms?", "3", "3"},
                detail::read_delay_ms);
    if (given.regions.size() < 2)
    {
        return;
    }
    link_answer link;
    link.delay = ask.ask({"links.every_pair.delay_ms",
                          "One-way delay between two regions, in whole ms? (exceptions go into "
                          "the answers file)",
                          "80", "80"},
                         detail::read_link_delay);
    link.megabits_per_second =
        ask.ask({"links.every_pair.megabits_per_second",
                 "Rate of the link between two regions, each way, in Mbit/s?", "2000", ""},
                detail::read_megabits);
    given.every_link = link;
}

void ask_platform(prompter& ask, answers& given)
{
    given.weight_store_region =
        ask_known_region(ask, "weight_store.region", "Region of the weight store?", given);
    given.weight_store_megabits =
        ask.ask({"weight_store.megabits_per_second", "Rate limit of the weight store, in Mbit/s?",
                 "400", "400"},
                detail::read_megabits);
    given.config_service =
        ask.ask_list({"platform.config_service", "Addresses of the configuration service?",
                      "127.0.0.1:8500", ""},
                     detail::read_config_service);
    given.host_list = ask.ask(
        {"platform.host_list", "Address of the platform's host list?", "127.0.0.1:8600", ""},
        [](const yaml_field& field) { return field.address(); });
}

void ask_zone_hosts(prompter& ask, const core::zone_id& zone, answers& given)
{
    const auto read = [&given](const yaml_field& list)
    {
        std::vector<std::string> ips;
        for (const yaml_field& item : list.items(0, max_hosts_in_zone))
        {
            const std::string ip = detail::read_ip(item);
            const auto has_same_ip = [&ip](const auto& host) { return host.second.ip == ip; };
            if (std::any_of(given.entry_hosts.begin(), given.entry_hosts.end(), has_same_ip) ||
                std::find(ips.begin(), ips.end(), ip) != ips.end())
            {
                item.add_error(core::error_code::answers_contradict, ip + " was given before",
                               "give each entry host its own IP number");
            }
            ips.push_back(ip);
        }
        return ips;
    };
    const std::vector<std::string> ips = ask.ask_list(
        {"entry_hosts", "IP numbers of the entry hosts in availability zone " + zone.get() + "?",
         "127.1.1.1, 127.1.1.2", "none"},
        read);
    for (std::size_t i = 0; i < ips.size(); ++i)
    {
        given.entry_hosts[zone.get() + "-" + std::to_string(i + 1)] = {zone, ips[i]};
    }
}

void ask_hosts(prompter& ask, answers& given)
{
    for (const auto& [region, zones] : given.regions)
    {
        for (const core::zone_id& zone : zones)
        {
            ask_zone_hosts(ask, zone, given);
        }
    }
    given.ports.caller =
        ask.ask({"ports.caller", "Port for callers?", "8080", "8080"}, detail::read_port);
    given.ports.peer =
        ask.ask({"ports.peer", "Port for other nodes?", "8081", "8081"}, detail::read_port);
    given.ports.admin =
        ask.ask({"ports.admin", "Port for operators?", "8082", "8082"}, detail::read_port);
}

void ask_tolerance(prompter& ask, tolerance_answers& tolerance)
{
    const auto level = [&ask](const std::string& key, const std::string& what)
    {
        return ask.ask({"tolerance." + key,
                        "How much " + what + " do you accept: low, medium or high?", "low",
                        "medium"},
                       detail::read_level);
    };
    tolerance.delay = level("delay", "delay");
    tolerance.cost = level("cost", "cost");
    tolerance.other_region = level("other_region", "sending of requests to another region");
    tolerance.expected_spill = ask.ask(
        {"tolerance.expected_spill",
         "Part of a region's peak that another region should be able to take over, 0 to 1?", "0.2",
         "0.1"},
        [](const yaml_field& field) { return field.decimal(0, 1, "parts of a region's peak"); });
}

void ask_account(prompter& ask, const std::string& name, const secret_generator& generate_secret,
                 answers& given)
{
    account_config account;
    account.id = core::account_id{name};
    const std::string key = "accounts." + name;
    account.home = ask_known_region(ask, key + ".home", "Home region of " + name + "?", given);
    account.calls_per_second =
        ask.ask({key + ".calls_per_second", "Calls per second of " + name + "?", "50", "50"},
                detail::read_account_rate);
    account.burst = detail::default_burst(account.calls_per_second);
    const std::string bearer_key = generate_secret();
    account.key_sha256 = core::sha256_hex(bearer_key);
    ask.print_line("  bearer key of " + name + ", shown only now: " + bearer_key);
    given.accounts[account.id] = account;
}

void ask_accounts(prompter& ask, const secret_generator& generate_secret, answers& given)
{
    constexpr std::size_t max_accounts = 1'000;
    const std::vector<std::string> names =
        ask.ask_list({"accounts", "Names of the accounts? Without accounts, callers need no key.",
                      "kiln-masters, buyers", "none"},
                     [](const yaml_field& list) { return read_names(list, 0, max_accounts); });
    for (const std::string& name : names)
    {
        if (!ask.has_input_ended())
        {
            ask_account(ask, name, generate_secret, given);
        }
    }
}

} // namespace

core::result<answers> ask_answers(std::istream& in, std::ostream& out,
                                  const secret_generator& generate_secret)
{
    prompter ask(in, out);
    ask.print_line(
        "An empty line takes the value in brackets. Several values are separated by commas.");
    answers given;
    given.version = ask.ask(
        {"version", "Version of the configuration? Each change needs a higher one.", "1", "1"},
        detail::read_version);
    ask_regions(ask, given);
    ask_delays(ask, given);
    ask_platform(ask, given);
    ask_hosts(ask, given);
    detail::ask_services(ask, given);
    ask_tolerance(ask, given.tolerance);
    ask_accounts(ask, generate_secret, given);
    given.fleet_keys = {generate_secret()};
    if (ask.has_input_ended())
    {
        return core::fail(core::error_code::settings_missing_key,
                          "the input ended before the last question",
                          "answer every question, or write an answers file and give it with "
                          "--answers");
    }
    return given;
}

std::string generate_random_secret()
{
    constexpr std::size_t secret_bytes = 32;
    return core::hmac_sha256_hex(core::random_bytes(secret_bytes), "snipeplank secret");
}

} // namespace snipeplank::settings
