/// Routes of the caller server, and checks before a call is served.

#include <snipeplank/gateway/problem.hpp>

#include <strings.h>

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
using std::chrono::steady_clock;

/// Requests are refused above this share of the connection limit, so that a thread is still
/// available to send the refusal.
constexpr double max_connection_share = 0.9;

constexpr int http_ok = 200;

constexpr int http_continue = 100;

constexpr int http_too_large = 413;

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, execution::no, std::move(remedy), core::milliseconds{0}};
}

} // namespace

request_head make_head(const httplib::Request& request)
{
    request_head head;
    head.method = request.method;
    head.path = request.path;
    head.target = request.target;
    for (const auto& [name, value] : request.headers)
    {
        head.headers.push_back({name, value});
    }
    return head;
}

caller_handlers::caller_handlers(const caller_server_parts& parts)
    : m_parts(parts), m_server(parts.settings.max_connections), m_random(core::system_seed())
{
    add_routes();
}

void caller_handlers::add_routes()
{
    httplib::Server& server = m_server.routes();
    server.set_payload_max_length(m_parts.settings.max_body.count);
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& response)
               { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [this](const httplib::Request&, httplib::Response& response)
               { send_readiness(response); });
    server.Get("/v1/entry-points",
               [this](const httplib::Request& request, httplib::Response& response)
               { entry_points(request, response); });
    server.Get("/v1/tickets/(.+)",
               [this](const httplib::Request& request, httplib::Response& response)
               { ticket_outcome(request, response); });
    const auto with_body = [this](const httplib::Request& request, httplib::Response& response,
                                  const httplib::ContentReader& reader)
    { serve(request, response, &reader); };
    const auto without_body = [this](const httplib::Request& request, httplib::Response& response)
    { serve(request, response, nullptr); };
    server.Get(".*", without_body);
    server.Options(".*", without_body);
    server.Post(".*", with_body);
    server.Put(".*", with_body);
    server.Patch(".*", with_body);
    server.Delete(".*", with_body);
    server.set_expect_100_continue_handler(
        [this](const httplib::Request& request, httplib::Response& response)
        { return check_before_body(request, response); });
    server.set_error_handler([this](const httplib::Request&, httplib::Response& response)
                             { refuse_protocol_error(response); });
    server.set_exception_handler(
        [this](const httplib::Request&, httplib::Response& response, const std::exception_ptr&)
        {
            send_refusal(response,
                         refuse(refusal_reason::internal, "report this with the request id"),
                         m_parts.numbers.next_request_id(m_parts.admin));
        });
}

void caller_handlers::send_readiness(httplib::Response& response)
{
    const bool is_ready = m_parts.view.get()->is_ready && !m_parts.is_draining;
    response.status = is_ready ? http_ok : policy::http_status(refusal_reason::not_ready);
    response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
}

void caller_handlers::send_refusal(httplib::Response& response, refusal why,
                                   const std::string& request_id)
{
    m_parts.counters.count_refusal(why.reason);
    add_jitter(why);
    response.status = policy::http_status(why.reason);
    response.set_header("Snipeplank-Request-Id", request_id);
    const long seconds = retry_after_seconds(why);
    if (seconds > 0)
        response.set_header("Retry-After", std::to_string(seconds));
    response.set_content(to_problem_json(why, request_id), "application/problem+json");
}

void caller_handlers::add_jitter(refusal& why)
{
    if (why.retry_after.count() <= 0)
        return;
    const std::lock_guard lock(m_random_mutex);
    const double factor = 0.75 + 0.5 * m_random.unit();
    why.retry_after = core::milliseconds{
        static_cast<long>(static_cast<double>(why.retry_after.count()) * factor)};
}

void caller_handlers::refuse_protocol_error(httplib::Response& response)
{
    if (!response.body.empty() || response.has_header("Snipeplank-Request-Id"))
        return;
    const bool is_too_large = response.status == http_too_large;
    send_refusal(response,
                 is_too_large
                     ? refuse(refusal_reason::body_too_large, "send a smaller body")
                     : refuse(refusal_reason::bad_request,
                              "send a well-formed HTTP/1.1 request with headers under 8 KB"),
                 m_parts.numbers.next_request_id(m_parts.admin));
}

std::optional<refusal> caller_handlers::check_node(const request_head& head)
{
    if (m_parts.is_draining && !has_own_ticket(head))
        return refusal{refusal_reason::draining, execution::no,
                       "use another entry point; GET /v1/entry-points names them",
                       core::milliseconds{100}};
    if (m_parts.config.get()->version.get() == 0 ||
        (!m_parts.is_draining && !m_parts.view.get()->is_ready))
        return refusal{refusal_reason::not_ready, execution::no,
                       "wait until the node has a configuration", core::milliseconds{1'000}};
    const auto limit = static_cast<double>(m_parts.settings.max_connections) * max_connection_share;
    if (static_cast<double>(m_server.connections()) > limit)
        return refusal{refusal_reason::overloaded, execution::no,
                       "use another entry point or retry later", core::milliseconds{1'000}};
    return std::nullopt;
}

bool caller_handlers::has_own_ticket(const request_head& head) const
{
    for (const header_field& field : head.headers)
    {
        // Header names are compared without regard to case (RFC 9110, section 5.1).
        if (::strcasecmp(field.name.c_str(), "Idempotency-Key") != 0)
            continue;
        const core::result<policy::ticket> parsed = policy::parse_ticket(field.value);
        return parsed && parsed.value().issuer.address == m_parts.settings.peer_address;
    }
    return false;
}

int caller_handlers::check_before_body(const httplib::Request& request, httplib::Response& response)
{
    call parsed;
    const request_head head = make_head(request);
    std::optional<refusal> refused = check_node(head);
    if (!refused && !is_ticket_path(head.path))
        refused = parse_head(head, m_parts.config.get(), m_parts.settings.region,
                             steady_clock::now(), parsed);
    if (!refused)
        return http_continue;
    send_refusal(response, *refused, m_parts.numbers.next_request_id(m_parts.admin));
    return response.status;
}

std::unique_ptr<caller_server> make_caller_server(const caller_server_parts& parts)
{
    return std::make_unique<caller_handlers>(parts);
}

} // namespace snipeplank::gateway
