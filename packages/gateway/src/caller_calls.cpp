/// Serves calls: whole answers, streams and ticketed calls.

#include <snipeplank/core/hash.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include "caller_handlers.hpp"

namespace snipeplank::gateway
{

namespace
{

using policy::execution;
using policy::refusal;
using policy::refusal_reason;
using std::chrono::steady_clock;

/// Maximum size of a buffered answer; a longer one must be an event stream.
constexpr std::size_t max_buffered_answer_bytes = 16'777'216;

/// Interval at which a waiting thread checks whether the caller is still connected.
constexpr core::milliseconds caller_poll_interval{100};

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, execution::no, std::move(remedy), core::milliseconds{0}};
}

double elapsed_ms(core::time_point since)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() - since).count();
}

/// A call whose answer is being streamed to its caller.
struct streamed_call
{
    std::shared_ptr<in_flight_guard> in_flight;
    std::unique_ptr<running_answer> answer;
    call_record record;
    core::time_point received;
    bool is_recorded = false;
};

} // namespace

void caller_handlers::serve(const httplib::Request& http, httplib::Response& response,
                            const httplib::ContentReader* reader)
{
    auto in_flight = std::make_shared<in_flight_guard>(m_in_flight);
    m_parts.counters.count(counter::calls);
    call request;
    request.request_id = m_parts.numbers.next_request_id(m_parts.admin);
    const request_head head = make_head(http);
    std::optional<refusal> refused = check_node(head);
    if (!refused && is_ticket_path(head.path))
        refused = check_account(head, m_parts.config.get());
    else if (!refused)
        refused = parse_head(head, m_parts.config.get(), m_parts.settings.region,
                             steady_clock::now(), request);
    std::string body;
    const std::optional<refusal> body_refusal =
        reader == nullptr ? std::nullopt : read_body(*reader, response, refused.has_value(), body);
    if (!refused)
        refused = body_refusal;
    if (!refused && is_ticket_path(head.path))
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
        record_and_refuse(response, request, *refused, {});
        return;
    }
    if (request.is_idempotent || request.ticket.empty())
        serve_call(request, response, std::move(in_flight));
    else
        serve_ticketed(request, response);
}

std::optional<refusal> caller_handlers::read_body(const httplib::ContentReader& reader,
                                                  const httplib::Response& response,
                                                  bool is_refused, std::string& body)
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
    // The library checks a declared length itself and sets the status of the response.
    const int too_large = policy::http_status(refusal_reason::body_too_large);
    if (received > limit || response.status == too_large)
        return refuse(refusal_reason::body_too_large,
                      "send a body of at most " + std::to_string(limit) + " bytes");
    if (!is_whole)
        return refuse(refusal_reason::bad_request,
                      "send the whole body, within " + std::to_string(limit) + " bytes");
    return std::nullopt;
}

std::optional<refusal> caller_handlers::admit_account(const call& request,
                                                      const httplib::Request& http)
{
    if (!request.config->asks_for_keys)
        return std::nullopt;
    constexpr std::size_t scheme_length = 7; // "Bearer "
    const std::string header = http.get_header_value("Authorization");
    const auto account = request.config->accounts.find(
        core::sha256_hex(header.substr(std::min(scheme_length, header.size()))));
    if (account == request.config->accounts.end())
        return std::nullopt;
    return m_parts.dispatch.with([&](policy::dispatcher& d, core::random_source& r)
                                 { return d.admit_account(account->second, request.received, r); });
}

call_record caller_handlers::make_record(const call& request)
{
    call_record record;
    record.request_id = request.request_id;
    record.service = request.service.get();
    record.home = request.home.get();
    record.residency = request.residency == settings::residency::free ? "free" : "bound";
    record.config_version = request.config ? request.config->version.get() : 0;
    return record;
}

void caller_handlers::record_and_refuse(httplib::Response& response, const call& request,
                                        const refusal& why, std::vector<attempt_record> attempts)
{
    call_record record = make_record(request);
    record.attempts = std::move(attempts);
    record.result = policy::to_string(why.reason);
    record.executed = policy::to_string(why.executed);
    if (request.received != core::time_point{})
        record.total_ms = elapsed_ms(request.received);
    m_parts.log.add(std::move(record));
    send_refusal(response, why, request.request_id);
}

