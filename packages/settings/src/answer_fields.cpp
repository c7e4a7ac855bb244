#include <snipeplank/settings/address.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>

#include <algorithm>

namespace snipeplank::settings::detail
{

namespace
{

using core::error_code;

constexpr std::size_t min_fleet_key_digits = 32;
constexpr std::size_t max_fleet_key_digits = 256;
constexpr std::size_t max_fleet_keys = 2;
constexpr std::size_t max_replicas = 16;
// A body is sent between nodes in one frame, which holds at most 1 MB of body and 64 KB of other
// data.
constexpr std::uint64_t max_body_bytes = 1'048'576;
// Fencing numbers are (version << 20) + n as signed 64-bit integers, so a version has 43 bits.
constexpr std::uint64_t max_version = (std::uint64_t{1} << 43) - 1;

template <typename Value>
void check_not_duplicate(const yaml_field& field, const std::vector<Value>& earlier,
                         const Value& value)
{
    if (std::find(earlier.begin(), earlier.end(), value) != earlier.end())
    {
        field.add_error(error_code::settings_bad_value, "the same value as an earlier one",
                        "give each a value of its own, or remove one");
    }
}

} // namespace

core::config_version read_version(const yaml_field& field)
{
    return core::config_version{field.whole(1, max_version, "versions")};
}

double read_delay_ms(const yaml_field& field)
{
    constexpr double max_delay_ms = 10'000;
    return field.decimal(0, max_delay_ms, "milliseconds, one way");
}

double read_peak(const yaml_field& field)
{
    constexpr double max_peak_calls_per_second = 1'000'000;
    return field.decimal(0, max_peak_calls_per_second,
                         "calls per second in the busiest home region");
}

double read_kilobytes(const yaml_field& field)
{
    constexpr double max_call_kilobytes = 1'000'000;
    return field.decimal(0, max_call_kilobytes, "kilobytes");
}

unsigned read_port(const yaml_field& field)
{
    constexpr std::uint64_t max_port = 65'535;
    return static_cast<unsigned>(field.whole(1, max_port, ""));
}

tolerance_level read_level(const yaml_field& field)
{
    return field.one_of<tolerance_level>({{"low", tolerance_level::low},
                                          {"medium", tolerance_level::medium},
                                          {"high", tolerance_level::high}});
}

core::bytes read_max_body(const yaml_field& field)
{
    return core::bytes{field.whole(1, max_body_bytes, "bytes")};
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
        field.add_error(error_code::settings_bad_value, "\"" + text + "\" is not an IP number",
                        "write an IP number without a port, for example 127.1.1.1 or [::1]");
        return {};
    }
    const std::string& address = parsed.value().get();
    return address.substr(0, address.rfind(':'));
}

std::vector<core::address> read_config_service(const yaml_field& list)
{
    std::vector<core::address> replicas;
    for (const yaml_field& item : list.items(1, max_replicas))
    {
        const core::address replica = item.address();
        check_not_duplicate(item, replicas, replica);
        replicas.push_back(replica);
    }
    return replicas;
}

std::vector<std::string> read_fleet_keys(const yaml_field& list)
{
    std::vector<std::string> keys;
    for (const yaml_field& item : list.items(1, max_fleet_keys))
    {
        const std::string key = item.hex(min_fleet_key_digits, max_fleet_key_digits);
        check_not_duplicate(item, keys, key);
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
