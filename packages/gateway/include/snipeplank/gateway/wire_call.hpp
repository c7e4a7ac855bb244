/// @file
/// Conversion of calls to and from their wire form.

#ifndef SNIPEPLANK_GATEWAY_WIRE_CALL_HPP
#define SNIPEPLANK_GATEWAY_WIRE_CALL_HPP

#include <snipeplank/gateway/call.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/wire/messages.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <variant>

namespace snipeplank::gateway
{

/// @brief Id, region and zone of a node; one entry of a call's path.
struct node_location
{
    core::node_id node;
    core::region_id region;
    core::zone_id zone;
};

/// @brief Converts a call for a peer and adds this node to its path.
wire::call_request to_wire(const call& request, const node_location& self, core::time_point now);

/// @brief Validates a call received from a peer: path, residency, service, deadline.
/// @param sender the authenticated peer; the path must end with it
std::variant<call, policy::refusal> from_wire(wire::call_request received, config_ptr config,
                                              const wire::peer_identity& sender,
                                              const node_location& self, core::time_point now);

/// @brief Converts a call that this node sent to itself as the issuer of the ticket.
std::variant<call, policy::refusal> from_own_node(wire::call_request received, config_ptr config,
                                                  core::time_point now);

/// @brief Converts headers to their wire form.
policy::header_list to_list(const std::vector<header_field>& headers);

/// @brief Converts headers from their wire form.
std::vector<header_field> to_fields(const policy::header_list& headers);

/// @brief Builds the head of an answer from its status and headers.
answer_head make_answer_head(int status, const policy::header_list& headers);

/// @brief Headers of an answer, including its content type.
policy::header_list head_headers(const answer_head& head);

} // namespace snipeplank::gateway

#endif
