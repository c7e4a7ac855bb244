/// @file
/// Frames that the encoder would not write.

#ifndef SNIPEPLANK_WIRE_TESTS_RAW_FRAME_HPP
#define SNIPEPLANK_WIRE_TESTS_RAW_FRAME_HPP

#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/generated/frame_generated.h>

#include <cstdint>
#include <string>

namespace snipeplank::wire::tests
{

/// @brief A frame without its length.
/// @param build takes the builder and returns the kind and the table of the body
template <typename Build>
std::string build_payload(std::uint16_t version, Build build)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto [kind, table] = build(builder);
    fb::FinishFrameBuffer(builder, fb::CreateFrame(builder, version, kind, table));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @brief A payload below 128 bytes with its length in front.
inline std::string with_length(const std::string& payload)
{
    std::string frame(length_bytes, '\0');
    frame[0] = static_cast<char>(payload.size());
    return frame + payload;
}

} // namespace snipeplank::wire::tests

#endif
