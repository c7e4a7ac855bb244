/// Parsers of the host list and of load reports.

#include <snipeplank/gateway/platform_client.hpp>

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <string_view>

namespace snipeplank::gateway
{

namespace
{

using nlohmann::json;

std::string string_field(const json& host, const char* key)
{
    const auto found = host.find(key);
    return found != host.end() && found->is_string() ? found->get<std::string>() : std::string();
}

listed_host read_host(const json& host)
{
    listed_host entry;
    entry.address = core::address{string_field(host, "address")};
    entry.service = core::service_id{string_field(host, "service")};
    entry.region = core::region_id{string_field(host, "region")};
    entry.zone = core::zone_id{string_field(host, "zone")};
    entry.is_entry = string_field(host, "kind") == "entry";
    entry.is_leaving = string_field(host, "state") == "leaving";
    const auto cost = host.find("cost");
    if (cost != host.end() && cost->is_number())
        entry.cost = cost->get<double>();
    return entry;
}

bool is_usable(const listed_host& host)
{
    const bool has_location = !host.address.get().empty() && !host.region.get().empty();
    return has_location && (host.is_entry || !host.service.get().empty());
}

/// Value of the first sample of a metric, with any labels; 0 when it is absent.
double first_sample_value(std::string_view page, std::string_view name)
{
    for (std::size_t at = page.find(name); at != std::string_view::npos;
         at = page.find(name, at + name.size()))
    {
        const bool starts_line = at == 0 || page[at - 1] == '\n';
        if (!starts_line)
            continue;
        const std::string line{page.substr(at, page.find('\n', at) - at)};
        const std::size_t value = line.rfind(' ');
        if (value != std::string::npos)
            return std::strtod(line.c_str() + value, nullptr);
    }
    return 0;
}

} // namespace

core::result<host_listing> parse_host_listing(const std::string& text)
{
    const json document = json::parse(text, nullptr, false);
    const bool is_list =
        document.is_object() && document.contains("hosts") && document["hosts"].is_array();
    if (!is_list)
        return core::fail(core::error_code::config_invalid,
                          "the host list is not the expected JSON",
                          "check the address of the host list in the settings");
    host_listing listing;
    const auto index = document.find("index");
    if (index != document.end() && index->is_number_unsigned())
        listing.index = index->get<std::uint64_t>();
    for (const json& host : document["hosts"])
    {
        if (!host.is_object())
            continue;
        listed_host entry = read_host(host);
        if (is_usable(entry))
            listing.hosts.push_back(std::move(entry));
    }
    return listing;
}

upstream_report parse_load_report(const std::string& text)
{
    upstream_report report;
    report.running =
        static_cast<unsigned>(std::max(0.0, first_sample_value(text, "vllm:num_requests_running")));
    report.waiting =
        static_cast<unsigned>(std::max(0.0, first_sample_value(text, "vllm:num_requests_waiting")));
    report.cache_use = first_sample_value(text, "vllm:gpu_cache_usage_perc");
    return report;
}

} // namespace snipeplank::gateway
