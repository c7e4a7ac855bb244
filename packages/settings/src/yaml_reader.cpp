#include <snipeplank/settings/address.hpp>
#include <snipeplank/settings/detail/yaml_reader.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <string_view>

namespace snipeplank::settings::detail
{

namespace
{

using core::error_code;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_quoted_length = 80;

bool is_lower_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// The value in quotes, truncated and without control characters, so that a message is one short
/// line.
std::string quoted(const std::string& value)
{
    std::string text = value.substr(0, max_quoted_length);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' '; }, ' ');
    return "\"" + text + (value.size() > max_quoted_length ? "...\"" : "\"");
}

std::string join(const std::vector<const char*>& words)
{
    std::string text;
    for (const char* word : words)
    {
        text += (text.empty() ? "" : ", ") + std::string{word};
    }
    return text;
}

std::string to_text(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/// Part of a key before its first underscore, which in `deadline_ms` is the part before the unit.
std::string_view key_without_unit(std::string_view key)
{
    return key.substr(0, key.find('_'));
}

std::string number_remedy(const std::string& minimum, const std::string& maximum, const char* unit)
{
    return "write a plain number from " + minimum + " to " + maximum + " without quotes or a unit" +
           (*unit == '\0' ? "" : "; it counts " + std::string{unit});
}

} // namespace

bool is_name(const std::string& text)
{
    const auto allowed = [](char c)
    { return is_lower_or_digit(c) || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= max_name_length && is_lower_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), allowed);
}

void yaml_report::add_error(error_code code, int line, const std::string& key,
                            const std::string& problem, std::string remedy)
{
    if (m_first)
    {
        return;
    }
    const std::string location = m_file + ":" + std::to_string(line) + ": ";
    m_first =
        core::error{code, location + (key.empty() ? "" : key + ": ") + problem, std::move(remedy)};
}

