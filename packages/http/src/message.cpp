#include <snipeplank/http/message.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream> // Boost 1.74's string_view needs std::ostream

namespace snipeplank::http
{

namespace
{

namespace beast = boost::beast;

beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<char> hex_byte(std::string_view digits)
{
    unsigned value = 0;
    constexpr int hexadecimal = 16;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    if (error != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return static_cast<char>(value);
}

std::string decode_percent(std::string_view text)
{
    constexpr std::size_t escape_length = 3;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const auto byte = text[i] == '%' && i + escape_length <= text.size()
                              ? hex_byte(text.substr(i + 1, 2))
                              : std::nullopt;
        if (!byte)
        {
            decoded += text[i];
            continue;
        }
        decoded += *byte;
        i += escape_length - 1;
    }
    return decoded;
}

bool is_control(char c)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < first_printable || byte == delete_character;
}

bool is_space(char c)
{
    return c == ' ' || c == '\t';
}

/// Whether the text is a token (RFC 9110, 5.6.2): a method or the name of a header field.
bool is_token(std::string_view text)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    const auto is_allowed = [&](char c)
    {
        const bool is_ascii = static_cast<signed char>(c) >= 0;
        return is_ascii && !is_control(c) && !is_space(c) &&
               separators.find(c) == std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_allowed);
}

/// Whether the text ends neither the target nor the request line. Bytes beyond ASCII are forwarded
/// as the client sent them.
bool is_target(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(),
                                         [](char c) { return is_control(c) || is_space(c); });
}

/// Whether the text stays within its line as the value of a field.
bool is_within_line(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return is_control(c) && !is_space(c); });
}

/// Invalid parts may hold any bytes, so the message names the part and not its content.
auto invalid(const std::string& part)
{
    return core::fail(core::error_code::message_invalid,
                      "the " + part + " has characters that do not belong there",
                      "correct what the text comes from, for example a key or an id");
}

core::result<void> append_headers(std::string& text, const header_list& headers)
{
    for (const auto& [name, value] : headers)
    {
        if (!is_token(name))
            return invalid("name of a header field");
        if (!is_within_line(value))
            return invalid("value of the header field " + name);
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "\r\n";
    return boost::outcome_v2::success();
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return beast::iequals(to_beast(a), to_beast(b));
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, value] : headers)
    {
        if (same_name(key, name))
            return value;
    }
    return std::nullopt;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    static constexpr std::array<std::string_view, 8> names{
        "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authorization",
        "TE",         "Trailer",    "Transfer-Encoding", "Upgrade"};
    if (std::any_of(names.begin(), names.end(), [&](auto known) { return same_name(known, name); }))
        return true;
    return !connection.empty() &&
           beast::http::token_list{to_beast(connection)}.exists(to_beast(name));
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view query_of(std::string_view target)
{
    return target.substr(std::min(target.size(), path_of(target).size() + 1));
}

std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view query)
{
    std::vector<std::pair<std::string, std::string>> parameters;
    while (!query.empty())
    {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos)
            continue;
        parameters.emplace_back(decode_percent(pair.substr(0, equals)),
                                decode_percent(pair.substr(equals + 1)));
    }
    return parameters;
}

std::optional<std::string> query_value(std::string_view target, std::string_view name)
{
    for (auto& [known, value] : query_parameters(query_of(target)))
    {
        if (known == name)
            return std::move(value);
    }
    return std::nullopt;
}

std::string_view reason_phrase(int status)
{
    const auto text = beast::http::obsolete_reason(beast::http::int_to_status(status));
    return {text.data(), text.size()};
}

bool is_field_value(std::string_view text)
{
    return !text.empty() && !is_space(text.front()) && !is_space(text.back()) &&
           is_within_line(text);
}

core::result<std::string> to_text(const request_head& head)
{
    if (!is_token(head.method))
        return invalid("method");
    if (!is_target(head.target))
        return invalid("target");
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    if (const auto appended = append_headers(text, head.headers); !appended)
        return boost::outcome_v2::failure(appended.error());
    return text;
}

core::result<std::string> to_text(const response_head& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason_phrase(head.status)).append("\r\n");
    if (const auto appended = append_headers(text, head.headers); !appended)
        return boost::outcome_v2::failure(appended.error());
    return text;
}

} // namespace snipeplank::http