void caller_handlers::serve_call(const call& request, httplib::Response& response,
                                 std::shared_ptr<in_flight_guard> in_flight)
{
    call_record record = make_record(request);
    call_result result = m_parts.calls.start(request, record);
    if (const auto* refused = std::get_if<refusal>(&result))
    {
        record_and_refuse(response, request, *refused, std::move(record.attempts));
        return;
    }
    auto answer = std::move(std::get<std::unique_ptr<running_answer>>(result));
    const answer_head& head = answer->head();
    response.set_header("Snipeplank-Request-Id", request.request_id);
    response.status = head.status;
    for (const header_field& field : head.headers)
    {
        response.set_header(field.name, field.value);
    }
    if (head.is_event_stream)
        send_stream(std::move(answer), std::move(record), request.received, std::move(in_flight),
                    response);
    else
        send_buffered(request, std::move(record), *answer, response);
}

void caller_handlers::send_buffered(const call& request, call_record record, running_answer& answer,
                                    httplib::Response& response)
{
    std::string body;
    while (!answer.is_complete() && !answer.failure() && body.size() <= max_buffered_answer_bytes &&
           steady_clock::now() < request.deadline)
    {
        if (std::optional<std::string> chunk = answer.next(caller_poll_interval))
            body += *chunk;
    }
    if (!answer.is_complete())
    {
        response.headers.clear();
        record_and_refuse(response, request,
                          {refusal_reason::upstream_failed, execution::unknown,
                           "the upstream's answer was not whole; ask again",
                           core::milliseconds{1'000}},
                          std::move(record.attempts));
        return;
    }
    response.set_content(body, answer.head().content_type);
    finish(std::move(record), request.received, "answered");
}

void caller_handlers::send_stream(std::unique_ptr<running_answer> answer, call_record record,
                                  core::time_point received,
                                  std::shared_ptr<in_flight_guard> in_flight,
                                  httplib::Response& response)
{
    auto state = std::make_shared<streamed_call>();
    state->in_flight = std::move(in_flight);
    state->answer = std::move(answer);
    state->record = std::move(record);
    state->received = received;
    const std::string content_type = state->answer->head().content_type;
    const auto record_end = [this, state]
    {
        if (std::exchange(state->is_recorded, true))
            return;
        const bool is_whole = state->answer->is_complete();
        const bool is_broken = state->answer->failure().has_value();
        if (!is_whole)
            m_parts.counters.count(is_broken ? counter::aborted_answers
                                             : counter::cancelled_by_caller);
        finish(std::move(state->record), state->received,
               is_whole    ? "answered"
               : is_broken ? "aborted"
                           : "cancelled by caller");
    };
    response.set_chunked_content_provider(
        content_type,
        [state, record_end](std::size_t, httplib::DataSink& sink)
        { return forward_chunk(*state->answer, sink, record_end); },
        [state, record_end](bool)
        {
            record_end();
            state->answer.reset();
            state->in_flight.reset();
        });
}

bool caller_handlers::forward_chunk(running_answer& answer, httplib::DataSink& sink,
                                    const std::function<void()>& record_end)
{
    if (const std::optional<std::string> chunk = answer.next(caller_poll_interval))
        return sink.write(chunk->data(), chunk->size());
    if (answer.is_complete())
    {
        // A caller that has seen the end may ask for the record at once.
        record_end();
        sink.done();
        return true;
    }
    return !answer.failure() && sink.is_writable();
}

void caller_handlers::finish(call_record record, core::time_point received, std::string result)
{
    record.result = std::move(result);
    record.total_ms = elapsed_ms(received);
    m_parts.counters.observe(latency::whole_call, record.total_ms);
    const bool is_answered = record.result == "answered";
    record.executed = policy::to_string(is_answered ? execution::yes : execution::unknown);
    if (is_answered)
        m_parts.counters.count(counter::answered);
    m_parts.log.add(std::move(record));
}

void caller_handlers::serve_ticketed(const call& request, httplib::Response& response)
{
    call_record record = make_record(request);
    const ticketed_result result = m_parts.tickets.run(request, record);
    if (const auto* refused = std::get_if<refusal>(&result))
    {
        record_and_refuse(response, request, *refused, std::move(record.attempts));
        return;
    }
    const auto& answer = std::get<policy::upstream_answer>(result);
    const answer_head head = make_answer_head(answer.status, answer.headers);
    response.set_header("Snipeplank-Request-Id", request.request_id);
    response.status = head.status;
    for (const header_field& field : head.headers)
    {
        response.set_header(field.name, field.value);
    }
    response.set_content(answer.body, head.content_type);
    finish(std::move(record), request.received, "answered");
}

} // namespace snipeplank::gateway
