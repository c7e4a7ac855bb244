#include <snipeplank/gateway/buffered_answer.hpp>
#include <snipeplank/gateway/ticket_runner.hpp>
#include <snipeplank/gateway/wire_call.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::call_outcome;
using policy::execution;
using policy::outcome_kind;
using policy::refusal;
using policy::refusal_reason;
using std::chrono::steady_clock;

/// Maximum answer of a ticketed call, which is buffered whole.
constexpr std::size_t max_answer_bytes = 16'777'216;

call_outcome not_run(refusal_reason reason, std::string remedy)
{
    call_outcome outcome;
    outcome.kind = outcome_kind::not_run;
    outcome.why = {reason, execution::no, std::move(remedy), core::milliseconds{1'000}};
    return outcome;
}

call_outcome unknown_outcome()
{
    call_outcome outcome;
    outcome.kind = outcome_kind::unknown;
    outcome.why = {refusal_reason::outcome_unknown, execution::unknown,
                   "the upstream gave no whole answer; look the booking up before ordering again",
                   core::milliseconds{1'000}};
    return outcome;
}

policy::attempt_outcome to_attempt_outcome(const call_outcome& outcome)
{
    if (outcome.kind == outcome_kind::answered)
        return policy::attempt_outcome::answered;
    if (outcome.why.reason == refusal_reason::upstream_refused)
        return policy::attempt_outcome::refused_busy;
    return policy::attempt_outcome::failed;
}

policy::retry_reason retry_reason_of(const call_outcome& outcome)
{
    return outcome.why.reason == refusal_reason::upstream_refused
               ? policy::retry_reason::refused_before_run
               : policy::retry_reason::connect_failed;
}

double elapsed_ms(const call& request)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() - request.received)
        .count();
}

} // namespace

call_outcome ticket_runner::run(const call& request, call_record& record,
                                const std::function<bool()>& may_send)
{
    policy::call_view view;
    view.service = request.service;
    view.home = request.home;
    view.residency = settings::residency::bound; // only the issuing node may run the call
    view.priority = request.priority;
    view.path = request.path;
    view.size = core::bytes{request.body.size()};
    std::optional<call_outcome> last;
    for (;;)
    {
        const core::time_point now = steady_clock::now();
        view.remaining = request.remaining(now);
        view.newest_home = request.home_in(*m_config.get());
        const policy::decision chosen = m_dispatch.with(
            [&](policy::dispatcher& d, core::random_source& r) { return d.route(view, now, r); });
        attempt_record entry;
        entry.kind = "ticket";
        entry.candidates = chosen.candidates;
        entry.limits_met = chosen.limits_met;
        entry.started_ms = elapsed_ms(request);
        const auto* target = std::get_if<policy::use_upstream>(&chosen.action);
        if (target == nullptr)
        {
            if (last)
                return *last;
            const auto* refused = std::get_if<refusal>(&chosen.action);
            call_outcome outcome =
                not_run(refused != nullptr ? refused->reason : refusal_reason::no_upstream,
                        refused != nullptr ? refused->remedy : "retry after the given time");
            if (refused != nullptr)
                outcome.why.retry_after = refused->retry_after;
            return outcome;
        }
        entry.target = target->address.get();
        if (!may_send())
        {
            m_dispatch.with([&](policy::dispatcher& d, auto&)
                            { d.on_abandoned(target->attempt, now); });
            return not_run(refusal_reason::deadline_passed, "allow more time");
        }
        call_outcome outcome = attempt(request, target->address);
        const core::time_point end = steady_clock::now();
        entry.ended_ms = elapsed_ms(request);
        entry.result = outcome.kind == outcome_kind::answered
                           ? std::to_string(outcome.answer.status)
                           : std::string(policy::to_string(outcome.why.reason));
        record.attempts.push_back(std::move(entry));
        const bool may_retry = m_dispatch.with(
            [&](policy::dispatcher& d, auto&)
            {
                d.on_finished(target->attempt, to_attempt_outcome(outcome), end);
                return outcome.kind == outcome_kind::not_run &&
                       d.may_retry(view, retry_reason_of(outcome), end);
            });
        if (!may_retry)
            return outcome;
        m_metrics.count_retry(retry_reason_of(outcome));
        view.kind = policy::attempt_kind::retry;
        view.tried.push_back(target->address);
        last = std::move(outcome);
    }
}

call_outcome ticket_runner::attempt(const call& request, const core::address& upstream)
{
    upstream_request message;
    message.address = upstream;
    message.method = request.method;
    message.target = request.target;
    message.headers = request.headers;
    message.body = request.body;
    message.deadline = request.deadline;
    message.is_idempotent = false;
    buffered_answer answer(max_answer_bytes);
    m_upstreams.run(message, answer);
    if (!answer.is_finished())
    {
        const bool is_proven_not_run = answer.failure() && !answer.failure()->may_have_been_sent;
        return is_proven_not_run
                   ? not_run(refusal_reason::upstream_failed, "retry after the given time")
                   : unknown_outcome();
    }
    const int status = answer.head()->status;
    if (request.service_config().not_run_statuses.contains(status))
        return not_run(refusal_reason::upstream_refused, "retry after the given time");
    call_outcome outcome;
    outcome.kind = outcome_kind::answered;
    outcome.answer = {status, head_headers(*answer.head()), answer.body()};
    return outcome;
}

} // namespace snipeplank::gateway
