#include <snipeplank/core/hash.hpp>
#include <snipeplank/gateway/caller_front.hpp>
#include <snipeplank/gateway/problem.hpp>
#include <snipeplank/gateway/request_parser.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "http_server.hpp"

namespace snipeplank::gateway
{

namespace
{

using nlohmann::json;
using policy::execution;
using policy::refusal;
using policy::refusal_reason;
using std::chrono::steady_clock;

/// Longest answer that is held whole; a longer one must be an event stream.
constexpr std::size_t max_whole_answer = 16'777'216;

/// How often a waiting thread looks whether the caller is still there.
constexpr core::milliseconds caller_check{100};

/// Connections above this part of the limit are refused, so that a refusal still finds a thread.
constexpr double refuse_above = 0.9;

constexpr long entry_point_ttl_ms = 2'000;
constexpr int http_ok = 200;
constexpr int http_continue = 100;
constexpr int http_too_large = 413;

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, execution::no, std::move(remedy), core::milliseconds{0}};
}

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

/// Counts a request from its headers to the end of its answer.
class flight
{
  public:
    explicit flight(std::atomic<std::size_t>& count) : m_count(count) { ++m_count; }
    ~flight() { --m_count; }
    flight(const flight&) = delete;
    flight& operator=(const flight&) = delete;

  private:
    std::atomic<std::size_t>& m_count;
};

double elapsed_ms(core::time_point since)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() - since).count();
}

/// A call whose answer is being streamed to its caller.
struct streamed_call
{
    std::shared_ptr<flight> in_flight;
    std::unique_ptr<running_answer> answer;
    call_record record;
    core::time_point received;
};

class http_caller_front final : public caller_front
{
  public:
    explicit http_caller_front(const caller_front_parts& parts)
        : m_parts(parts), m_server(parts.settings.max_connections), m_random(core::system_seed())
    {
        add_routes();
    }

    core::result<void> start() override { return m_server.start(m_parts.settings.caller_address); }
    std::size_t in_flight() const override { return m_in_flight; }
    void stop() override { m_server.stop(); }

  private:
    using request_t = httplib::Request;
    using response_t = httplib::Response;

    void add_routes()
    {
        httplib::Server& server = m_server.routes();
        server.set_payload_max_length(m_parts.settings.max_body.count);
        server.Get("/healthz", [](const request_t&, response_t& response)
                   { response.set_content("ok\n", "text/plain"); });
        server.Get("/readyz", [this](const request_t&, response_t& response) { ready(response); });
        server.Get("/v1/entry-points", [this](const request_t& request, response_t& response)
                   { entry_points(request, response); });
        server.Get("/v1/tickets/(.+)", [this](const request_t& request, response_t& response)
                   { ticket_outcome(request, response); });
        const auto with_body = [this](const request_t& request, response_t& response,
                                      const httplib::ContentReader& reader)
        { serve(request, response, &reader); };
        const auto without_body = [this](const request_t& request, response_t& response)
        { serve(request, response, nullptr); };
        server.Get(".*", without_body);
        server.Options(".*", without_body);
        server.Post(".*", with_body);
        server.Put(".*", with_body);
        server.Patch(".*", with_body);
        server.Delete(".*", with_body);
        server.set_expect_100_continue_handler(
            [this](const request_t& request, response_t& response)
            { return check_before_body(request, response); });
        server.set_error_handler([this](const request_t&, response_t& response)
                                 { protocol_error(response); });
        server.set_exception_handler(
            [this](const request_t&, response_t& response, const std::exception_ptr&)
            {
                give(response, refuse(refusal_reason::internal, "report this with the request id"),
                     m_parts.numbers.next_request_id(m_parts.admin));
            });
    }

    void ready(response_t& response)
    {
        const bool is_ready = m_parts.view.get()->is_ready && !m_parts.is_draining;
        response.status = is_ready ? http_ok : policy::http_status(refusal_reason::not_ready);
        response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
    }

    /// Answers a refusal and counts it.
    void give(response_t& response, refusal why, const std::string& request_id)
    {
        m_parts.counters.count_refusal(why.reason);
        spread(why);
        response.status = policy::http_status(why.reason);
        response.set_header("Snipeplank-Request-Id", request_id);
        const long seconds = retry_after_seconds(why);
        if (seconds > 0)
            response.set_header("Retry-After", std::to_string(seconds));
        response.set_content(to_problem_json(why, request_id), "application/problem+json");
    }

