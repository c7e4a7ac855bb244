#include <snipeplank/core/base64.hpp>

#include <openssl/evp.h>

#include <cstddef>

namespace snipeplank::core
{

namespace
{

/// A group of bytes, and the characters that encode it.
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_text = 4;

} // namespace

std::string encode_base64(const std::string& bytes)
{
    // EVP_EncodeBlock writes a terminating null character.
    std::string text((bytes.size() + group_bytes - 1) / group_bytes * group_text + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decode_base64(const std::string& text)
{
    if (text.size() % group_text != 0)
        return std::nullopt;
    std::string bytes(text.size() / group_text * group_bytes, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace snipeplank::core
