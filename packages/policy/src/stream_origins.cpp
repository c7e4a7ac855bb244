#include <snipeplank/policy/stream_origins.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::policy
{

stream_origins::stream_origins() : m_entries(max_streams) {}

std::uint32_t stream_origins::to_ms(core::time_point at) const
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<core::milliseconds>(at.time_since_epoch()).count());
}

/// Negative when the time of the entry is over, also for one that was never used.
std::int32_t stream_origins::left_ms(const entry& held, core::time_point now) const
{
    if (held.stream == stream_key{})
        return -1;
    const auto left = static_cast<std::int32_t>(held.ends_ms - to_ms(now));
    return left > max_lifetime.count() ? -1 : left;
}

std::size_t stream_origins::first_of_set(stream_key stream) const
{
    const std::size_t sets = m_entries.size() / entries_per_set;
    return static_cast<std::size_t>(stream.get() % sets) * entries_per_set;
}

void stream_origins::record(stream_key stream, stream_origin origin, core::time_point now)
{
    if (stream == stream_key{} || origin.left.count() <= 0)
        return;
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(first_of_set(stream));
    const auto last = first + entries_per_set;
    const auto known = std::find_if(first, last,
                                    [&](const entry& each)
                                    { return each.stream == stream && left_ms(each, now) >= 0; });
    const auto left = std::min(origin.left, max_lifetime);
    const std::uint32_t ends_ms = to_ms(now) + static_cast<std::uint32_t>(left.count());
    if (known == last)
    {
        *std::min_element(first, last,
                          [&](const entry& a, const entry& b) {
                              return left_ms(a, now) < left_ms(b, now);
                          }) = {stream, origin.version, ends_ms};
        return;
    }
    if (known->version != origin.version)
        known->version = software_version_key{};
    if (left.count() > left_ms(*known, now))
        known->ends_ms = ends_ms;
}

std::optional<stream_origin> stream_origins::find(stream_key stream, core::time_point now) const
{
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(first_of_set(stream));
    const auto last = first + entries_per_set;
    for (auto each = first; each != last; ++each)
    {
        const std::int32_t left = left_ms(*each, now);
        if (each->stream == stream && left >= 0)
            return stream_origin{each->version, core::milliseconds{left}};
    }
    return std::nullopt;
}

std::vector<held_stream> stream_origins::held(core::time_point now) const
{
    std::vector<held_stream> found;
    for (const entry& each : m_entries)
    {
        const std::int32_t left = left_ms(each, now);
        if (left >= 0)
            found.push_back({each.stream, {each.version, core::milliseconds{left}}});
    }
    return found;
}

std::size_t stream_origins::size(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                                                  [&](const entry& each)
                                                  { return left_ms(each, now) >= 0; }));
}

} // namespace snipeplank::policy
