/// Detects contradictions between answers that are each valid on their own.

#include <snipeplank/settings/answers.hpp>
#include <snipeplank/settings/detail/yaml_writer.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace snipeplank::settings
{

namespace
{

using optional_error = std::optional<core::error>;

core::error contradiction(const std::string& question, const std::string& problem,
                          const std::string& remedy)
{
    return {core::error_code::answers_contradict, question + ": " + problem, remedy};
}

std::string question_of(const service_answer& service, const std::string& key)
{
    return "services." + service.config.name.get() + "." + key;
}

optional_error check_links(const answers& given)
{
    if (given.regions.size() > 1 && !given.every_link)
    {
        return contradiction("links", "the fleet has several regions but no link between them",
                             "answer links.every_pair with delay_ms and megabits_per_second");
    }
    return {};
}

optional_error check_ports(const answers& given)
{
    const port_answers& ports = given.ports;
    const std::set<unsigned> different{ports.caller, ports.peer, ports.admin};
    constexpr std::size_t all = 3;
    if (different.size() != all)
    {
        return contradiction("ports", "two of caller, peer and admin are the same",
                             "give each its own port");
    }
    return {};
}

optional_error check_entry_hosts(const answers& given)
{
    std::set<std::string> ips;
    std::set<core::region_id> served;
    for (const auto& [name, host] : given.entry_hosts)
    {
        served.insert(region_of(given, host.zone));
        if (!ips.insert(host.ip).second)
        {
            return contradiction("entry_hosts." + name + ".ip",
                                 "another entry host has " + host.ip + " too",
                                 "give each entry host its own IP number");
        }
    }
    for (const auto& [region, zones] : given.regions)
    {
        if (!served.contains(region))
        {
            return contradiction("entry_hosts", "region " + region.get() + " has no entry host",
                                 "add an entry host in availability zone " + zones.front().get() +
                                     ", or remove the region");
        }
    }
    return {};
}

/// The question that each address of a node comes from, by address.
std::map<std::string, std::string> node_addresses(const answers& given)
{
    std::map<std::string, std::string> used;
    for (const auto& [name, host] : given.entry_hosts)
    {
        for (const unsigned port : {given.ports.caller, given.ports.peer, given.ports.admin})
        {
            used[host.ip + ":" + std::to_string(port)] = "entry_hosts." + name;
        }
    }
    return used;
}

optional_error check_upstream_group(const service_answer& service, const upstream_answer& group,
                                    std::map<std::string, std::string>& used)
{
    const std::string question = question_of(service, "upstreams");
    if (group.count != group.addresses.size())
    {
        return contradiction(question,
                             "in " + group.zone.get() + " the count is " +
                                 std::to_string(group.count) + " but " +
                                 std::to_string(group.addresses.size()) + " addresses are listed",
                             "correct the count, or list each address once");
    }
    for (const core::address& address : group.addresses)
    {
        const auto [earlier, is_new] = used.emplace(address.get(), question);
        if (!is_new)
        {
            return contradiction(question,
                                 address.get() + " is used by " + earlier->second + " too",
                                 "give each upstream its own address");
        }
    }
    return {};
}

optional_error check_upstreams(const answers& given)
{
    std::map<std::string, std::string> used = node_addresses(given);
    for (const auto& [name, service] : given.services)
    {
        for (const upstream_answer& group : service.upstreams)
        {
            if (optional_error found = check_upstream_group(service, group, used))
            {
                return found;
            }
        }
    }
    return {};
}

optional_error check_bound_homes(const answers& given)
{
    for (const auto& [name, service] : given.services)
    {
        if (service.config.residency != residency::bound)
        {
            continue;
        }
        for (const core::region_id& home : service.homes)
        {
            const auto is_in_home = [&](const upstream_answer& group)
            { return region_of(given, group.zone) == home; };
            if (std::none_of(service.upstreams.begin(), service.upstreams.end(), is_in_home))
            {
                return contradiction(
                    question_of(service, "upstreams"),
                    "the service is bound but has no upstream in its home region " + home.get(),
                    "add an upstream there, remove the region from " +
                        question_of(service, "homes") + ", or set " +
                        question_of(service, "residency") + " to free if the data may leave");
            }
        }
    }
    return {};
}

/// Longest round trip from a caller to an upstream that may serve its calls.
double longest_round_trip_ms(const answers& given, const service_answer& service)
{
    double one_way = given.between_zones_ms;
    for (const core::region_id& home : service.homes)
    {
        for (const upstream_answer& group : service.upstreams)
        {
            const core::region_id upstream_region = region_of(given, group.zone);
            const std::optional<link_answer> link = link_between(given, home, upstream_region);
            if (service.config.residency == residency::free && link)
            {
                one_way = std::max(one_way, static_cast<double>(link->delay.count()));
            }
        }
    }
    constexpr double both_ways = 2;
    return both_ways * (given.to_clients_ms + one_way);
}

optional_error check_deadlines(const answers& given)
{
    for (const auto& [name, service] : given.services)
    {
        const double round_trip = longest_round_trip_ms(given, service);
        if (static_cast<double>(service.config.deadline.count()) <= round_trip)
        {
            return contradiction(question_of(service, "deadline_ms"),
                                 std::to_string(service.config.deadline.count()) +
                                     " ms is not above the longest round trip of " +
                                     detail::yaml_number(round_trip) + " ms",
                                 "give a longer deadline, or correct `delays` and `links`");
        }
    }
    return {};
}

/// Rate that the expected spill of a region at its peak needs on one link.
double expected_spill_megabits(const answers& given)
{
    constexpr double megabits_in_kilobyte = 0.008;
    double megabits = 0;
    for (const auto& [name, service] : given.services)
    {
        if (service.config.residency == residency::free)
        {
            megabits += service.peak_calls_per_second * service.kilobytes_per_call *
                        megabits_in_kilobyte * given.tolerance.expected_spill;
        }
    }
    return megabits;
}

optional_error check_spill(const answers& given)
{
    const double needed = expected_spill_megabits(given);
    const double share = spill_share_of(given.tolerance.other_region);
    for (const auto& [a, zones_of_a] : given.regions)
    {
        for (const auto& [b, zones_of_b] : given.regions)
        {
            const std::optional<link_answer> link = link_between(given, a, b);
            if (!(a < b) || !link || link->megabits_per_second * share >= needed)
            {
                continue;
            }
            return contradiction(
                "tolerance.expected_spill",
                "forwarded calls would need " + detail::yaml_number(needed) +
                    " Mbit/s on the link " + a.get() + " - " + b.get() + " but may use " +
                    detail::yaml_number(share) + " of its " +
                    detail::yaml_number(link->megabits_per_second) + " Mbit/s",
                "lower tolerance.expected_spill, raise tolerance.other_region, or correct `links` "
                "or the services' peak_calls_per_second and kilobytes_per_call");
        }
    }
    return {};
}

optional_error check_accounts(const answers& given)
{
    std::map<std::string, core::account_id> keys;
    for (const auto& [id, account] : given.accounts)
    {
        const auto [earlier, is_new] = keys.emplace(account.key_sha256, id);
        if (!is_new)
        {
            return contradiction("accounts." + id.get() + ".key_sha256",
                                 "account " + earlier->second.get() + " has the same key",
                                 "issue a key of its own to each account");
        }
    }
    return {};
}

optional_error check_services(const answers& given)
{
    if (given.services.empty())
    {
        return contradiction("services", "no service is listed", "describe at least one service");
    }
    return {};
}

} // namespace

core::region_id region_of(const answers& given, const core::zone_id& zone)
{
    for (const auto& [region, zones] : given.regions)
    {
        if (std::find(zones.begin(), zones.end(), zone) != zones.end())
        {
            return region;
        }
    }
    return {};
}

std::optional<link_answer> link_between(const answers& given, const core::region_id& a,
                                        const core::region_id& b)
{
    if (a == b)
    {
        return {};
    }
    const auto exception = given.link_exceptions.find(std::minmax(a, b));
    return exception == given.link_exceptions.end() ? given.every_link
                                                    : std::optional{exception->second};
}

double spill_share_of(tolerance_level other_region)
{
    // The rest of a link is left for weights, KV cache and traffic of other systems.
    constexpr double low_share = 0.1;
    constexpr double medium_share = 0.25;
    constexpr double high_share = 0.5;
    return other_region == tolerance_level::low      ? low_share
           : other_region == tolerance_level::medium ? medium_share
                                                     : high_share;
}

std::optional<core::error> find_contradiction(const answers& given)
{
    for (const auto check :
         {check_services, check_links, check_ports, check_entry_hosts, check_upstreams,
          check_bound_homes, check_deadlines, check_spill, check_accounts})
    {
        if (optional_error found = check(given))
        {
            return found;
        }
    }
    return {};
}

} // namespace snipeplank::settings