    /// Jitter keeps refused callers from coming back at the same moment.
    void spread(refusal& why)
    {
        if (why.retry_after.count() <= 0)
            return;
        const std::lock_guard lock(m_random_mutex);
        const double factor = 0.75 + 0.5 * m_random.unit();
        why.retry_after = core::milliseconds{
            static_cast<long>(static_cast<double>(why.retry_after.count()) * factor)};
    }

    /// Refuses what the HTTP library rejected before a route was found.
    void protocol_error(response_t& response)
    {
        if (!response.body.empty() || response.has_header("Snipeplank-Request-Id"))
            return;
        const bool is_too_large = response.status == http_too_large;
        give(response,
             is_too_large ? refuse(refusal_reason::body_too_large, "send a smaller body")
                          : refuse(refusal_reason::bad_request,
                                   "send a well-formed HTTP/1.1 request with headers under 8 KB"),
             m_parts.numbers.next_request_id(m_parts.admin));
    }

    std::optional<refusal> check_node(const request_head& head)
    {
        if (m_parts.is_draining && !names_own_ticket(head))
            return refusal{refusal_reason::draining, execution::no,
                           "use another entry point; GET /v1/entry-points names them",
                           core::milliseconds{100}};
        if (m_parts.config.get()->version.get() == 0 || !m_parts.view.get()->is_ready)
            return refusal{refusal_reason::not_ready, execution::no,
                           "wait until the node has a configuration", core::milliseconds{1'000}};
        const auto limit = static_cast<double>(m_parts.settings.max_connections) * refuse_above;
        if (static_cast<double>(m_server.connections()) > limit)
            return refusal{refusal_reason::overloaded, execution::no,
                           "use another entry point or retry later", core::milliseconds{1'000}};
        return std::nullopt;
    }

    /// Tickets already issued are honoured until the node's work is done.
    bool names_own_ticket(const request_head& head) const
    {
        for (const header_field& field : head.headers)
        {
            if (field.name != "Idempotency-Key")
                continue;
            const core::result<policy::ticket> parsed = policy::parse_ticket(field.value);
            return parsed && parsed.value().issuer.address == m_parts.settings.peer_address;
        }
        return false;
    }

    /// Decides on the headers alone, while the caller still holds the body back.
    int check_before_body(const request_t& request, response_t& response)
    {
        call parsed;
        const request_head head = make_head(request);
        std::optional<refusal> refused = check_node(head);
        if (!refused && !is_own_path(head.path))
            refused = parse_head(head, m_parts.config.get(), m_parts.settings.region,
                                 steady_clock::now(), parsed);
        if (!refused)
            return http_continue;
        give(response, *refused, m_parts.numbers.next_request_id(m_parts.admin));
        return response.status;
    }

    static bool is_own_path(const std::string& path) { return path == "/v1/tickets"; }

    void serve(const request_t& http, response_t& response, const httplib::ContentReader* reader)
    {
        auto in_flight = std::make_shared<flight>(m_in_flight);
        m_parts.counters.count(counter::calls);
        call request;
        request.request_id = m_parts.numbers.next_request_id(m_parts.admin);
        response.set_header("Snipeplank-Request-Id", request.request_id);
        const request_head head = make_head(http);
        std::optional<refusal> refused = check_node(head);
        if (!refused && !is_own_path(head.path))
            refused = parse_head(head, m_parts.config.get(), m_parts.settings.region,
                                 steady_clock::now(), request);
        std::string body;
        const std::optional<refusal> unread =
            reader == nullptr ? std::nullopt : read_body(*reader, refused.has_value(), body);
        if (!refused)
            refused = unread;
        if (!refused && is_own_path(head.path))
        {
            issue_ticket(http, body, response, request.request_id);
            return;
        }
        if (!refused)
            refused = parse_body(std::move(body), m_parts.settings.region, request);
        if (!refused)
            refused = admit_account(request, http);
        if (refused)
        {
            give_and_record(response, request, *refused, {});
            return;
        }
        if (request.is_idempotent || request.ticket.empty())
            serve_call(request, response, std::move(in_flight));
        else
            serve_ticketed(request, response);
    }

    /// Reads the body; of a refused request it is read and dropped, so that the connection can
    /// carry the next request.
    std::optional<refusal> read_body(const httplib::ContentReader& reader, bool is_refused,
                                     std::string& body)
    {
        const std::size_t limit = m_parts.settings.max_body.count;
        std::size_t received = 0;
        const bool is_whole = reader(
            [&](const char* data, std::size_t size)
            {
                received += size;
                if (!is_refused && received <= limit)
                    body.append(data, size);
                return received <= limit;
            });
        if (received > limit)
            return refuse(refusal_reason::body_too_large,
                          "send a body of at most " + std::to_string(limit) + " bytes");
        if (!is_whole)
            return refuse(refusal_reason::bad_request,
                          "send the whole body, within " + std::to_string(limit) + " bytes");
        return std::nullopt;
    }

    std::optional<refusal> admit_account(const call& request, const request_t& http)
    {
        if (request.config->accounts.empty())
            return std::nullopt;
        constexpr std::size_t scheme_length = 7; // "Bearer "
        const std::string header = http.get_header_value("Authorization");
        const auto account = request.config->accounts.find(
            core::sha256_hex(header.substr(std::min(scheme_length, header.size()))));
        if (account == request.config->accounts.end())
            return std::nullopt;
        return m_parts.dispatch.with(
            [&](policy::dispatcher& d, core::random_source& r)
            { return d.admit_account(account->second, request.received, r); });
    }

    static call_record make_record(const call& request)
    {
        call_record record;
        record.request_id = request.request_id;
        record.service = request.service.get();
        record.home = request.home.get();
        record.residency = request.residency == settings::residency::free ? "free" : "bound";
        record.config_version = request.config ? request.config->version.get() : 0;
        return record;
    }

    void give_and_record(response_t& response, const call& request, const refusal& why,
                         std::vector<attempt_record> attempts)
    {
        call_record record = make_record(request);
        record.attempts = std::move(attempts);
        record.result = policy::to_string(why.reason);
        record.executed = policy::to_string(why.executed);
        if (request.received != core::time_point{})
            record.total_ms = elapsed_ms(request.received);
        m_parts.log.add(std::move(record));
        give(response, why, request.request_id);
    }

    void serve_call(const call& request, response_t& response, std::shared_ptr<flight> in_flight)
    {
        call_record record = make_record(request);
        call_result result = m_parts.calls.start(request, record);
        if (const auto* refused = std::get_if<refusal>(&result))
        {
            give_and_record(response, request, *refused, std::move(record.attempts));
            return;
        }
        auto answer = std::move(std::get<std::unique_ptr<running_answer>>(result));
        const answer_head& head = answer->head();
        response.status = head.status;
        for (const header_field& field : head.headers)
        {
            response.set_header(field.name, field.value);
        }
        if (head.is_event_stream)
            stream(std::move(answer), std::move(record), request.received, std::move(in_flight),
                   response);
        else
            give_whole(request, std::move(record), *answer, response);
    }

    void give_whole(const call& request, call_record record, running_answer& answer,
                    response_t& response)
    {
        std::string body;
        while (!answer.is_complete() && !answer.failure() && body.size() <= max_whole_answer &&
               steady_clock::now() < request.deadline)
        {
            if (std::optional<std::string> chunk = answer.next(caller_check))
                body += *chunk;
        }
        if (!answer.is_complete())
        {
            response.headers.clear();
            give_and_record(response, request,
                            {refusal_reason::upstream_failed, execution::unknown,
                             "the upstream's answer was not whole; ask again",
                             core::milliseconds{1'000}},
                            std::move(record.attempts));
            return;
        }
        response.set_content(body, answer.head().content_type);
        finish(std::move(record), request.received, "answered");
    }

    void stream(std::unique_ptr<running_answer> answer, call_record record,
                core::time_point received, std::shared_ptr<flight> in_flight, response_t& response)
    {
        auto state = std::make_shared<streamed_call>();
        state->in_flight = std::move(in_flight);
        state->answer = std::move(answer);
        state->record = std::move(record);
        state->received = received;
        const std::string content_type = state->answer->head().content_type;
        response.set_chunked_content_provider(
            content_type,
            [state](std::size_t, httplib::DataSink& sink) { return pass_on(*state->answer, sink); },
            [this, state](bool)
            {
                const bool is_whole = state->answer->is_complete();
                const bool is_broken = state->answer->failure().has_value();
                if (!is_whole)
                    m_parts.counters.count(is_broken ? counter::aborted_answers
                                                     : counter::cancelled_by_caller);
                finish(std::move(state->record), state->received,
                       is_whole    ? "answered"
                       : is_broken ? "aborted"
                                   : "cancelled by caller");
                state->answer.reset();
                state->in_flight.reset();
            });
    }

    /// Passes one chunk on. False aborts the connection, so a broken answer never ends cleanly.
    static bool pass_on(running_answer& answer, httplib::DataSink& sink)
    {
        if (const std::optional<std::string> chunk = answer.next(caller_check))
            return sink.write(chunk->data(), chunk->size());
        if (answer.is_complete())
        {
            sink.done();
            return true;
        }
        return !answer.failure() && sink.is_writable();
    }

    void finish(call_record record, core::time_point received, std::string result)
    {
        record.result = std::move(result);
        record.total_ms = elapsed_ms(received);
        m_parts.counters.observe(latency::whole_call, record.total_ms);
        if (record.result == "answered")
            m_parts.counters.count(counter::answered);
        m_parts.log.add(std::move(record));
    }

    void serve_ticketed(const call& request, response_t& response)
    {
        call_record record = make_record(request);
        const ticketed_result result = m_parts.tickets.run(request, record);
        if (const auto* refused = std::get_if<refusal>(&result))
        {
            give_and_record(response, request, *refused, std::move(record.attempts));
            return;
        }
        const auto& answer = std::get<policy::upstream_answer>(result);
        const answer_head head = make_answer_head(answer.status, answer.headers);
        response.status = head.status;
        for (const header_field& field : head.headers)
        {
            response.set_header(field.name, field.value);
        }
        response.set_content(answer.body, head.content_type);
        finish(std::move(record), request.received, "answered");
    }

    void issue_ticket(const request_t& http, const std::string& body, response_t& response,
                      const std::string& request_id)
    {
        const json document = json::parse(body, nullptr, false);
        const bool is_named = http.method == "POST" && document.is_object() &&
                              document.contains("service") && document["service"].is_string();
        if (!is_named)
        {
            give(response,
                 refuse(refusal_reason::bad_request, "POST {\"service\": NAME} to /v1/tickets"),
                 request_id);
            return;
        }
        const core::service_id service{document["service"].get<std::string>()};
        if (m_parts.config.get()->find_service(service) == nullptr)
        {
            give(response, refuse(refusal_reason::unknown_service, "name a configured service"),
                 request_id);
            return;
        }
        const policy::issue_result issued = m_parts.tickets.issue(service);
        if (const auto* refused = std::get_if<refusal>(&issued))
        {
            give(response, *refused, request_id);
            return;
        }
        const auto& ticket = std::get<policy::issued_ticket>(issued);
        const json answer = {{"ticket", ticket.text},
                             {"expires_in_ms", ticket.expires_in.count()},
                             {"entry_point", m_parts.settings.caller_address.get()}};
        response.set_content(answer.dump(), "application/json");
    }

    void ticket_outcome(const request_t& http, response_t& response)
    {
        const flight in_flight(m_in_flight);
        const std::string request_id = m_parts.numbers.next_request_id(m_parts.admin);
        const auto outcome = m_parts.tickets.look_up(http.matches[1]);
        if (!outcome)
        {
            const json pending = {{"state", "pending"},
                                  {"executed", "unknown"},
                                  {"remedy", "the call is running or its node is out of reach; "
                                             "ask again"}};
            response.set_content(pending.dump(), "application/json");
            return;
        }
        if (outcome->why.reason == refusal_reason::ticket_invalid &&
            outcome->kind == policy::outcome_kind::not_run)
        {
            give(response, outcome->why, request_id);
            return;
        }
        response.set_content(describe(*outcome).dump(), "application/json");
    }

    static json describe(const policy::call_outcome& outcome)
    {
        switch (outcome.kind)
        {
        case policy::outcome_kind::answered:
            return {{"state", "done"},
                    {"executed", "yes"},
                    {"status", outcome.answer.status},
                    {"body", outcome.answer.body}};
        case policy::outcome_kind::answer_not_kept:
            return {{"state", "done"}, {"executed", "yes"}, {"status", outcome.answer.status}};
        case policy::outcome_kind::not_run:
            return {{"state", "not_run"}, {"executed", "no"}, {"remedy", outcome.why.remedy}};
        case policy::outcome_kind::unknown:
            break;
        }
        return {{"state", "unknown"}, {"executed", "unknown"}, {"remedy", outcome.why.remedy}};
    }

    void entry_points(const request_t& http, response_t& response)
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
        response.set_content(answer.dump(), "application/json");
    }

    std::vector<core::address> addresses_for(const core::region_id& home, const request_t& http)
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
        const auto nodes = view->others.find(home);
        if (nodes == view->others.end())
            return addresses;
        for (const node_addresses& node : nodes->second)
        {
            addresses.push_back(node.caller);
        }
        return addresses;
    }

    static const settings::account_config* find_account(const settings::published_config& config,
                                                        const request_t& http)
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

    caller_front_parts m_parts;
    http_server m_server;
    std::atomic<std::size_t> m_in_flight{0};
    std::mutex m_random_mutex;
    core::seeded_random m_random;
};

} // namespace

std::unique_ptr<caller_front> make_caller_front(const caller_front_parts& parts)
{
    return std::make_unique<http_caller_front>(parts);
}

} // namespace snipeplank::gateway
