/// @file
/// Messages between the fleet modules of two nodes, as plain values.
///
/// The codec is in `wire`. The size of gossip is bounded: `estimated_size` is an upper bound for
/// the encoded size, provided that strings are in tables and that `upstream_load`,
/// `upstream_leaving`, `service_load`, `prompt_crash`, `prompt_answer`, `upstream_limit` and
/// `stream_origin` are encoded as FlatBuffers structs of 24, 16, 16, 32, 16, 16 and 16 bytes.
/// Hashes may be encoded as 32 raw bytes.

#ifndef SNIPEPLANK_FLEET_MESSAGES_HPP
#define SNIPEPLANK_FLEET_MESSAGES_HPP

#include <snipeplank/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::fleet
{

/// Maximum encoded size of a gossip message; it fits one Ethernet frame.
constexpr std::size_t max_gossip_bytes = 1'100;

/// @brief State of one incarnation; `leaving` and `dead` are final.
enum class member_state : std::uint8_t
{
    alive = 0,
    suspected = 1,
    leaving = 2,
    dead = 3,
};

/// @brief State of one incarnation of the sender's region, as the sender knows it.
struct member_update
{
    core::node_id id;             ///< with the peer address
    core::address caller_address; ///< where callers reach the member
    core::zone_id zone;
    member_state state = member_state::alive;
    std::uint32_t counter = 0; ///< raised by the member itself to refute a suspicion

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// @brief Identifies the configuration of a node.
struct config_digest
{
    core::config_version version; ///< 0 when the node has none
    std::string manifest_hash;    ///< SHA-256, 64 hexadecimal characters; empty when none
    bool in_force = false;        ///< false during the activation delay

    friend bool operator==(const config_digest&, const config_digest&) = default;
};

/// @brief Load of one upstream of the sender's region as sampled by a prober. 24 bytes encoded.
struct upstream_load
{
    std::uint64_t upstream_key = 0;   ///< `upstream_key(address)`
    std::uint32_t prober = 0;         ///< low 32 bits of the prober's incarnation
    std::uint32_t sequence = 0;       ///< incremented with each report of one prober
    std::uint16_t running = 0;        ///< requests, saturating
    std::uint16_t waiting = 0;        ///< requests, saturating
    std::uint16_t cache_permille = 0; ///< used fraction of the KV cache in thousandths
    std::uint16_t age_centis = 0;     ///< hundredths of a second since the sample, saturating

    friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

/// @brief An upstream that some source reports as leaving. 16 bytes encoded.
struct upstream_leaving
{
    /// `upstream_key(address)`, or the hash of the upstream's run if the upstream said it itself.
    std::uint64_t upstream_key = 0;
    std::uint32_t age_ms = 0; ///< since a source last reported it

    friend bool operator==(const upstream_leaving&, const upstream_leaving&) = default;
};

/// @brief An upstream crashed while it began to answer a request. 32 bytes encoded.
struct prompt_crash
{
    std::uint64_t part_key = 0;     ///< hash of a part of the prompt, or of the whole request
    std::uint64_t upstream_key = 0; ///< hash of the id of the upstream's run
    std::uint32_t sent_ms_ago = 0;  ///< since the request was sent
    std::uint32_t ms_ago = 0;       ///< since the crash
    std::uint16_t position = 0; ///< of the part in the prompt, from 0; 65,535: the whole request

    friend bool operator==(const prompt_crash&, const prompt_crash&) = default;
};

/// @brief An upstream answered a request that was suspected, or a prompt with such a part. 16 bytes
/// encoded.
struct prompt_answer
{
    std::uint64_t part_key = 0; ///< as in `prompt_crash`
    std::uint32_t ms_ago = 0;   ///< since the answer

    friend bool operator==(const prompt_answer&, const prompt_answer&) = default;
};

/// @brief How many requests an upstream takes from all nodes, or that it names no limit any longer.
/// 16 bytes encoded.
struct upstream_limit
{
    static constexpr std::uint32_t no_limit = 0xFFFF'FFFFU;

    std::uint64_t upstream_key = 0;        ///< hash of the upstream's run
    std::uint32_t limit_millis = no_limit; ///< thousandths of a request a second
    std::uint32_t age_ms = 0;              ///< of the answer that said so

    friend bool operator==(const upstream_limit&, const upstream_limit&) = default;
};

/// @brief The software version that began a stream, or a question for it. 16 bytes encoded.
struct stream_origin
{
    std::uint64_t stream_key = 0; ///< hash of the client's attempt that brought the first event
    /// Of service and software version; 0: not known; 0xFFFF'FFFF: it may be one of several. In a
    /// question the `service_key`.
    std::uint32_t version_key = 0;
    /// How long the stream may still be taken up; 0 in a question, and in an answer that no record
    /// stands behind: the version is the only one that can have begun a stream of the service.
    std::uint32_t left_ms = 0;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// @brief The newest change of a kind of published state that a node knows. 16 bytes encoded.
struct state_change
{
    std::uint64_t era = 0;      ///< of the source; revisions are given out again in each
    std::uint64_t revision = 0; ///< 0: none is known

    friend bool operator==(const state_change&, const state_change&) = default;
};

/// @brief Total load of the upstreams of one service in one region. 16 bytes encoded.
struct service_load
{
    std::uint32_t service_key = 0; ///< `service_key(name)`
    std::uint16_t upstreams = 0;   ///< live ones, saturating
    std::uint32_t running = 0;     ///< requests
    std::uint32_t waiting = 0;     ///< requests

    friend bool operator==(const service_load&, const service_load&) = default;
};

/// @brief Addresses of a node of another region.
struct entry_point
{
    core::address peer;
    core::address caller;

    friend bool operator==(const entry_point&, const entry_point&) = default;
};

/// @brief Summary of one region for the other regions.
struct region_summary
{
    core::region_id region;
    std::uint64_t issuer = 0;   ///< incarnation of the relay that computed it
    std::uint32_t sequence = 0; ///< incremented with each summary of one issuer
    std::uint32_t age_ms = 0;   ///< since it was computed
    std::uint16_t live_nodes = 0;
    std::vector<entry_point> entry_points; ///< at most `max_summary_entry_points`
    std::vector<service_load> services;    ///< at most `max_summary_services`

    friend bool operator==(const region_summary&, const region_summary&) = default;
};

constexpr std::size_t max_summary_entry_points = 3;
constexpr std::size_t max_summary_services = 16;

enum class gossip_kind : std::uint8_t
{
    ping = 0,         ///< asks for an `ack` with the same sequence
    ping_request = 1, ///< asks the receiver to ping `target` on the sender's behalf
    ack = 2,          ///< `target` is the member that answered
    announce = 3,     ///< needs no answer
};

/// @brief One message of the membership protocol with piggybacked items.
struct gossip
{
    gossip_kind kind = gossip_kind::announce;
    std::uint32_t sequence = 0; ///< number of the sender's ping; echoed by the ack
    core::address target;       ///< see `gossip_kind`; empty otherwise
    member_update sender;       ///< the sender about itself, with its peer address
    core::region_id sender_region;
    config_digest digest;
    bool wants_members = false; ///< asks for `announce` messages with every member
    std::vector<member_update> members;
    std::vector<upstream_load> loads;
    std::vector<upstream_leaving> leaving;
    std::vector<region_summary> regions;
    std::vector<prompt_crash> prompt_crashes;
    std::vector<prompt_answer> prompt_answers;
    std::vector<upstream_limit> limits;
    /// Nodes that the sender counts, itself included; 0 while its member list may be incomplete.
    std::uint16_t nodes_in_fleet = 0;
    std::uint16_t nodes_in_region = 0; ///< of the sender
    std::vector<stream_origin> stream_origins;
    std::vector<stream_origin> wanted_origins; ///< asks for an answer in `stream_origins`
    state_change configuration_change;         ///< of the sender's configuration
    state_change evacuations_change;           ///< of the zones that it takes for evacuated

    friend bool operator==(const gossip&, const gossip&) = default;
};

/// @brief Requests configuration texts by their hashes.
struct config_request
{
    /// @brief One requested text and, if the requester has an older version, the base for a delta.
    struct item
    {
        std::string hash;      ///< SHA-256 of the requested text, hexadecimal
        std::string base_hash; ///< SHA-256 of a text that the requester has; may be empty

        friend bool operator==(const item&, const item&) = default;
    };
    std::vector<item> items;

    friend bool operator==(const config_request&, const config_request&) = default;
};

/// @brief One step of a delta: copies bytes of the base text, then appends new text.
struct delta_step
{
    std::uint32_t copy_from = 0;  ///< offset in the base text, in bytes
    std::uint32_t copy_count = 0; ///< bytes
    std::string append;

    friend bool operator==(const delta_step&, const delta_step&) = default;
};

/// @brief Answer to one item of a `config_request`; the receiver checks the hash.
struct config_reply
{
    std::string hash;
    bool found = false;
    std::string text;              ///< the whole text, when `delta` is empty
    std::string base_hash;         ///< base of the delta
    std::vector<delta_step> delta; ///< used instead of `text` when not empty

    friend bool operator==(const config_reply&, const config_reply&) = default;
};

using message = std::variant<gossip, config_request, config_reply>;

/// @brief Hash that identifies an upstream in load messages. O(length).
std::uint64_t upstream_key(const core::address& upstream);

/// @brief Hash that identifies a service in summaries. O(length).
std::uint32_t service_key(const core::service_id& service);

/// @brief Upper bound of the encoded size in bytes, without transport overhead. O(items).
std::size_t estimated_size(const message& value);
std::size_t estimated_size(const member_update& value);
std::size_t estimated_size(const upstream_load& value);
std::size_t estimated_size(const upstream_leaving& value);
std::size_t estimated_size(const region_summary& value);

} // namespace snipeplank::fleet

#endif
