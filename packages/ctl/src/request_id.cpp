#include <snipeplank/ctl/request_id.hpp>
#include <snipeplank/settings/address.hpp>

#include <algorithm>
#include <string_view>

namespace snipeplank::ctl
{

namespace
{

/// Whether the text is a number in decimal or hexadecimal digits.
bool is_number(std::string_view text)
{
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

/// Brackets of an IPv6 address are not allowed in a URL path.
std::string escaped(const std::string& text)
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
    const std::size_t second = text.rfind('-');
    const std::size_t first =
        second == std::string::npos || second == 0 ? second : text.rfind('-', second - 1);
    if (first != std::string::npos && first < second)
    {
        const core::result<core::address> address = settings::parse_address(text.substr(0, first));
        const std::string_view rest = text;
        if (address && is_number(rest.substr(first + 1, second - first - 1)) &&
            is_number(rest.substr(second + 1)))
        {
            return request_id{address.value(), escaped(text)};
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
