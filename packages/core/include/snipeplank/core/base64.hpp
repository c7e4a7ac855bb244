/// @file
/// Standard base64 with padding (RFC 4648, 4).

#ifndef SNIPEPLANK_CORE_BASE64_HPP
#define SNIPEPLANK_CORE_BASE64_HPP

#include <optional>
#include <string>

namespace snipeplank::core
{

/// @brief Encodes any bytes. O(n).
std::string encode_base64(const std::string& bytes);

/// @brief Decodes a text, or returns nothing when it is not base64 with padding. O(n).
std::optional<std::string> decode_base64(const std::string& text);

} // namespace snipeplank::core

#endif
