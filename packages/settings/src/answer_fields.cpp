#include <snipeplank/settings/address.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>

#include <algorithm>

namespace snipeplank::settings::detail
{

namespace
{

using core::error_code;

constexpr std::size_t shortest_fleet_key = 32;
constexpr std::size_t longest_fleet_key = 256;
constexpr std::size_t most_fleet_keys = 2;
constexpr std::size_t most_replicas = 16;
// A body travels between nodes in one frame of at most 1 MB and 64 KB for the rest.
constexpr std::uint64_t largest_body = 1'048'576;
// Fencing numbers are (version << 20) + n in 64 bits with a sign, so a version has 43 bits.
constexpr std::uint64_t highest_version = (std::uint64_t{1} << 43) - 1;

template <typename Value>
void refuse_repeated(const yaml_field& field, const std::vector<Value>& known, const Value& value)
{
    if (std::find(known.begin(), known.end(), value) != known.end())
    {
        field.refuse(error_code::settings_bad_value, "the same value as an earlier one",
                     "give each a value of its own, or remove one");
    }
}

} // namespace

core::config_version read_version(const yaml_field& field)
{
    return core::config_version{field.whole(1, highest_version, "versions")};
}

double read_delay_ms(const yaml_field& field)
{
    constexpr double longest_delay_ms = 10'000;
    return field.decimal(0, longest_delay_ms, "milliseconds, one way");
}

double read_peak(const yaml_field& field)
{
    constexpr double highest_peak = 1'000'000;
    return field.decimal(0, highest_peak, "calls per second in the busiest home region");
}

double read_kilobytes(const yaml_field& field)
{
    constexpr double largest_call_kilobytes = 1'000'000;
    return field.decimal(0, largest_call_kilobytes, "kilobytes");
}

unsigned read_port(const yaml_field& field)
{
    constexpr std::uint64_t highest_port = 65'535;
    return static_cast<unsigned>(field.whole(1, highest_port, ""));
}

tolerance_level read_level(const yaml_field& field)
{
    return field.one_of<tolerance_level>({{"low", tolerance_level::low},
                                          {"medium", tolerance_level::medium},
                                          {"high", tolerance_level::high}});
}

core::bytes read_max_body(const yaml_field& field)
{
    return core::bytes{field.whole(1, largest_body, "bytes")};
}

log_format read_log_format(const yaml_field& field)
{
    return field.one_of<log_format>({{"text", log_format::text}, {"json", log_format::json}});
}

std::string read_ip(const yaml_field& field)
{
    const std::string text = field.text();
    const core::result<core::address> parsed = parse_address(text + ":1");
    if (!parsed)
    {
        field.refuse(error_code::settings_bad_value, "\"" + text + "\" is not an IP number",
                     "write an IP number without a port, for example 127.1.1.1 or [::1]");
        return {};
    }
    const std::string& address = parsed.value().get();
    return address.substr(0, address.rfind(':'));
}

std::vector<core::address> read_config_service(const yaml_field& list)
{
    std::vector<core::address> replicas;
    for (const yaml_field& item : list.items(1, most_replicas))
    {
        const core::address replica = item.address();
        refuse_repeated(item, replicas, replica);
        replicas.push_back(replica);
    }
    return replicas;
}

std::vector<std::string> read_fleet_keys(const yaml_field& list)
{
    std::vector<std::string> keys;
    for (const yaml_field& item : list.items(1, most_fleet_keys))
    {
        const std::string key = item.hex(shortest_fleet_key, longest_fleet_key);
        refuse_repeated(item, keys, key);
        keys.push_back(key);
    }
    return keys;
}

double default_burst(double calls_per_second)
{
    constexpr double burst_seconds = 2;
    return std::max(1.0, calls_per_second * burst_seconds);
}

const char* to_word(tolerance_level level)
{
    return level == tolerance_level::low      ? "low"
           : level == tolerance_level::medium ? "medium"
                                              : "high";
}

} // namespace snipeplank::settings::detail
