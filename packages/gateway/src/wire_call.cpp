#include <snipeplank/gateway/wire_call.hpp>
#include <snipeplank/policy/residency.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::refusal;
using policy::refusal_reason;

/// Upper bound for the remaining time received from a peer. The entry node refuses a longer one.
constexpr core::milliseconds max_deadline{600'000};

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, policy::execution::no, std::move(remedy), core::milliseconds{0}};
}

policy::path_hop to_path_hop(const wire::hop& hop)
{
    return {hop.region, hop.zone, hop.node.address};
}

/// Converts the received path; nothing when it is not a valid path.
std::optional<policy::call_path> read_path(const std::vector<wire::hop>& hops)
{
    policy::call_path path;
    for (const wire::hop& hop : hops)
    {
        const policy::path_hop next = to_path_hop(hop);
        if (!path.may_add(next))
            return std::nullopt;
        path = path.with(next);
    }
    return path;
}

/// Builds the call without its path. The stricter of the sender's and the service's residency
/// applies.
std::variant<call, refusal> build(wire::call_request received, config_ptr config,
                                  core::time_point now)
{
    call request;
    request.config = std::move(config);
    const settings::service_config* service = request.config->find_service(received.service);
    if (service == nullptr)
        return refuse(refusal_reason::unknown_service,
                      "the service is not configured here; check the versions in force with "
                      "snipeplankctl status");
    if (received.remaining.count() <= 0)
        return refuse(refusal_reason::deadline_passed, "allow more time");
    request.residency = policy::stricter_of(received.residency, service->residency);
    request.request_id = std::move(received.request_id);
    request.service = std::move(received.service);
    request.account = std::move(received.account);
    request.home = std::move(received.home);
    request.priority =
        received.is_interactive ? policy::call_priority::interactive : policy::call_priority::batch;
    request.received = now;
    request.deadline = now + std::min(received.remaining, max_deadline);
    request.method = std::move(received.method);
    request.target = std::move(received.target);
    request.headers = to_fields(received.headers);
    request.body = std::move(received.body);
    request.is_idempotent = !service->non_idempotent_methods.contains(request.method);
    return request;
}

} // namespace

wire::call_request to_wire(const call& request, const node_location& self, core::time_point now)
{
    wire::call_request message;
    message.service = request.service;
    message.account = request.account;
    message.home = request.home;
    message.residency = request.residency;
    message.is_interactive = request.priority == policy::call_priority::interactive;
    message.request_id = request.request_id;
    message.remaining = request.remaining(now);
    for (const policy::path_hop& hop : request.path.hops())
    {
        message.path.push_back({hop.region, hop.zone, core::node_id{hop.node, {}}});
    }
    message.path.push_back({self.region, self.zone, self.node});
    message.method = request.method;
    message.target = request.target;
    message.headers = to_list(request.headers);
    message.body = request.body;
    return message;
}

std::variant<call, refusal> from_wire(wire::call_request received, config_ptr config,
                                      const wire::peer_identity& sender, const node_location& self,
                                      core::time_point now)
{
    const std::optional<policy::call_path> path = read_path(received.path);
    const policy::path_hop from{sender.region, sender.zone, sender.node.address};
    const policy::path_hop here{self.region, self.zone, self.node.address};
    if (!path || !policy::is_plausible(*path, from, here))
        return refuse(refusal_reason::loop, "the call's path may not enter this node; use an entry "
                                            "point of the home region");
    if (!policy::may_be_served_in(received.residency, received.home, self.region))
        return refuse(refusal_reason::residency,
                      "the call must stay in region " + received.home.get());
    std::variant<call, refusal> built = build(std::move(received), std::move(config), now);
    auto* request = std::get_if<call>(&built);
    if (request == nullptr)
        return built;
    request->path = *path;
    if (!policy::may_be_served_in(request->residency, request->home, self.region))
        return refuse(refusal_reason::residency,
                      "the service is bound to region " + request->home.get());
    return built;
}

std::variant<call, refusal> from_own_node(wire::call_request received, config_ptr config,
                                          core::time_point now)
{
    return build(std::move(received), std::move(config), now);
}

policy::header_list to_list(const std::vector<header_field>& headers)
{
    policy::header_list list;
    for (const header_field& field : headers)
    {
        list.emplace_back(field.name, field.value);
    }
    return list;
}

std::vector<header_field> to_fields(const policy::header_list& headers)
{
    std::vector<header_field> fields;
    for (const auto& [name, value] : headers)
    {
        fields.push_back({name, value});
    }
    return fields;
}

answer_head make_answer_head(int status, const policy::header_list& headers)
{
    answer_head head;
    head.status = status;
    for (const auto& [name, value] : headers)
    {
        if (name == "Content-Type")
            head.content_type = value;
        else
            head.headers.push_back({name, value});
    }
    head.is_event_stream = head.content_type.starts_with("text/event-stream");
    return head;
}

policy::header_list head_headers(const answer_head& head)
{
    policy::header_list list = to_list(head.headers);
    if (!head.content_type.empty())
        list.emplace_back("Content-Type", head.content_type);
    return list;
}

} // namespace snipeplank::gateway
