/// @file
/// Encoding of messages as frames.
///
/// A frame is a 4-byte little-endian length prefix followed by a FlatBuffers `Frame`. The decoder
/// rejects buffers that fail verification and never copies more bytes than the frame has.

#ifndef SNIPEPLANK_WIRE_CODEC_HPP
#define SNIPEPLANK_WIRE_CODEC_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/wire/messages.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace snipeplank::wire
{

/// Size of the length prefix of a frame.
constexpr std::size_t length_bytes = 4;

/// Maximum size of a frame without its length prefix: a body of 1 MiB and 64 KiB for headers.
constexpr std::size_t max_frame_bytes = 1'048'576 + 65'536;

/// Maximum duration in a message (24 hours).
constexpr core::milliseconds max_duration{86'400'000};

/// @brief Encodes a message as a frame with its length prefix.
/// @return the frame, or `frame_too_large`
/// O(n) in the size of the message.
core::result<std::string> encode(const message& msg);

/// @brief Decodes a frame without its length prefix.
/// @return the message, or `frame_unverified`, `frame_wrong_version` or `frame_unknown_message`
/// O(n) in the size of the frame.
core::result<message> decode(std::string_view payload);

/// @brief Name of the message kind, as used in metrics.
std::string_view kind_name(const message& msg);

} // namespace snipeplank::wire

#endif
