/// @file
/// Splits a byte stream into frames.

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

/// @brief Buffers received bytes and returns complete payloads (frames without length prefix).
///
/// The buffer never exceeds the limit by more than one read, because a length prefix above the
/// limit is rejected as soon as it arrives.
/// @code
/// frame_reader reader(max_frame_bytes);
/// reader.append(bytes);
/// auto payload = reader.next();
/// @endcode
class frame_reader
{
  public:
    explicit frame_reader(std::size_t limit) : m_limit(limit) {}

    /// @brief Sets the maximum payload size.
    void set_limit(std::size_t limit) { m_limit = limit; }

    /// @brief Appends received bytes.
    void append(std::string_view bytes);

    /// @brief The next payload, `std::nullopt` when more bytes are needed, or `frame_too_large`.
    core::result<std::optional<std::string>> next();

    /// @brief Whether the buffer holds an incomplete frame, which a close would truncate.
    bool is_inside_frame() const { return m_start < m_buffer.size(); }

  private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_start = 0;
};

} // namespace snipeplank::wire

#endif
