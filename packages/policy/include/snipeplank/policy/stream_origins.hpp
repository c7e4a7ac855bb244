/// @file
/// The software versions that began streams which clients may still take up. Pure.

#ifndef SNIPEPLANK_POLICY_STREAM_ORIGINS_HPP
#define SNIPEPLANK_POLICY_STREAM_ORIGINS_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/software_version_key.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace snipeplank::policy
{

/// Hash of the id of the client's attempt that brought the first event of a stream.
using stream_key = core::strong_type<std::uint64_t, struct stream_key_tag>;

inline stream_key stream_key_of(std::string_view attempt_id)
{
    return stream_key{core::hash64(attempt_id)};
}

/// @brief What is known of the beginning of a stream.
struct stream_origin
{
    software_version_key version; ///< 0: the records of it differ
    core::milliseconds left{0};   ///< how long the stream may still be taken up
};

/// @brief A stream and its origin.
struct held_stream
{
    stream_key stream;
    stream_origin origin;
};

/// @brief Bounded table of the streams that may still be taken up. Its size is fixed.
///
/// A stream has a place in one set of a few entries, chosen by its key; a full set drops the stream
/// whose time ends first.
class stream_origins
{
  public:
    /// Bytes that a stream takes.
    static constexpr std::size_t bytes_per_stream = 16;
    /// Upper bound of the streams that are held.
    static constexpr std::size_t max_streams = 32'768;
    /// Longest time for which a stream is held.
    static constexpr core::milliseconds max_lifetime{300'000};

    stream_origins();

    /// @brief Records which software version began a stream. Another record of the same stream that
    /// names another version makes its origin unknown. O(1).
    /// @param left how long the stream may still be taken up
    void record(stream_key stream, stream_origin origin, core::time_point now);

    /// @brief The origin of a stream; nothing without a record. O(1).
    std::optional<stream_origin> find(stream_key stream, core::time_point now) const;

    /// @brief All streams that are held. O(max_streams).
    std::vector<held_stream> held(core::time_point now) const;

    /// @brief Number of streams that are held. O(max_streams).
    std::size_t size(core::time_point now) const;

  private:
    /// Times wrap around after 49 days; only differences are used.
    struct entry
    {
        stream_key stream;
        software_version_key version;
        std::uint32_t ends_ms = 0;
    };
    static_assert(sizeof(entry) == bytes_per_stream);

    static constexpr std::size_t entries_per_set = 8;

    std::uint32_t to_ms(core::time_point at) const;
    std::int32_t left_ms(const entry& held, core::time_point now) const;
    std::size_t first_of_set(stream_key stream) const;

    std::vector<entry> m_entries;
};

} // namespace snipeplank::policy

#endif
