/// @file
/// Cuts a byte stream into frames.

#ifndef SNIPEPLANK_WIRE_FRAMING_HPP
#define SNIPEPLANK_WIRE_FRAMING_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/wire/codec.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace snipeplank::wire
{

/// @brief Collects received bytes and returns whole payloads.
///
/// Memory stays below the limit plus one read, because a length above the limit is refused before
/// its bytes are awaited.
/// @code
/// frame_reader reader(max_frame_bytes);
/// reader.append(bytes);
/// auto payload = reader.next();
/// @endcode
class frame_reader
{
  public:
    explicit frame_reader(std::size_t limit) : m_limit(limit) {}

    /// @brief Changes the largest accepted payload.
    void set_limit(std::size_t limit) { m_limit = limit; }

    /// @brief Adds received bytes.
    void append(std::string_view bytes);

    /// @brief The next payload, nothing when more bytes are needed, or `frame_too_large`.
    core::result<std::optional<std::string>> next();

    /// @brief Whether a part of a frame has been received: closing now truncates it.
    bool is_inside_frame() const { return m_start < m_buffer.size(); }

  private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_start = 0;
};

} // namespace snipeplank::wire

#endif
