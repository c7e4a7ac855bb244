#include <snipeplank/settings/detail/service_text.hpp>

namespace snipeplank::settings::detail
{

namespace
{

const char* to_word(bool value)
{
    return value ? "true" : "false";
}

std::string status_list(const std::set<int>& statuses)
{
    std::vector<std::string> items;
    for (const int status : statuses)
    {
        items.push_back(std::to_string(status));
    }
    return yaml_list(items);
}

std::string method_list(const std::set<std::string>& methods)
{
    return yaml_list({methods.begin(), methods.end()});
}

} // namespace

void write_service(yaml_writer& yaml, const service_config& service, const std::string& question)
{
    const auto write = [&](const std::string& key, const std::string& value)
    { yaml.value(key, value, question.empty() ? "" : "from " + question + key); };
    const bool is_model = service.kind == service_kind::model;
    write("kind", is_model ? "model" : "plain");
    write("residency", service.residency == residency::bound ? "bound" : "free");
    write("deadline_ms", std::to_string(service.deadline.count()));
    if (!service.not_run_statuses.empty())
    {
        write("not_run_statuses", status_list(service.not_run_statuses));
    }
    write("calls_per_upstream", std::to_string(service.calls_per_upstream));
    if (is_model)
    {
        yaml.open("engine");
        const std::string source =
            question.empty() ? "" : "from " + question + "engine, or false without it";
        yaml.value("checks_fencing", to_word(service.engine_checks_fencing), source);
        yaml.value("resumes_streams", to_word(service.engine_resumes_streams), source);
        yaml.close();
        return;
    }
    write("non_idempotent_methods", method_list(service.non_idempotent_methods));
    if (!service.non_idempotent_methods.empty())
    {
        yaml.value("ticket", service.ticket == ticket_rule::required ? "required" : "optional",
                   question.empty() ? "" : "from " + question + "ticket, or required without it");
    }
}

std::string yaml_address(const core::address& address)
{
    return address.get().starts_with('[') ? "\"" + address.get() + "\"" : address.get();
}

std::string yaml_addresses(const std::vector<core::address>& addresses)
{
    std::vector<std::string> items;
    for (const core::address& address : addresses)
    {
        items.push_back(yaml_address(address));
    }
    return yaml_list(items);
}

std::string yaml_keys(const std::vector<std::string>& keys)
{
    return yaml_list(keys);
}

} // namespace snipeplank::settings::detail
