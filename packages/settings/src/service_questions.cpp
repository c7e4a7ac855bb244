#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/sections.hpp>
#include <snipeplank/settings/detail/service_questions.hpp>
#include <snipeplank/settings/detail/yaml_writer.hpp>

#include <algorithm>

namespace snipeplank::settings::detail
{

namespace
{

constexpr std::size_t max_services = 1'000;
constexpr std::size_t max_upstreams_in_zone = 10'000;

std::string region_names(const answers& given)
{
    std::string names;
    for (const auto& [region, zones] : given.regions)
    {
        names += (names.empty() ? "" : ", ") + region.get();
    }
    return names;
}

std::vector<core::region_id> ask_homes(prompter& ask, const std::string& key,
                                       const std::string& name, const answers& given)
{
    const std::string all = region_names(given);
    return ask.ask_list({key + "homes", "Regions whose customers use " + name + "?", all, all},
                        [&given](const yaml_field& list)
                        { return read_homes(list, given.regions); });
}

bool is_used(const answers& given, const core::address& address)
{
    for (const auto& [name, service] : given.services)
    {
        for (const upstream_answer& group : service.upstreams)
        {
            const auto& used = group.addresses;
            if (std::find(used.begin(), used.end(), address) != used.end())
            {
                return true;
            }
        }
    }
    return false;
}

std::vector<core::address> read_upstream_addresses(const yaml_field& list, const answers& given)
{
    std::vector<core::address> addresses;
    for (const yaml_field& item : list.items(0, max_upstreams_in_zone))
    {
        const core::address address = item.address();
        if (is_used(given, address) ||
            std::find(addresses.begin(), addresses.end(), address) != addresses.end())
        {
            item.add_error(core::error_code::answers_contradict,
                           address.get() + " was given before",
                           "give each upstream its own address");
        }
        addresses.push_back(address);
    }
    return addresses;
}

void ask_upstreams(prompter& ask, const std::string& key, const answers& given,
                   service_answer& service)
{
    for (const auto& [region, zones] : given.regions)
    {
        for (const core::zone_id& zone : zones)
        {
            const std::vector<core::address> addresses = ask.ask_list(
                {key + "upstreams",
                 "Addresses of the upstreams of " + service.config.name.get() + " in " +
                     zone.get() + "?",
                 "127.2.1.1:9000, 127.2.1.2:9000", "none"},
                [&given](const yaml_field& list) { return read_upstream_addresses(list, given); });
            if (!addresses.empty())
            {
                service.upstreams.push_back(
                    {zone, static_cast<unsigned>(addresses.size()), addresses});
            }
        }
    }
}

void ask_plain(prompter& ask, const std::string& key, service_config& config)
{
    config.non_idempotent_methods = ask.ask_list(
        {key + "non_idempotent_methods",
         "HTTP methods that must not run twice, such as a booking or an order? (none, if all may)",
         "POST", "POST"},
        read_method_set);
    if (config.non_idempotent_methods.empty())
    {
        return;
    }
    config.ticket =
        ask.ask({key + "ticket", "Must callers use a ticket for them: required or optional?",
                 "required", "required"},
                read_ticket_rule);
}

void ask_model(prompter& ask, const std::string& key, service_config& config)
{
    const auto read = [](const yaml_field& field) { return field.flag(); };
    config.engine_checks_fencing =
        ask.ask({key + "engine.checks_fencing",
                 "Do the engines refuse orders with an old fencing number: true or false?", "true",
                 "false"},
                read);
    config.engine_resumes_streams = ask.ask(
        {key + "engine.resumes_streams",
         "Can the engines resume a stream by Last-Event-ID: true or false?", "true", "false"},
        read);
}

void ask_common(prompter& ask, const std::string& key, service_answer& service)
{
    service_config& config = service.config;
    config.kind =
        ask.ask({key + "kind", "Is it a model or a plain service?", "model", "model"}, read_kind);
    config.residency =
        ask.ask({key + "residency", "May requests leave their home region: bound (never) or free?",
                 "bound", "bound"},
                read_residency);
    config.deadline =
        ask.ask({key + "deadline_ms", "Deadline of a call whose caller names none, in ms?", "10000",
                 "10000"},
                read_deadline);
    config.calls_per_upstream =
        ask.ask({key + "calls_per_upstream",
                 "Calls that one upstream serves at once, to start with?", "8", "8"},
                read_calls_per_upstream);
    service.peak_calls_per_second =
        ask.ask({key + "peak_calls_per_second",
                 "Calls per second at the peak of the busiest home region?", "20", "20"},
                read_peak);
    service.kilobytes_per_call =
        ask.ask({key + "kilobytes_per_call",
                 "Kilobytes of a request or its answer, whichever is larger?", "16", "16"},
                read_kilobytes);
}

void ask_service(prompter& ask, const std::string& name, answers& given)
{
    const std::string key = "services." + name + ".";
    ask.print_line("Service " + name + ":");
    service_answer service;
    service.config.name = core::service_id{name};
    ask_common(ask, key, service);
    if (service.config.kind == service_kind::model)
    {
        ask_model(ask, key, service.config);
    }
    else
    {
        ask_plain(ask, key, service.config);
    }
    service.homes = ask_homes(ask, key, name, given);
    ask_upstreams(ask, key, given, service);
    given.services[service.config.name] = service;
}

} // namespace

core::region_id ask_known_region(prompter& ask, const std::string& key, const std::string& text,
                                 const answers& given)
{
    const std::string first = given.regions.empty() ? "" : given.regions.begin()->first.get();
    return ask.ask({key, text, first, first}, [&given](const yaml_field& field)
                   { return read_known_region(field, given.regions); });
}

std::vector<std::string> read_names(const yaml_field& list, std::size_t minimum,
                                    std::size_t maximum)
{
    std::vector<std::string> names;
    for (const yaml_field& item : list.items(minimum, maximum))
    {
        const std::string name = item.name();
        if (std::find(names.begin(), names.end(), name) != names.end())
        {
            item.add_error(core::error_code::settings_bad_value, "the name is given twice",
                           "give each name once");
        }
        names.push_back(name);
    }
    return names;
}

void ask_services(prompter& ask, answers& given)
{
    const auto read = [](const yaml_field& list)
    {
        std::vector<std::string> names = read_names(list, 1, max_services);
        for (const std::string& name : names)
        {
            check_service_name(name, list);
        }
        return names;
    };
    const std::vector<std::string> names = ask.ask_list(
        {"services", "Names of your services? A model and its application are two services.",
         "scheduling, booking", ""},
        read);
    for (const std::string& name : names)
    {
        if (!ask.has_input_ended())
        {
            ask_service(ask, name, given);
        }
    }
}

} // namespace snipeplank::settings::detail
