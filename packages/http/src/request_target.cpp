#include <snipeplank/http/request_target.hpp>

namespace snipeplank::http
{

namespace
{

/// Whether a character never has a meaning in a target (RFC 3986, 2.3). Independent of the locale.
bool is_unreserved(char c)
{
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || c == '-' || c == '.' || c == '_' || c == '~';
}

void append_encoded(std::string& text, char c)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned base = 16;
    const auto byte = static_cast<unsigned char>(c);
    text += '%';
    text += digits[byte / base];
    text += digits[byte % base];
}

/// @param kept a character that is not encoded, besides the unreserved ones
void append_percent_encoded(std::string& text, std::string_view raw, char kept)
{
    for (const char c : raw)
    {
        if (is_unreserved(c) || c == kept)
            text += c;
        else
            append_encoded(text, c);
    }
}

/// A slash has no meaning in a query, and keys consist of parts between slashes.
constexpr char path_separator = '/';

} // namespace

request_target::request_target(std::string_view path)
{
    append_percent_encoded(m_text, path, path_separator);
}

request_target& request_target::add(std::string_view name, std::string_view value)
{
    m_text += m_has_query ? '&' : '?';
    m_has_query = true;
    append_percent_encoded(m_text, name, path_separator);
    m_text += '=';
    append_percent_encoded(m_text, value, path_separator);
    return *this;
}

request_target& request_target::add(std::string_view name, std::uint64_t value)
{
    return add(name, std::string_view(std::to_string(value)));
}

} // namespace snipeplank::http
