#include <snipeplank/settings/detail/sections.hpp>

#include <algorithm>
#include <array>

namespace snipeplank::settings::detail
{

namespace
{

using core::error_code;

// Bounds every call to 10 minutes, so that a planned stop needs no limit of its own.
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t max_calls_per_upstream = 10'000;
constexpr std::size_t max_services = 1'000;
constexpr std::size_t max_statuses = 50;
constexpr std::size_t max_methods = 5;

/// First segments of the node's own paths: a service with such a name would be unreachable.
constexpr std::array<const char*, 4> reserved_names{"v1", "healthz", "readyz", "metrics"};

void read_statuses(const yaml_field& list, service_config& service)
{
    constexpr int first_error_status = 400;
    constexpr int last_error_status = 599;
    for (const yaml_field& item : list.items(0, max_statuses))
    {
        const auto status =
            static_cast<int>(item.whole(first_error_status, last_error_status, "HTTP statuses"));
        if (!service.not_run_statuses.insert(status).second)
        {
            item.add_error(error_code::settings_bad_value, "the status is listed twice",
                           "remove one of the two");
        }
    }
}

using key_list = std::vector<const char*>;

void read_plain_keys(const yaml_field& group, const key_list& extra_required_keys,
                     service_config& service)
{
    // The methods are required even when there are none: a forgotten key must not allow a POST to
    // run twice.
    key_list required{"kind", "non_idempotent_methods"};
    required.insert(required.end(), extra_required_keys.begin(), extra_required_keys.end());
    group.expect_keys(
        required, {"residency", "ticket", "deadline_ms", "not_run_statuses", "calls_per_upstream"});
    service.non_idempotent_methods = read_method_set(group["non_idempotent_methods"]);
    const yaml_field ticket = group["ticket"];
    if (!ticket.is_present())
    {
        return;
    }
    service.ticket = read_ticket_rule(ticket);
    if (service.non_idempotent_methods.empty())
    {
        ticket.add_error(error_code::config_invalid, "the service has no non-idempotent method",
                         "remove the key, or list the methods under non_idempotent_methods");
    }
}

void read_model_keys(const yaml_field& group, const key_list& extra_required_keys,
                     service_config& service)
{
    key_list required{"kind"};
    required.insert(required.end(), extra_required_keys.begin(), extra_required_keys.end());
    group.expect_keys(
        required, {"residency", "deadline_ms", "not_run_statuses", "calls_per_upstream", "engine"});
    const yaml_field engine = group["engine"];
    if (!engine.is_present())
    {
        return;
    }
    engine.expect_keys({"checks_fencing", "resumes_streams"});
    service.engine_checks_fencing = engine["checks_fencing"].flag();
    service.engine_resumes_streams = engine["resumes_streams"].flag();
}

} // namespace

void check_service_name(const std::string& name, const yaml_field& field)
{
    const auto is_same_name = [&name](const char* reserved) { return name == reserved; };
    if (std::any_of(reserved_names.begin(), reserved_names.end(), is_same_name))
    {
        field.add_error(error_code::config_invalid, "\"" + name + "\" is a path of the node itself",
                        "give the service another name");
    }
}

service_kind read_kind(const yaml_field& field)
{
    return field.one_of<service_kind>(
        {{"plain", service_kind::plain}, {"model", service_kind::model}});
}

residency read_residency(const yaml_field& field)
{
    return field.one_of<residency>({{"bound", residency::bound}, {"free", residency::free}});
}

ticket_rule read_ticket_rule(const yaml_field& field)
{
    return field.one_of<ticket_rule>(
        {{"required", ticket_rule::required}, {"optional", ticket_rule::optional}});
}

core::milliseconds read_deadline(const yaml_field& field)
{
    return core::milliseconds{field.whole(1, max_deadline_ms, "milliseconds")};
}

unsigned read_calls_per_upstream(const yaml_field& field)
{
    return static_cast<unsigned>(field.whole(1, max_calls_per_upstream, "calls"));
}

std::set<std::string> read_method_set(const yaml_field& list)
{
    std::set<std::string> methods;
    for (const yaml_field& item : list.items(0, max_methods))
    {
        const char* method = item.one_of<const char*>({{"POST", "POST"},
                                                       {"PUT", "PUT"},
                                                       {"PATCH", "PATCH"},
                                                       {"DELETE", "DELETE"},
                                                       {"GET", "GET"}});
        if (!methods.insert(method).second)
        {
            item.add_error(error_code::settings_bad_value, "the method is listed twice",
                           "remove one of the two");
        }
    }
    return methods;
}

service_config read_service(const std::string& name, const yaml_field& group,
                            const std::vector<const char*>& extra_required_keys)
{
    service_config service;
    service.name = core::service_id{name};
    check_service_name(name, group);
    service.kind = read_kind(group["kind"]);
    if (service.kind == service_kind::plain)
    {
        read_plain_keys(group, extra_required_keys, service);
    }
    else
    {
        read_model_keys(group, extra_required_keys, service);
    }
    if (const yaml_field field = group["residency"]; field.is_present())
    {
        service.residency = read_residency(field);
    }
    if (const yaml_field field = group["deadline_ms"]; field.is_present())
    {
        service.deadline = read_deadline(field);
    }
    if (const yaml_field field = group["not_run_statuses"]; field.is_present())
    {
        read_statuses(field, service);
    }
    if (const yaml_field field = group["calls_per_upstream"]; field.is_present())
    {
        service.calls_per_upstream = read_calls_per_upstream(field);
    }
    return service;
}

void read_services_section(const yaml_field& root, published_config& config)
{
    root.expect_keys({"services"});
    for (const auto& [name, group] : root["services"].members())
    {
        config.services.emplace(core::service_id{name}, read_service(name, group));
    }
    if (config.services.empty() || config.services.size() > max_services)
    {
        root["services"].add_error(error_code::config_invalid, "no service, or more than 1,000",
                                   "list 1 to 1,000 services");
    }
}

} // namespace snipeplank::settings::detail
