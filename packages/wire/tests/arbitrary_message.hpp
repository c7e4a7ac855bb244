/// @file
/// Generators of arbitrary messages for RapidCheck properties.

#ifndef SNIPEPLANK_WIRE_TESTS_ARBITRARY_MESSAGE_HPP
#define SNIPEPLANK_WIRE_TESTS_ARBITRARY_MESSAGE_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/messages.hpp>

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipeplank::wire::tests
{

/// @brief One arbitrary value.
template <typename Value>
Value any()
{
    return *rc::gen::arbitrary<Value>();
}

/// @brief One arbitrary value of a strong type.
template <typename Strong>
Strong any_strong()
{
    return Strong{any<typename Strong::value_type>()};
}

/// @brief A number in [0, bound].
inline std::uint64_t any_up_to(std::uint64_t bound)
{
    return any<std::uint64_t>() % (bound + 1);
}

/// @brief An arbitrary enumerator up to `last`.
template <typename Enum>
Enum any_enumerator(Enum last)
{
    return static_cast<Enum>(any_up_to(static_cast<std::uint64_t>(last)));
}

/// @brief A list of up to five items made by `make`.
template <typename Make>
auto any_list(Make make)
{
    constexpr std::uint64_t max_items = 5;
    std::vector<decltype(make())> items;
    for (std::uint64_t left = any_up_to(max_items); left > 0; --left)
    {
        items.push_back(make());
    }
    return items;
}

inline core::milliseconds any_duration()
{
    return core::milliseconds(any_up_to(max_duration.count()));
}

inline core::node_id any_node()
{
    return {any_strong<core::address>(), any_strong<core::incarnation>()};
}

inline policy::header_list any_headers()
{
    return any_list([] { return std::pair{any<std::string>(), any<std::string>()}; });
}

inline policy::refusal any_refusal()
{
    return {any_enumerator(policy::last_refusal_reason), any_enumerator(policy::execution::yes),
            any<std::string>(), any_duration(), any<bool>()};
}

inline policy::call_outcome any_outcome()
{
    return {any_enumerator(policy::outcome_kind::unknown),
            any_strong<policy::reservation_number>(),
            any_refusal(),
            {any<std::int32_t>(), any_headers(), any<std::string>()}};
}

inline call_request any_request()
{
    call_request to;
    to.service = any_strong<core::service_id>();
    to.account = any_strong<core::account_id>();
    to.home = any_strong<core::region_id>();
    to.residency = any_enumerator(settings::residency::free);
    to.is_interactive = any<bool>();
    to.request_id = any<std::string>();
    to.remaining = any_duration();
    to.path = any_list(
        [] {
            return hop{any_strong<core::region_id>(), any_strong<core::zone_id>(), any_node()};
        });
    to.method = any<std::string>();
    to.target = any<std::string>();
    to.headers = any_headers();
    to.body = any<std::string>();
    to.software_version = any_strong<policy::software_version_key>();
    to.config_version = any_strong<core::config_version>();
    return to;
}

inline fleet::member_update any_member()
{
    return {any_node(), any_strong<core::address>(), any_strong<core::zone_id>(),
            any_enumerator(fleet::member_state::dead), any<std::uint32_t>()};
}

inline fleet::region_summary any_region()
{
    fleet::region_summary to;
    to.region = any_strong<core::region_id>();
    to.issuer = any<std::uint64_t>();
    to.sequence = any<std::uint32_t>();
    to.age_ms = any<std::uint32_t>();
    to.live_nodes = any<std::uint16_t>();
    to.entry_points = any_list(
        [] {
            return fleet::entry_point{any_strong<core::address>(), any_strong<core::address>()};
        });
    to.services = any_list(
        []
        {
            return fleet::service_load{any<std::uint32_t>(), any<std::uint16_t>(),
                                       any<std::uint32_t>(), any<std::uint32_t>()};
        });
    return to;
}

inline fleet::gossip any_gossip()
{
    fleet::gossip to;
    to.kind = any_enumerator(fleet::gossip_kind::announce);
    to.sequence = any<std::uint32_t>();
    to.target = any_strong<core::address>();
    to.sender = any_member();
    to.sender_region = any_strong<core::region_id>();
    to.digest = {any_strong<core::config_version>(),
                 any<bool>() ? core::sha256_hex(any<std::string>()) : any<std::string>(),
                 any<bool>()};
    to.wants_members = any<bool>();
    to.members = any_list(any_member);
    to.loads = any_list(
        []
        {
            return fleet::upstream_load{any<std::uint64_t>(), any<std::uint32_t>(),
                                        any<std::uint32_t>(), any<std::uint16_t>(),
                                        any<std::uint16_t>(), any<std::uint16_t>(),
                                        any<std::uint16_t>()};
        });
    to.prompt_crashes = any_list(
        []
        {
            return fleet::prompt_crash{any<std::uint64_t>(), any<std::uint64_t>(),
                                       any<std::uint32_t>(), any<std::uint32_t>(),
                                       any<std::uint16_t>()};
        });
    to.limits = any_list(
        []
        {
            return fleet::upstream_limit{any<std::uint64_t>(), any<std::uint32_t>(),
                                         any<std::uint32_t>()};
        });
    to.prompt_answers = any_list(
        [] {
            return fleet::prompt_answer{any<std::uint64_t>(), any<std::uint32_t>()};
        });
    to.leaving = any_list(
        [] {
            return fleet::upstream_leaving{any<std::uint64_t>(), any<std::uint32_t>()};
        });
    to.regions = any_list(any_region);
    to.nodes_in_fleet = any<std::uint16_t>();
    to.nodes_in_region = any<std::uint16_t>();
    // A change without a revision is none, and is not encoded.
    const auto any_change = []
    {
        const auto revision = any<std::uint64_t>();
        return revision == 0 ? fleet::state_change{}
                             : fleet::state_change{any<std::uint64_t>(), revision};
    };
    to.configuration_change = any_change();
    to.evacuations_change = any_change();
    const auto any_origin = [] {
        return fleet::stream_origin{any<std::uint64_t>(), any<std::uint32_t>(),
                                    any<std::uint32_t>()};
    };
    to.stream_origins = any_list(any_origin);
    to.wanted_origins = any_list(any_origin);
    return to;
}

inline fleet::config_reply any_config_reply()
{
    return {any<std::string>(), any<bool>(), any<std::string>(), any<std::string>(),
            any_list(
                [] {
                    return fleet::delta_step{any<std::uint32_t>(), any<std::uint32_t>(),
                                             any<std::string>()};
                })};
}

inline handover any_handover()
{
    constexpr std::uint32_t max_parts = 20;
    const auto part = static_cast<std::uint32_t>(any_up_to(max_parts));
    return {any_node(), any_duration(), part,
            part + 1 + static_cast<std::uint32_t>(any_up_to(max_parts)),
            any_list(
                [] {
                    return policy::outcome_record{any<std::string>(), any<std::string>(),
                                                  any_outcome()};
                })};
}

inline policy::quota_message any_quota_message()
{
    policy::quota_message to;
    to.asker = any<std::uint64_t>();
    to.asks = any_list(
        []
        {
            return policy::quota_ask{any_strong<policy::quota_key>(),
                                     any_enumerator(policy::last_quota_ask_kind),
                                     any<std::uint32_t>(), any<float>(), any<std::uint16_t>()};
        });
    to.grants = any_list(
        []
        {
            return policy::quota_grant{any_strong<policy::quota_key>(), any<std::uint32_t>(),
                                       any<std::uint32_t>(), any<double>(), any<bool>()};
        });
    return to;
}

/// @brief An arbitrary message of the kind with this index in `message`.
inline message any_message(std::size_t kind)
{
    const auto number = any_strong<core::call_number>();
    const auto reservation = any_strong<policy::reservation_number>();
    switch (kind)
    {
    case 0:
        return hello{any<std::uint16_t>(),        any_node(),         any_strong<core::region_id>(),
                     any_strong<core::zone_id>(), any<std::string>(), any<std::string>()};
    case 1:
        return heartbeat{};
    case 2:
        return any_gossip();
    case 3:
        return fleet::config_request{any_list(
            [] {
                return fleet::config_request::item{any<std::string>(), any<std::string>()};
            })};
    case 4:
        return any_config_reply();
    case 5:
        return call{number, any_request()};
    case 6:
        return call_head{number, any<std::int32_t>(), any_headers(),
                         any_strong<policy::software_version_key>()};
    case 7:
        return call_chunk{number, any<std::uint64_t>(), any<std::string>()};
    case 8:
        return call_end{number, any<std::uint64_t>(), any<std::uint64_t>()};
    case 9:
        return call_refused{number, any_refusal()};
    case 10:
        return cancel{number, any<std::string>()};
    case 11:
        return reserve{number, any<std::string>(), any<std::string>(), any_duration()};
    case 12:
        return reserved{number, reservation};
    case 13:
        return commit{number, reservation, any<std::string>(), any_request()};
    case 14:
        return outcome_request{number, any_strong<core::incarnation>(), any<std::string>()};
    case 15:
        return outcome{number, any_outcome()};
    case 16:
        return any_handover();
    case 17:
        return handover_ack{any_node(), any<std::uint32_t>()};
    default:
        return any_quota_message();
    }
}

/// @brief An arbitrary message of an arbitrary kind.
inline message any_message()
{
    return any_message(any_up_to(std::variant_size_v<message> - 1));
}

} // namespace snipeplank::wire::tests

#endif
