/// @file
/// Messages between nodes.

#ifndef SNIPEPLANK_WIRE_MESSAGES_HPP
#define SNIPEPLANK_WIRE_MESSAGES_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/policy/call_outcome.hpp>
#include <snipeplank/policy/quota_exchange.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/software_version_key.hpp>
#include <snipeplank/policy/ticket_table.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::wire
{

/// Protocol version of frames. Frames with another version are rejected.
constexpr std::uint16_t protocol_version = 1;

/// @brief First frame in each direction. Handled by `peer_network`, never delivered to the handler.
struct hello
{
    std::uint16_t protocol = protocol_version;
    core::node_id node;
    core::region_id region;
    core::zone_id zone;
    std::string nonce; ///< 32 random bytes
    std::string proof; ///< HMAC-SHA256 over both nonces and the identity; empty in the first frame

    friend bool operator==(const hello&, const hello&) = default;
};

/// @brief Shows that an idle connection is alive. Never delivered to the handler.
struct heartbeat
{
    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// @brief A node on the path of a call.
struct hop
{
    core::region_id region;
    core::zone_id zone;
    core::node_id node;

    friend bool operator==(const hop&, const hop&) = default;
};

/// @brief A caller's request, as nodes forward it to each other.
struct call_request
{
    core::service_id service;
    core::account_id account; ///< empty when no accounts are configured
    core::region_id home;
    settings::residency residency = settings::residency::bound;
    bool is_interactive = true;
    std::string request_id;          ///< assigned by the entry node
    core::milliseconds remaining{0}; ///< time until the deadline, when sent
    std::vector<hop> path;           ///< entry node first
    std::string method;
    std::string target; ///< path and query for the upstream
    policy::header_list headers;
    std::string body;
    /// The only one at which the stream may go on, of which this is a continuation; 0: any.
    policy::software_version_key software_version;
    /// Of the configuration by which the entry node has chosen `service`; 0: not told.
    core::config_version config_version;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// @brief Runs an idempotent call, or a call without a ticket, which is never retried.
struct call
{
    core::call_number number;
    call_request request;

    friend bool operator==(const call&, const call&) = default;
};

/// @brief Status and headers of an answer.
struct call_head
{
    core::call_number number;
    int status = 0;
    policy::header_list headers;
    policy::software_version_key software_version; ///< of the upstream; 0: not told

    friend bool operator==(const call_head&, const call_head&) = default;
};

/// @brief Part of the body of an answer.
struct call_chunk
{
    core::call_number number;
    std::uint64_t offset = 0;
    std::string data;

    friend bool operator==(const call_chunk&, const call_chunk&) = default;
};

/// @brief End of a complete answer.
struct call_end
{
    core::call_number number;
    std::uint64_t length = 0;
    std::uint64_t checksum = 0; ///< XXH64 of the whole body

    friend bool operator==(const call_end&, const call_end&) = default;
};

/// @brief The call was not served, or its answer was cut off.
struct call_refused
{
    core::call_number number;
    policy::refusal why;

    friend bool operator==(const call_refused&, const call_refused&) = default;
};

/// @brief The sender no longer wants the answer.
struct cancel
{
    core::call_number number;
    std::string ticket; ///< empty for a call without a ticket

    friend bool operator==(const cancel&, const cancel&) = default;
};

/// @brief Asks the issuing node to reserve a ticket.
struct reserve
{
    core::call_number number;
    std::string ticket;
    std::string body_hash; ///< SHA-256, hexadecimal
    core::milliseconds remaining{0};

    friend bool operator==(const reserve&, const reserve&) = default;
};

/// @brief Grants a reservation. In every other case the answer to `reserve` is `outcome`.
struct reserved
{
    core::call_number number;
    policy::reservation_number reservation;

    friend bool operator==(const reserved&, const reserved&) = default;
};

/// @brief Authorises the issuing node to run the call.
struct commit
{
    core::call_number number;
    policy::reservation_number reservation;
    std::string ticket;
    call_request request;

    friend bool operator==(const commit&, const commit&) = default;
};

/// @brief Asks for the outcome of a call. `ticket` is empty for a call without a ticket.
struct outcome_request
{
    core::call_number number;
    core::incarnation issuer; ///< the incarnation that was asked to run the call
    std::string ticket;

    friend bool operator==(const outcome_request&, const outcome_request&) = default;
};

/// @brief Outcome of a call.
struct outcome
{
    core::call_number number;
    policy::call_outcome result;

    friend bool operator==(const outcome&, const outcome&) = default;
};

/// @brief One part of the recorded outcomes of a stopping node, sent to its successor.
struct handover
{
    core::node_id former;
    core::milliseconds frozen_at{0}; ///< on the stopping node's monotonic clock
    std::uint32_t part = 0;          ///< index, from 0
    std::uint32_t parts = 1;
    std::vector<policy::outcome_record> records;

    friend bool operator==(const handover&, const handover&) = default;
};

/// @brief Confirms that the successor has stored this part.
struct handover_ack
{
    core::node_id former;
    std::uint32_t part = 0;

    friend bool operator==(const handover_ack&, const handover_ack&) = default;
};

/// @brief Any message. The messages of the fleet package use the same frames.
using message =
    std::variant<hello, heartbeat, fleet::gossip, fleet::config_request, fleet::config_reply, call,
                 call_head, call_chunk, call_end, call_refused, cancel, reserve, reserved, commit,
                 outcome_request, outcome, handover, handover_ack, policy::quota_message>;

} // namespace snipeplank::wire

#endif
