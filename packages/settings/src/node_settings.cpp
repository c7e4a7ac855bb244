#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/read_file.hpp>
#include <snipeplank/settings/detail/yaml_reader.hpp>
#include <snipeplank/settings/node_settings.hpp>

namespace snipeplank::settings
{

namespace
{

using core::error_code;
using detail::yaml_field;

constexpr std::size_t max_connection_limit = 100'000;

void check_not_duplicate(const yaml_field& field, bool is_duplicate)
{
    if (is_duplicate)
    {
        field.add_error(error_code::settings_bad_value, "the same value as an earlier one",
                        "give each a value of its own, or remove one");
    }
}

void read_node(const yaml_field& group, node_settings& settings)
{
    group.expect_keys({"caller_address", "peer_address", "admin_address", "region", "zone"},
                      {"peer_listen"});
    settings.caller_address = group["caller_address"].address();
    settings.peer_address = group["peer_address"].address();
    const yaml_field listen = group["peer_listen"];
    settings.peer_listen = listen.is_present() ? listen.address() : settings.peer_address;
    settings.admin_address = group["admin_address"].address();
    settings.region = core::region_id{group["region"].name()};
    settings.zone = core::zone_id{group["zone"].name()};
    check_not_duplicate(group["peer_address"], settings.peer_address == settings.caller_address);
    check_not_duplicate(group["admin_address"],
                        settings.admin_address == settings.caller_address ||
                            settings.admin_address == settings.peer_address);
}

void read_platform(const yaml_field& group, node_settings& settings)
{
    group.expect_keys({"config_service", "host_list"});
    settings.config_service = detail::read_config_service(group["config_service"]);
    settings.host_list = group["host_list"].address();
}

void read_fleet(const yaml_field& group, node_settings& settings)
{
    group.expect_keys({"keys"});
    settings.fleet_keys = detail::read_fleet_keys(group["keys"]);
}

void read_limits(const yaml_field& group, node_settings& settings)
{
    group.expect_keys({}, {"max_connections", "max_body_bytes"});
    if (const yaml_field field = group["max_connections"]; field.is_present())
    {
        settings.max_connections = field.whole(1, max_connection_limit, "connections");
    }
    if (const yaml_field field = group["max_body_bytes"]; field.is_present())
    {
        settings.max_body = detail::read_max_body(field);
    }
}

void read_log(const yaml_field& group, node_settings& settings)
{
    group.expect_keys({}, {"format", "level"});
    if (const yaml_field field = group["format"]; field.is_present())
    {
        settings.format = detail::read_log_format(field);
    }
    if (const yaml_field field = group["level"]; field.is_present())
    {
        settings.log_level = field.one_of<const char*>({{"info", "info"},
                                                        {"trace", "trace"},
                                                        {"debug", "debug"},
                                                        {"warning", "warning"},
                                                        {"error", "error"},
                                                        {"critical", "critical"},
                                                        {"off", "off"}});
    }
}

} // namespace

core::result<node_settings> parse_node_settings(const std::string& text, const std::string& file)
{
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file);
    if (!document)
    {
        return document.as_failure();
    }
    detail::yaml_report report(file);
    const yaml_field root = yaml_field::root(report, document.value());
    root.expect_keys({"node", "platform", "fleet"}, {"limits", "log"});
    node_settings settings;
    if (report.is_clean())
    {
        read_node(root["node"], settings);
        read_platform(root["platform"], settings);
        read_fleet(root["fleet"], settings);
    }
    if (const yaml_field limits = root["limits"]; limits.is_present())
    {
        read_limits(limits, settings);
    }
    if (const yaml_field log = root["log"]; log.is_present())
    {
        read_log(log, settings);
    }
    if (!report.is_clean())
    {
        const core::error& cause = report.first();
        return core::fail(cause.code, cause.message, cause.remedy);
    }
    return settings;
}

core::result<node_settings> load_node_settings(const std::string& path)
{
    core::result<std::string> text = detail::read_file(path);
    if (!text)
    {
        return text.as_failure();
    }
    return parse_node_settings(text.value(), path);
}

} // namespace snipeplank::settings
