/// @file
/// Messages to frames and back.
///
/// A frame is a 4-byte little-endian length and a FlatBuffers `Frame`. The decoder accepts nothing
/// that the verifier refuses, and bounds what it copies by the size of the frame.

#ifndef SNIPEPLANK_WIRE_CODEC_HPP
#define SNIPEPLANK_WIRE_CODEC_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/wire/messages.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace snipeplank::wire
{

/// Bytes of the length in front of a frame.
constexpr std::size_t length_bytes = 4;

/// Largest frame without its length: a body of 1 MB and 64 KB for headers.
constexpr std::size_t max_frame_bytes = 1'048'576 + 65'536;

/// Longest duration that a message may carry.
constexpr core::milliseconds max_duration{86'400'000};

/// @brief The frame of a message, length included.
/// @return the bytes, or `frame_too_large`
/// O(n) in the size of the message.
core::result<std::string> encode(const message& what);

/// @brief The message in a frame without its length.
/// @return the message, `frame_unverified`, `frame_wrong_version` or `frame_unknown_message`
/// O(n) in the size of the frame.
core::result<message> decode(std::string_view payload);

/// @brief Name of the kind of message, as in metrics.
std::string_view kind_name(const message& what);

} // namespace snipeplank::wire

#endif
