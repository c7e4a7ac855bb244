#include <snipeplank/core/compression.hpp>

#include <zlib.h>

namespace snipeplank::core
{

namespace
{

const Bytef* bytes_of(const std::string& text)
{
    return reinterpret_cast<const Bytef*>(text.data()); // NOLINT: zlib takes unsigned bytes
}

Bytef* bytes_of(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data()); // NOLINT: zlib takes unsigned bytes
}

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(size, '\0');
    // Fails only for want of room or memory; there is room for the bound.
    compress2(bytes_of(compressed), &size, bytes_of(bytes), static_cast<uLong>(bytes.size()),
              Z_BEST_SPEED);
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(const std::string& compressed, std::size_t size)
{
    // One byte more, so that a longer result is noticed, and none has no room at all.
    std::string bytes(size + 1, '\0');
    uLongf length = static_cast<uLongf>(bytes.size());
    uLong used = static_cast<uLong>(compressed.size());
    const int result = uncompress2(bytes_of(bytes), &length, bytes_of(compressed), &used);
    if (result != Z_OK || length != size || used != compressed.size())
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

} // namespace snipeplank::core
