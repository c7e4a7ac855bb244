/// @file
/// Conversion of SHA-256 digests between hexadecimal text and raw bytes.

#ifndef SNIPEPLANK_WIRE_SRC_SHA256_TEXT_HPP
#define SNIPEPLANK_WIRE_SRC_SHA256_TEXT_HPP

#include <string>
#include <string_view>

namespace snipeplank::wire
{

/// @brief 32 raw bytes, or an empty string when `text` is not 64 lower-case hexadecimal digits.
inline std::string sha256_from_hex(std::string_view text)
{
    constexpr std::size_t digit_count = 64;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string raw;
    if (text.size() != digit_count)
    {
        return raw;
    }
    for (std::size_t i = 0; i < digit_count; i += 2)
    {
        const std::size_t high = digits.find(text[i]);
        const std::size_t low = digits.find(text[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return {};
        }
        raw += static_cast<char>(high * digits.size() + low);
    }
    return raw;
}

/// @brief Lower-case hexadecimal text of raw bytes.
inline std::string hex_from_bytes(std::string_view raw)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char byte : raw)
    {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value / digits.size()];
        text += digits[value % digits.size()];
    }
    return text;
}

} // namespace snipeplank::wire

#endif
