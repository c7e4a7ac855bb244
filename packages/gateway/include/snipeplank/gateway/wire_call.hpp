/// @file
/// A call as it travels between nodes.

#ifndef SNIPEPLANK_GATEWAY_WIRE_CALL_HPP
#define SNIPEPLANK_GATEWAY_WIRE_CALL_HPP

#include <snipeplank/gateway/call.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/wire/messages.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <variant>

namespace snipeplank::gateway
{

/// @brief This node as it stands in a call's path.
struct own_place
{
    core::node_id node;
    core::region_id region;
    core::zone_id zone;
};

/// @brief The call for a peer, with this node added to its path.
wire::call_request to_wire(const call& request, const own_place& self, core::time_point now);

/// @brief Checks a call received from a peer: path, residency, service, deadline.
/// @param sender the authenticated peer; the path must end with it
std::variant<call, policy::refusal> from_wire(wire::call_request received, config_ptr config,
                                              const wire::peer_identity& sender,
                                              const own_place& self, core::time_point now);

/// @brief A call that this node sent to itself: the issuer of its own ticket.
std::variant<call, policy::refusal> own_call(wire::call_request received, config_ptr config,
                                             core::time_point now);

/// @brief Headers as they travel between nodes.
policy::header_list to_list(const std::vector<header_field>& headers);

/// @brief Headers as the gateway holds them.
std::vector<header_field> to_fields(const policy::header_list& headers);

/// @brief The head of an answer from its status and headers.
answer_head make_answer_head(int status, const policy::header_list& headers);

/// @brief Headers of an answer with its content type among them.
policy::header_list head_headers(const answer_head& head);

} // namespace snipeplank::gateway

#endif
