#include <snipeplank/core/printable.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace snipeplank::core
{

namespace
{

/// Lead bytes of a sequence of this length, and the code points that need it.
struct sequence_form
{
    std::size_t length;
    unsigned lead_mask;
    unsigned lead;
    std::uint32_t min_code_point;
};

constexpr sequence_form sequence_forms[] = {
    {1, 0x80, 0x00, 0x0}, {2, 0xe0, 0xc0, 0x80}, {3, 0xf0, 0xe0, 0x800}, {4, 0xf8, 0xf0, 0x1'0000}};

unsigned byte_at(std::string_view text, std::size_t index)
{
    return static_cast<unsigned char>(text[index]);
}

/// One character of a text; its length is 0 when the bytes are not UTF-8.
struct character
{
    std::size_t length = 0;
    std::uint32_t code_point = 0;
};

character decode(std::string_view text, const sequence_form& form)
{
    constexpr unsigned continuation_mask = 0xc0;
    constexpr unsigned continuation = 0x80;
    constexpr unsigned continuation_bits = 6;
    if (text.size() < form.length)
        return {};
    std::uint32_t code_point = byte_at(text, 0) & ~form.lead_mask;
    for (std::size_t i = 1; i < form.length; ++i)
    {
        if ((byte_at(text, i) & continuation_mask) != continuation)
            return {};
        code_point = (code_point << continuation_bits) | (byte_at(text, i) & ~continuation_mask);
    }
    constexpr std::uint32_t max_code_point = 0x10'ffff;
    constexpr std::uint32_t first_surrogate = 0xd800;
    constexpr std::uint32_t last_surrogate = 0xdfff;
    const bool is_surrogate = code_point >= first_surrogate && code_point <= last_surrogate;
    if (code_point < form.min_code_point || code_point > max_code_point || is_surrogate)
        return {};
    return {form.length, code_point};
}

/// The character at the beginning of a text that is not empty.
character first_character(std::string_view text)
{
    for (const sequence_form& form : sequence_forms)
    {
        if ((byte_at(text, 0) & form.lead_mask) == form.lead)
            return decode(text, form);
    }
    return {};
}

/// Whether a terminal or a reader of lines may act on the character instead of showing it.
bool is_control(std::uint32_t code_point)
{
    constexpr std::uint32_t first_printable = 0x20;
    constexpr std::uint32_t delete_character = 0x7f;
    constexpr std::uint32_t last_control = 0x9f;
    constexpr std::uint32_t line_separator = 0x2028;
    constexpr std::uint32_t paragraph_separator = 0x2029;
    return code_point < first_printable ||
           (code_point >= delete_character && code_point <= last_control) ||
           code_point == line_separator || code_point == paragraph_separator;
}

void append_escaped(std::string& text, std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned base = 16;
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        text += "\\x";
        text += digits[byte_at(bytes, i) / base];
        text += digits[byte_at(bytes, i) % base];
    }
}

} // namespace

bool is_utf8(std::string_view text)
{
    while (!text.empty())
    {
        const std::size_t length = first_character(text).length;
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

std::string printable(std::string_view text)
{
    std::string shown;
    while (!text.empty())
    {
        const character next = first_character(text);
        const std::string_view bytes = text.substr(0, std::max<std::size_t>(next.length, 1));
        if (next.length == 0 || is_control(next.code_point))
            append_escaped(shown, bytes);
        else
            shown += bytes;
        text.remove_prefix(bytes.size());
    }
    return shown;
}

std::string metric_label(std::string_view text)
{
    std::string label;
    for (const char c : printable(text))
    {
        if (c == '\\' || c == '"')
            label += '\\';
        label += c;
    }
    return label;
}

} // namespace snipeplank::core
