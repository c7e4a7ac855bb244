#include <snipeplank/core/hash.hpp>
#include <snipeplank/fleet/messages.hpp>

namespace snipeplank::fleet
{

namespace
{

/// Frame length, root, `frame` table with protocol version, and vtables. Items with the same fields
/// left at their defaults share a vtable, others have one of their own.
constexpr std::size_t frame_bytes = 160;
/// Offset in the owner's vector or table, vtable offset and alignment of one table.
constexpr std::size_t table_bytes = 12;
constexpr std::size_t small_table_bytes = 8;
constexpr std::size_t vector_bytes = 8;
/// Offset, length and alignment of a vector of structs with 64-bit members.
constexpr std::size_t struct_vector_bytes = 12;
constexpr std::size_t load_bytes = 24;
constexpr std::size_t leaving_bytes = 16;
constexpr std::size_t service_load_bytes = 16;
constexpr std::size_t prompt_crash_bytes = 32;
constexpr std::size_t prompt_answer_bytes = 16;
constexpr std::size_t upstream_limit_bytes = 16;
constexpr std::size_t stream_origin_bytes = 16;

/// Offset, length, terminating zero and alignment.
std::size_t string_bytes(const std::string& text)
{
    constexpr std::size_t overhead = 12;
    return text.size() + overhead;
}

std::size_t size_of(const config_digest& digest)
{
    // A hash of 64 digits is encoded as 32 bytes; anything else as a string.
    constexpr std::size_t packed = 44;
    constexpr std::size_t sha256_digits = 64;
    if (digest.manifest_hash.size() == sha256_digits)
        return packed;
    return packed + string_bytes(digest.manifest_hash);
}

std::size_t size_of(const gossip& value)
{
    constexpr std::size_t scalars = 16;
    constexpr std::size_t state_change_bytes = 16;
    constexpr std::size_t vectors = 2;
    constexpr std::size_t struct_vectors = 7;
    std::size_t total = frame_bytes + table_bytes + scalars + vectors * vector_bytes +
                        struct_vectors * struct_vector_bytes;
    total += string_bytes(value.target.get()) + string_bytes(value.sender_region.get());
    total += estimated_size(value.sender) + size_of(value.digest);
    for (const member_update& item : value.members)
        total += estimated_size(item);
    total += value.loads.size() * load_bytes + value.leaving.size() * leaving_bytes;
    total += value.prompt_crashes.size() * prompt_crash_bytes +
             value.prompt_answers.size() * prompt_answer_bytes +
             value.limits.size() * upstream_limit_bytes +
             (value.stream_origins.size() + value.wanted_origins.size()) * stream_origin_bytes;
    for (const region_summary& item : value.regions)
        total += estimated_size(item);
    for (const state_change& item : {value.configuration_change, value.evacuations_change})
        total += item.revision > 0 ? state_change_bytes : 0;
    return total;
}

std::size_t size_of(const config_request& value)
{
    std::size_t total = frame_bytes + table_bytes + vector_bytes;
    for (const config_request::item& item : value.items)
        total += table_bytes + string_bytes(item.hash) + string_bytes(item.base_hash);
    return total;
}

std::size_t size_of(const config_reply& value)
{
    constexpr std::size_t step_scalars = 8;
    std::size_t total = frame_bytes + table_bytes + vector_bytes + string_bytes(value.hash) +
                        string_bytes(value.text) + string_bytes(value.base_hash);
    for (const delta_step& step : value.delta)
        total += table_bytes + step_scalars + string_bytes(step.append);
    return total;
}

} // namespace

std::uint64_t upstream_key(const core::address& upstream)
{
    return core::hash64(upstream.get());
}

std::uint32_t service_key(const core::service_id& service)
{
    return static_cast<std::uint32_t>(core::hash64(service.get()));
}

std::size_t estimated_size(const member_update& value)
{
    constexpr std::size_t scalars = 16;
    return table_bytes + scalars + string_bytes(value.id.address.get()) +
           string_bytes(value.caller_address.get()) + string_bytes(value.zone.get());
}

std::size_t estimated_size(const upstream_load& /*value*/)
{
    return load_bytes;
}

std::size_t estimated_size(const upstream_leaving& /*value*/)
{
    return leaving_bytes;
}

std::size_t estimated_size(const region_summary& value)
{
    constexpr std::size_t scalars = 24;
    std::size_t total = table_bytes + scalars + 2 * vector_bytes + string_bytes(value.region.get());
    for (const entry_point& item : value.entry_points)
        total +=
            small_table_bytes + string_bytes(item.peer.get()) + string_bytes(item.caller.get());
    return total + value.services.size() * service_load_bytes;
}

std::size_t estimated_size(const message& value)
{
    return std::visit([](const auto& body) { return size_of(body); }, value);
}

} // namespace snipeplank::fleet