std::string yaml_field::child_path(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

bool yaml_field::expect_kind(yaml_kind kind, const char* description, const char* remedy) const
{
    if (m_value == nullptr)
    {
        add_error(error_code::settings_missing_key, "the key is missing", "add the key");
        return false;
    }
    if (m_value->kind != kind)
    {
        add_error(error_code::settings_bad_value, std::string{"expected "} + description, remedy);
        return false;
    }
    return true;
}

void yaml_field::add_unknown_key_error(const yaml_entry& entry,
                                       const std::vector<const char*>& known) const
{
    std::string remedy = "remove it; the keys here are: " + join(known);
    for (const char* candidate : known)
    {
        if (key_without_unit(candidate) == key_without_unit(entry.key))
        {
            remedy = std::string{"write "} + candidate + "; the name of a key includes its unit";
        }
    }
    m_report->add_error(error_code::settings_unknown_key, entry.line, child_path(entry.key),
                        "unknown key", remedy);
}

void yaml_field::expect_keys(const std::vector<const char*>& required,
                             const std::vector<const char*>& optional) const
{
    if (!expect_kind(yaml_kind::map, "a group of keys", "write one `key: value` a line below it"))
    {
        return;
    }
    std::vector<const char*> known(required);
    known.insert(known.end(), optional.begin(), optional.end());
    for (const yaml_entry& entry : m_value->entries)
    {
        const auto is_same_key = [&entry](const char* key) { return entry.key == key; };
        if (std::none_of(known.begin(), known.end(), is_same_key))
        {
            add_unknown_key_error(entry, known);
        }
    }
    for (const char* key : required)
    {
        if (!(*this)[key].is_present())
        {
            m_report->add_error(error_code::settings_missing_key, m_line, child_path(key),
                                "the key is missing", std::string{"add "} + key + " to this group");
        }
    }
}

yaml_field yaml_field::operator[](const char* key) const
{
    if (m_value != nullptr)
    {
        for (const yaml_entry& entry : m_value->entries)
        {
            if (entry.key == key)
            {
                return {*m_report, &entry.value, child_path(key), entry.line};
            }
        }
    }
    return {*m_report, nullptr, child_path(key), m_line};
}

std::vector<yaml_field> yaml_field::items(std::size_t minimum, std::size_t maximum) const
{
    if (!expect_kind(yaml_kind::list, "a list", "write [a, b] or one `- item` a line"))
    {
        return {};
    }
    const std::size_t count = m_value->items.size();
    if (count < minimum || count > maximum)
    {
        add_error(error_code::settings_out_of_range,
                  "the list has " + std::to_string(count) + " items",
                  "give " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return {};
    }
    std::vector<yaml_field> fields;
    fields.reserve(count);
    for (const yaml_value& item : m_value->items)
    {
        fields.push_back(
            {*m_report, &item, m_path + "[" + std::to_string(fields.size()) + "]", item.line});
    }
    return fields;
}

std::vector<std::pair<std::string, yaml_field>> yaml_field::members() const
{
    std::vector<std::pair<std::string, yaml_field>> fields;
    if (!expect_kind(yaml_kind::map, "a group of named entries", "write one `name: ...` a line"))
    {
        return fields;
    }
    for (const yaml_entry& entry : m_value->entries)
    {
        if (!is_name(entry.key))
        {
            m_report->add_error(error_code::settings_bad_value, entry.line, m_path,
                                quoted(entry.key) + " is not a name",
                                "use 1 to 64 of a-z 0-9 . _ - and begin with a letter or digit");
        }
        fields.emplace_back(entry.key,
                            yaml_field{*m_report, &entry.value, child_path(entry.key), entry.line});
    }
    return fields;
}

const std::string& yaml_field::scalar() const
{
    static const std::string nothing;
    return expect_kind(yaml_kind::scalar, "a single value", "write one value after the colon")
               ? m_value->text
               : nothing;
}

std::string yaml_field::text() const
{
    const std::string& value = scalar();
    if (value.empty())
    {
        add_error(error_code::settings_bad_value, "the value is empty", "write a value");
    }
    return value;
}

std::string yaml_field::name() const
{
    const std::string& value = scalar();
    if (!is_name(value))
    {
        add_error(error_code::settings_bad_value, quoted(value) + " is not a name",
                  "use 1 to 64 of a-z 0-9 . _ - and begin with a letter or digit");
    }
    return value;
}

std::string yaml_field::hex(std::size_t minimum, std::size_t maximum) const
{
    std::string value = scalar();
    const bool digits = std::all_of(value.begin(), value.end(), is_hex_digit);
    if (!digits || value.size() < minimum || value.size() > maximum)
    {
        add_error(error_code::settings_bad_value, "not a hexadecimal string of the right length",
                  "write " + std::to_string(minimum) +
                      (minimum == maximum ? "" : " to " + std::to_string(maximum)) +
                      " characters of 0-9 a-f, for example from `openssl rand -hex 32`");
    }
    std::transform(value.begin(), value.end(), value.begin(), to_lower);
    return value;
}

core::address yaml_field::address() const
{
    const std::string& value = scalar();
    core::result<core::address> parsed = parse_address(value);
    if (!parsed)
    {
        add_error(error_code::settings_bad_value, quoted(value) + " is not IP:port",
                  parsed.error().remedy);
        return {};
    }
    return parsed.value();
}

std::uint64_t yaml_field::whole(std::uint64_t minimum, std::uint64_t maximum,
                                const char* unit) const
{
    const std::string& value = scalar();
    const std::string remedy =
        number_remedy(std::to_string(minimum), std::to_string(maximum), unit);
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [stop, status] = std::from_chars(value.data(), end, number);
    const bool is_quoted = m_value != nullptr && m_value->is_quoted;
    if (is_quoted || stop != end || status == std::errc::invalid_argument)
    {
        add_error(error_code::settings_bad_value, quoted(value) + " is not a whole number", remedy);
        return minimum;
    }
    if (status != std::errc{} || number < minimum || number > maximum)
    {
        add_error(error_code::settings_out_of_range, value + " is out of range", remedy);
        return minimum;
    }
    return number;
}

double yaml_field::decimal(double minimum, double maximum, const char* unit) const
{
    const std::string& value = scalar();
    const std::string remedy = number_remedy(to_text(minimum), to_text(maximum), unit);
    double number = 0;
    const char* end = value.data() + value.size();
    const auto [stop, status] = std::from_chars(value.data(), end, number);
    const bool is_quoted = m_value != nullptr && m_value->is_quoted;
    if (is_quoted || stop != end || status == std::errc::invalid_argument || std::isnan(number))
    {
        add_error(error_code::settings_bad_value, quoted(value) + " is not a number", remedy);
        return minimum;
    }
    if (status != std::errc{} || number < minimum || number > maximum)
    {
        add_error(error_code::settings_out_of_range, quoted(value) + " is out of range", remedy);
        return minimum;
    }
    return number;
}

bool yaml_field::flag() const
{
    return one_of<bool>({{"true", true}, {"false", false}});
}

} // namespace snipeplank::settings::detail
