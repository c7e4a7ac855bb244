/// @file
/// Compressed texts (zlib format, RFC 1950).

#ifndef SNIPEPLANK_CORE_COMPRESSION_HPP
#define SNIPEPLANK_CORE_COMPRESSION_HPP

#include <cstddef>
#include <optional>
#include <string>

namespace snipeplank::core
{

/// @brief Compresses any bytes, for speed rather than for size. O(n).
std::string compress(const std::string& bytes);

/// @brief Restores compressed bytes. O(size), whatever they are.
/// @param size of the result, in bytes
/// @return the result, or nothing when the bytes are damaged or give another size
std::optional<std::string> decompress(const std::string& compressed, std::size_t size);

} // namespace snipeplank::core

#endif
