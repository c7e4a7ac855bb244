#include <snipeplank/gateway/call_service.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::attempt_kind;
using policy::attempt_outcome;
using policy::execution;
using policy::refusal;
using policy::refusal_reason;
using policy::retry_reason;
using std::chrono::steady_clock;

/// Maximum time between two chunks of an answer. Tokens arrive tens of milliseconds apart, so a
/// connection that is silent for longer was dropped without a reset, for example by a middlebox.
constexpr core::milliseconds silence_timeout{5'000};

constexpr int first_server_error = 500;

/// Expected size of an answer on a link, in addition to the request's body.
constexpr std::uint64_t expected_answer_bytes = 16'384;

double ms_between(core::time_point from, core::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::string_view kind_name(attempt_kind kind)
{
    switch (kind)
    {
    case attempt_kind::first:
        return "first";
    case attempt_kind::retry:
        return "retry";
    case attempt_kind::hedge:
        break;
    }
    return "hedge";
}

bool is_refused_before_run(const call& request, int status)
{
    return request.service_config().not_run_statuses.contains(status);
}

} // namespace

running_answer::running_answer(attempt winner, dispatch_guard& dispatch, metrics& counters)
    : m_attempt(std::move(winner)), m_dispatch(dispatch), m_metrics(counters),
      m_last_chunk(steady_clock::now())
{
}

running_answer::~running_answer()
{
    const core::time_point now = steady_clock::now();
    const policy::attempt_id id = m_attempt.id;
    if (is_complete())
    {
        const bool is_server_error = head().status >= first_server_error;
        const auto outcome = is_server_error ? attempt_outcome::failed : attempt_outcome::answered;
        m_dispatch.with([&](policy::dispatcher& d, auto&) { d.on_finished(id, outcome, now); });
        return;
    }
    const bool has_failed = failure().has_value();
    m_attempt.stream->cancel();
    m_dispatch.with(
        [&](policy::dispatcher& d, auto&)
        {
            if (has_failed)
                d.on_finished(id, attempt_outcome::failed, now);
            else
                d.on_abandoned(id, now);
        });
}

std::optional<std::string> running_answer::next(core::duration limit)
{
    std::optional<std::string> chunk = m_attempt.stream->next(limit);
    const core::time_point now = steady_clock::now();
    if (!chunk)
    {
        interrupt_if_silent(now);
        return chunk;
    }
    if (head().is_event_stream)
        m_metrics.observe(latency::between_tokens, ms_between(m_last_chunk, now));
    m_last_chunk = now;
    return chunk;
}

void running_answer::interrupt_if_silent(core::time_point now)
{
    // Heartbeats detect a silent peer, and the peer detects a silent upstream of its region.
    const bool is_local = !m_attempt.upstream.get().empty();
    if (!is_local || now - m_last_chunk < silence_timeout)
        return;
    m_last_chunk = now;
    m_attempt.stream->interrupt();
}

std::optional<attempt_failure> running_answer::failure() const
{
    if (m_attempt.stream->current_state() != answer_stream::state::failed)
        return std::nullopt;
    return m_attempt.stream->failure();
}

/// One call from its first attempt to its result.
class call_service::run
{
  public:
    run(const call_service_parts& parts, const call& request, call_record& record)
        : m_parts(parts), m_request(request), m_record(record),
          m_signal(std::make_shared<stream_signal>())
    {
        m_view.prefix_hash = request.prefix_hash;
        m_view.service = request.service;
        m_view.home = request.home;
        m_view.residency = request.residency;
        m_view.priority = request.priority;
        m_view.is_idempotent = request.is_idempotent;
        m_view.path = request.path;
        m_view.size = core::bytes{request.body.size() + expected_answer_bytes};
    }

    ~run()
    {
        for (attempt& open : m_open)
        {
            abandon(open);
        }
    }

    run(const run&) = delete;
    run& operator=(const run&) = delete;

    call_result operator()()
    {
        if (auto refused = launch(attempt_kind::first))
            return *refused;
        for (;;)
        {
            const std::optional<std::size_t> index = wait_for_completed();
            if (!index)
                return time_out();
            attempt completed = std::move(m_open[*index]);
            m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(*index));
            if (auto result = process_completion(std::move(completed)))
                return std::move(*result);
        }
    }

  private:
    /// Routes one attempt and starts it. Returns the refusal when there is no target.
    std::optional<refusal> launch(attempt_kind kind)
    {
        const core::time_point now = steady_clock::now();
        m_view.kind = kind;
        m_view.remaining = m_request.remaining(now);
        m_view.newest_home = m_request.home_in(*m_parts.config.get());
        const policy::decision chosen = m_parts.dispatch.with(
            [&](policy::dispatcher& d, core::random_source& r) { return d.route(m_view, now, r); });
        attempt_record entry;
        entry.kind = kind_name(kind);
        entry.candidates = chosen.candidates;
        entry.limits_met = chosen.limits_met;
        entry.started_ms = ms_between(m_request.received, now);
        std::optional<refusal> refused;
        attempt started;
        started.started = now;
        started.record = m_record.attempts.size();
        started.stream = std::make_shared<answer_stream>(m_signal);
        if (const auto* target = std::get_if<policy::use_upstream>(&chosen.action))
        {
            entry.target = target->address.get();
            started.id = target->attempt;
            started.upstream = target->address;
            m_view.tried.push_back(target->address);
        }
        else if (const auto* remote = std::get_if<policy::send_to_region>(&chosen.action))
        {
            entry.target = remote->region.get();
            started.id = remote->attempt;
            started.region = remote->region;
            m_view.tried_regions.push_back(remote->region);
        }
        else
        {
            refused = std::get<refusal>(chosen.action);
            entry.result = policy::to_string(refused->reason);
        }
        m_record.attempts.push_back(std::move(entry));
        if (refused)
            return with_execution_state(*refused);
        begin(started, chosen);
        m_open.push_back(std::move(started));
        return std::nullopt;
    }

    void begin(const attempt& started, const policy::decision& chosen)
    {
        if (const auto* remote = std::get_if<policy::send_to_region>(&chosen.action))
        {
            m_parts.counters.count(counter::forwarded_out);
            m_parts.regions.start(m_request, remote->region, remote->zones, started.stream);
            return;
        }
        upstream_request message;
        message.address = started.upstream;
        message.method = m_request.method;
        message.target = m_request.target;
        message.headers = m_request.headers;
        message.body = m_request.body;
        message.deadline = m_request.deadline;
        message.is_idempotent = m_request.is_idempotent;
        message.may_resume = m_request.service_config().engine_resumes_streams;
        m_parts.workers.submit([&client = m_parts.upstreams, message = std::move(message),
                                stream = started.stream] { client.run(message, *stream); });
    }

    /// Waits until an attempt has a head or a failure; sends a hedge when it is due.
    std::optional<std::size_t> wait_for_completed()
    {
        std::optional<core::time_point> hedge_at = hedge_time();
        std::unique_lock lock(m_signal->mutex);
        for (;;)
        {
            if (const auto index = find_completed())
                return index;
            const core::time_point until =
                hedge_at ? std::min(*hedge_at, m_request.deadline) : m_request.deadline;
            m_signal->changed.wait_until(lock, until, [&] { return find_completed().has_value(); });
            if (const auto index = find_completed())
                return index;
            if (steady_clock::now() >= m_request.deadline)
                return std::nullopt;
            if (!hedge_at)
                continue;
            hedge_at.reset();
            lock.unlock();
            send_hedge();
            lock.lock();
        }
    }

    std::optional<std::size_t> find_completed() const
    {
        for (std::size_t i = 0; i < m_open.size(); ++i)
        {
            if (m_open[i].stream->has_head_or_failure())
                return i;
        }
        return std::nullopt;
    }

    std::optional<core::time_point> hedge_time()
    {
        if (!m_request.is_idempotent || m_has_hedged || m_open.size() != 1)
            return std::nullopt;
        const core::time_point now = steady_clock::now();
        m_view.remaining = m_request.remaining(now);
        const auto delay = m_parts.dispatch.with([&](policy::dispatcher& d, auto&)
                                                 { return d.hedge_delay(m_view, now); });
        if (!delay)
            return std::nullopt;
        return m_open.front().started + *delay;
    }

    void send_hedge()
    {
        m_has_hedged = true;
        const core::time_point now = steady_clock::now();
        const bool is_allowed =
            m_parts.dispatch.with([&](policy::dispatcher& d, auto&) { return d.take_hedge(now); });
        if (!is_allowed)
            return;
        m_parts.counters.count(counter::hedges);
        launch(attempt_kind::hedge);
    }

    /// Processes an attempt that has a head or has failed. Returns the call's result, if known.
    std::optional<call_result> process_completion(attempt completed)
    {
        const core::time_point now = steady_clock::now();
        attempt_record& entry = m_record.attempts[completed.record];
        entry.ended_ms = ms_between(m_request.received, now);
        const bool has_head = completed.stream->current_state() != answer_stream::state::failed ||
                              completed.stream->has_head();
        if (!has_head)
            return process_failure(completed, entry, now);
        const int status = completed.stream->head().status;
        entry.result = std::to_string(status);
        m_parts.dispatch.with([&](policy::dispatcher& d, auto&)
                              { d.on_first_byte(completed.id, now); });
        m_parts.counters.observe(latency::first_byte, ms_between(completed.started, now));
        if (is_refused_before_run(m_request, status))
            return process_refusal(completed, now);
        if (status >= first_server_error && m_request.is_idempotent)
        {
            m_may_have_run = true;
            if (retry(retry_reason::upstream_failed, now))
            {
                end(completed, attempt_outcome::failed, now);
                return std::nullopt;
            }
        }
        return call_result{std::make_unique<running_answer>(std::move(completed), m_parts.dispatch,
                                                            m_parts.counters)};
    }

    std::optional<call_result> process_refusal(const attempt& completed, core::time_point now)
    {
        end(completed, attempt_outcome::refused_busy, now);
        return retry_or_refuse(retry_reason::refused_before_run,
                               refusal{refusal_reason::upstream_refused, execution::no,
                                       "the upstream is busy; retry after the given time",
                                       core::milliseconds{1'000}},
                               now);
    }

    std::optional<call_result> process_failure(const attempt& completed, attempt_record& entry,
                                               core::time_point now)
    {
        const attempt_failure failure = completed.stream->failure();
        entry.result = failure.cause.message;
        if (failure.refused && failure.refused->executed == execution::no)
        {
            end(completed, attempt_outcome::refused_busy, now);
            return retry_or_refuse(retry_reason::refused_before_run, *failure.refused, now);
        }
        end(completed, attempt_outcome::failed, now);
        if (failure.may_have_been_sent)
            m_may_have_run = true;
        const bool is_remote = !completed.region.get().empty();
        const retry_reason why = !failure.may_have_been_sent ? retry_reason::connect_failed
                                 : is_remote                 ? retry_reason::peer_unreachable
                                                             : retry_reason::upstream_failed;
        const refusal_reason reason =
            is_remote ? refusal_reason::peer_unreachable : refusal_reason::upstream_failed;
        return retry_or_refuse(
            why, refusal{reason, execution::no, failure.cause.remedy, core::milliseconds{1'000}},
            now);
    }

    std::optional<call_result> retry_or_refuse(retry_reason why, const refusal& otherwise,
                                               core::time_point now)
    {
        if (!m_open.empty())
            return std::nullopt; // the other attempt of a hedge is still in progress
        if (retry(why, now))
            return std::nullopt;
        return call_result{with_execution_state(otherwise)};
    }

    bool retry(retry_reason why, core::time_point now)
    {
        const bool is_proven_not_run =
            why == retry_reason::connect_failed || why == retry_reason::refused_before_run;
        if (!is_proven_not_run && !m_request.is_idempotent)
            return false;
        m_view.remaining = m_request.remaining(now);
        const bool is_allowed = m_parts.dispatch.with([&](policy::dispatcher& d, auto&)
                                                      { return d.may_retry(m_view, why, now); });
        if (!is_allowed)
            return false;
        m_parts.counters.count_retry(why);
        return !launch(attempt_kind::retry);
    }

    /// A refusal reports "not executed" only when that holds for every attempt of the call.
    refusal with_execution_state(refusal why) const
    {
        if (m_may_have_run && why.executed == execution::no)
            why.executed = execution::unknown;
        return why;
    }

    refusal time_out()
    {
        const core::time_point now = steady_clock::now();
        for (const attempt& open : m_open)
        {
            m_record.attempts[open.record].result = "no answer before the deadline";
            m_record.attempts[open.record].ended_ms = ms_between(m_request.received, now);
            end(open, attempt_outcome::timed_out, now);
            open.stream->cancel();
        }
        m_open.clear();
        return refusal{refusal_reason::outcome_unknown, execution::unknown,
                       "the deadline passed before an answer; allow more time or ask again",
                       core::milliseconds{1'000}};
    }

    void end(const attempt& ended, attempt_outcome outcome, core::time_point now)
    {
        m_parts.dispatch.with([&](policy::dispatcher& d, auto&)
                              { d.on_finished(ended.id, outcome, now); });
        if (outcome != attempt_outcome::answered)
            ended.stream->cancel();
    }

    void abandon(const attempt& loser)
    {
        loser.stream->cancel();
        const core::time_point now = steady_clock::now();
        m_parts.dispatch.with([&](policy::dispatcher& d, auto&) { d.on_abandoned(loser.id, now); });
        m_record.attempts[loser.record].result = "abandoned";
    }

    const call_service_parts& m_parts;
    const call& m_request;
    call_record& m_record;
    std::shared_ptr<stream_signal> m_signal;
    policy::call_view m_view;
    std::vector<attempt> m_open;
    bool m_has_hedged = false;
    bool m_may_have_run = false;
};

call_result call_service::start(const call& request, call_record& record)
{
    return run(m_parts, request, record)();
}

} // namespace snipeplank::gateway
