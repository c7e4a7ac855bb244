/// Handlers for tickets and entry points.

#include <snipeplank/core/base64.hpp>
#include <snipeplank/core/json_text.hpp>
#include <snipeplank/core/printable.hpp>

#include <chrono>
#include <utility>

#include "caller_handlers.hpp"

namespace snipeplank::gateway
{

namespace
{

using nlohmann::json;
using policy::execution;
using policy::refusal;
using policy::refusal_reason;

constexpr long entry_point_ttl_ms = 2'000;

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, execution::no, std::move(remedy), core::milliseconds{0}};
}

/// A JSON string holds no bytes that are not UTF-8, so such a body is given in base64.
json describe_answer(const policy::upstream_answer& answer)
{
    json described = {{"state", "done"}, {"executed", "yes"}, {"status", answer.status}};
    if (core::is_utf8(answer.body))
        described["body"] = answer.body;
    else
        described["body_base64"] = core::encode_base64(answer.body);
    return described;
}

} // namespace

void caller_handlers::issue_ticket(const httplib::Request& http, const std::string& body,
                                   httplib::Response& response, const std::string& request_id)
{
    const json document = json::parse(body, nullptr, false);
    const bool is_valid = http.method == "POST" && document.is_object() &&
                          document.contains("service") && document["service"].is_string();
    if (!is_valid)
    {
        send_refusal(response,
                     refuse(refusal_reason::bad_request, "POST {\"service\": NAME} to /v1/tickets"),
                     request_id);
        return;
    }
    const core::service_id service{document["service"].get<std::string>()};
    if (m_parts.config.get()->find_service(service) == nullptr)
    {
        send_refusal(response, refuse(refusal_reason::unknown_service, "name a configured service"),
                     request_id);
        return;
    }
    const policy::issue_result issued = m_parts.tickets.issue(service);
    if (const auto* refused = std::get_if<refusal>(&issued))
    {
        send_refusal(response, *refused, request_id);
        return;
    }
    const auto& ticket = std::get<policy::issued_ticket>(issued);
    response.set_header("Snipeplank-Request-Id", request_id);
    const json answer = {{"ticket", ticket.text},
                         {"expires_in_ms", ticket.expires_in.count()},
                         {"entry_point", m_parts.settings.caller_address.get()}};
    response.set_content(core::json_text(answer), "application/json");
}

void caller_handlers::ticket_outcome(const httplib::Request& http, httplib::Response& response)
{
    const in_flight_guard in_flight(m_in_flight);
    const std::string request_id = m_parts.numbers.next_request_id(m_parts.admin);
    const auto outcome = m_parts.tickets.look_up(http.matches[1]);
    if (!outcome)
    {
        const json pending = {{"state", "pending"},
                              {"executed", "unknown"},
                              {"remedy", "the call is running or its node is out of reach; "
                                         "ask again"}};
        response.set_content(core::json_text(pending), "application/json");
        return;
    }
    if (outcome->why.reason == refusal_reason::ticket_invalid &&
        outcome->kind == policy::outcome_kind::not_run)
    {
        send_refusal(response, outcome->why, request_id);
        return;
    }
    response.set_content(core::json_text(describe(*outcome)), "application/json");
}

json caller_handlers::describe(const policy::call_outcome& outcome)
{
    switch (outcome.kind)
    {
    case policy::outcome_kind::answered:
        return describe_answer(outcome.answer);
    case policy::outcome_kind::answer_not_kept:
        return {{"state", "done"}, {"executed", "yes"}, {"status", outcome.answer.status}};
    case policy::outcome_kind::not_run:
        return {{"state", "not_run"}, {"executed", "no"}, {"remedy", outcome.why.remedy}};
    case policy::outcome_kind::unknown:
        break;
    }
    return {{"state", "unknown"}, {"executed", "unknown"}, {"remedy", outcome.why.remedy}};
}

void caller_handlers::entry_points(const httplib::Request& http, httplib::Response& response)
{
    const core::region_id home{http.has_param("home") ? http.get_param_value("home")
                                                      : m_parts.settings.region.get()};
    json addresses = json::array();
    for (const core::address& address : addresses_for(home, http))
    {
        addresses.push_back(address.get());
    }
    const json answer = {{"region", home.get()},
                         {"entry_points", std::move(addresses)},
                         {"ttl_ms", entry_point_ttl_ms}};
    response.set_content(core::json_text(answer), "application/json");
}

std::vector<core::address> caller_handlers::addresses_for(const core::region_id& home,
                                                          const httplib::Request& http)
{
    std::vector<core::address> addresses;
    if (home == m_parts.settings.region)
    {
        const config_ptr config = m_parts.config.get();
        const settings::account_config* account = find_account(*config, http);
        return m_parts.dispatch.with([&](policy::dispatcher& d, core::random_source& r)
                                     { return d.entry_points(account, r); });
    }
    const fleet_view_ptr view = m_parts.view.get();
    const auto nodes = view->remote_nodes.find(home);
    if (nodes == view->remote_nodes.end())
        return addresses;
    for (const node_addresses& node : nodes->second)
    {
        addresses.push_back(node.caller);
    }
    return addresses;
}

const settings::account_config*
caller_handlers::find_account(const settings::published_config& config,
                              const httplib::Request& http)
{
    if (!http.has_param("account"))
        return nullptr;
    const std::string name = http.get_param_value("account");
    for (const auto& [key, account] : config.accounts)
    {
        if (account.id.get() == name)
            return &account;
    }
    return nullptr;
}

} // namespace snipeplank::gateway
