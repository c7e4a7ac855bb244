/// @file
/// Frames that the encoder does not produce, for tests of invalid input.

#ifndef SNIPEPLANK_WIRE_TESTS_RAW_FRAME_HPP
#define SNIPEPLANK_WIRE_TESTS_RAW_FRAME_HPP

#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/generated/frame_generated.h>

#include <cstdint>
#include <string>

namespace snipeplank::wire::tests
{

/// @brief Builds a frame without its length prefix.
/// @param build callable that takes the builder and returns the kind and table of the body
template <typename Build>
std::string build_payload(std::uint16_t version, Build build)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto [kind, table] = build(builder);
    fb::FinishFrameBuffer(builder, fb::CreateFrame(builder, version, kind, table));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @brief Adds the length prefix to a payload of less than 128 bytes.
inline std::string with_length(const std::string& payload)
{
    std::string frame(length_bytes, '\0');
    frame[0] = static_cast<char>(payload.size());
    return frame + payload;
}

} // namespace snipeplank::wire::tests

#endif
