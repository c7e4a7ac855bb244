#include <snipeplank/ctl/request_id.hpp>
#include <snipeplank/settings/address.hpp>

#include <algorithm>
#include <string_view>

namespace snipeplank::ctl
{

namespace
{

/// Whether the text consists of decimal or lower-case hexadecimal digits.
bool is_number(std::string_view text)
{
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

/// Percent-encodes the brackets of an IPv6 address, which are not allowed in a URL path.
std::string percent_encode_brackets(const std::string& text)
{
    std::string path;
    for (const char c : text)
    {
        path += c == '[' ? "%5B" : c == ']' ? "%5D" : std::string{c};
    }
    return path;
}

} // namespace

core::result<request_id> parse_request_id(const std::string& text)
{
    const std::size_t call_number_separator = text.rfind('-');
    const std::size_t incarnation_separator =
        call_number_separator == std::string::npos || call_number_separator == 0
            ? call_number_separator
            : text.rfind('-', call_number_separator - 1);
    if (incarnation_separator != std::string::npos && incarnation_separator < call_number_separator)
    {
        const core::result<core::address> address =
            settings::parse_address(text.substr(0, incarnation_separator));
        const std::string_view rest = text;
        if (address &&
            is_number(rest.substr(incarnation_separator + 1,
                                  call_number_separator - incarnation_separator - 1)) &&
            is_number(rest.substr(call_number_separator + 1)))
        {
            return request_id{address.value(), percent_encode_brackets(text)};
        }
    }
    return core::fail(core::error_code::settings_bad_value, "\"" + text + "\" is not a request id",
                      "copy the request_id of an answer or a log line, for example "
                      "127.0.0.1:8082-00000000deadbeef-42");
}

core::result<core::address> with_port(const core::address& address, const std::string& port)
{
    const std::string& text = address.get();
    return settings::parse_address(text.substr(0, text.rfind(':') + 1) + port);
}

} // namespace snipeplank::ctl
