#include "call.hpp"

#include <snipeplank/core/hash.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include "clock.hpp"
#include "upstream_attempt.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// Subtracted from the caller's timeout, so that the answer arrives before the deadline.
constexpr core::milliseconds answer_margin{40};
/// Timeout of a caller that sets none.
constexpr core::milliseconds default_timeout{30'000};
/// Retry-after of a node that has no configuration yet.
constexpr core::milliseconds not_ready_retry{500};
/// Limits the attempts for one request whose upstreams are unreachable.
constexpr std::size_t max_attempts_per_request = 6;
/// Maximum size of an answer.
constexpr std::size_t max_answer_bytes = 8'388'608;
/// A longer answer is passed on as it arrives: its reader, who may be slow, paces the reading from
/// the upstream, and the node holds little of it.
constexpr std::size_t max_held_bytes = 65'536;
constexpr int first_server_error = 500;
constexpr core::milliseconds silence_check_interval{300};
/// Consecutive checks that find the upstream silent before the attempt may be given up. A sound
/// upstream may pause for a second or so. Everything that has arrived is read between two checks,
/// so a pause of this node is not taken for one of the upstream.
constexpr int max_silent_checks = 4;

/// How long a stream that has broken off waits for an upstream that goes on with it.
constexpr core::milliseconds max_resume_wait{2'000};
constexpr core::milliseconds upstream_poll_interval{50};

/// Retry-after of a refusal that only another node may avoid.
constexpr core::milliseconds other_node_retry{200};

/// Maps a request id to [0, 1), so that all attempts of one request use the same value.
double uniform_value(const std::string& request_id)
{
    constexpr double two_to_the_64 = 18446744073709551616.0;
    return static_cast<double>(core::hash64(request_id)) / two_to_the_64;
}

std::string media_type_of(const http::response_head& head)
{
    return std::string(http::find_header(head.headers, "Content-Type").value_or(""));
}

} // namespace

call::call(const call_environment& environment, http::exchange& request,
           std::optional<forwarded_from> forwarded)
    : m_environment(environment), m_end(environment.end), m_exchange(request),
      m_forwarded(std::move(forwarded)), m_table(environment.table), m_timer(environment.loop),
      m_silence_timer(environment.loop), m_stream(environment.streams),
      m_account(environment.accounts), m_self(std::make_shared<call*>(this))
{
    m_end->add(*this);
}

call::~call()
{
    m_end->remove(*this);
}

asio::awaitable<void> call::run()
{
    policy::refusal why;
    if (!prepare(why))
    {
        co_await refuse(why);
        report();
        co_return;
    }
    start_deadline();
    if (m_route->may_retry() && !m_forwarded)
        schedule_silence_check();
    m_exchange.on_client_disconnected([this] { on_client_disconnected(); });
    if (co_await find_origin())
        co_await attempt_until_answered();
    m_timer.cancel();
    m_silence_timer.cancel();
    m_exchange.on_client_disconnected(nullptr);
    report();
}

void call::report()
{
    m_line.total_ms = to_ms(now() - m_exchange.received_at());
    m_environment.statistics.add(m_line);
    m_environment.log.call_ended(m_line);
}

bool call::prepare(policy::refusal& why)
{
    auto read = m_environment.callers.read(m_exchange.head());
    if (!read)
    {
        why = {policy::refusal_reason::bad_request, policy::execution::no, read.error().message,
               core::milliseconds{0}};
        return false;
    }
    m_caller = std::move(read.value());
    m_line.request_id = m_caller.id;
    m_line.prompt_tokens = m_caller.prompt_tokens;
    m_parts = parts_of(m_exchange.head(), m_exchange.body(), m_caller);
    if (!m_table)
    {
        why = {policy::refusal_reason::not_ready, policy::execution::no,
               "no configuration was received yet", not_ready_retry};
        return false;
    }
    m_line.config_version = m_table->version.get();
    // A newer configuration may have the route, or the key, that this node lacks.
    if (auto behind = m_environment.homes.find_refusal(home_regions()))
    {
        why = std::move(*behind);
        return false;
    }
    m_route = m_table->find(m_caller.host, http::path_of(m_exchange.head().target));
    if (!knows_choice_of_entry())
    {
        why = unconfirmed_refusal();
        return false;
    }
    if (m_route == nullptr || m_route->services.empty())
    {
        why = {policy::refusal_reason::unknown_service, policy::execution::no,
               "no route matches host and path", core::milliseconds{0}};
        return false;
    }
    m_line.route = m_route->name;
    m_deadline = m_exchange.received_at() + time_limit();
    if (std::optional<policy::refusal> refused = find_account())
    {
        why = std::move(*refused);
        return false;
    }
    m_service = is_behind_entry()
                    ? m_forwarded->service
                    : choose_service(*m_route, uniform_value(first_attempt_of(m_caller)));
    m_line.service = m_service.get();
    m_resume_from = m_caller.last_event_id;
    m_stream.set_request(m_caller, *m_route, m_service);
    if (m_forwarded)
        m_stream.bind(m_forwarded->software_version);
    if (!m_forwarded)
        m_environment.places.on_request(m_service, now());
    const auto end = m_end->at();
    if (!end)
        return true;
    end_with_node(*end);
    const bool is_hopeless = may_outlast(*end);
    if (is_hopeless)
        why = stopping_refusal();
    return !is_hopeless;
}

/// Whether the entry node of a forwarded call judges by a newer configuration.
bool call::is_behind_entry() const
{
    return m_forwarded && m_forwarded->config_version > m_table->version;
}

/// Whether the route of this node's configuration offers what a newer one has chosen. Otherwise
/// only a node that has the newer one can serve the call.
bool call::knows_choice_of_entry() const
{
    if (!is_behind_entry())
        return true;
    return m_route != nullptr && std::any_of(m_route->services.begin(), m_route->services.end(),
                                             [&](const weighted_service& each)
                                             { return each.service == m_forwarded->service; });
}

/// Whether the request is for a stream that usually takes longer than a stopping node has left.
bool call::may_outlast(core::time_point end) const
{
    const auto expected = m_environment.durations->expected(m_route->name);
    return m_route->kind == request_kind::streaming && expected && now() + *expected > end;
}

/// The key is needed no longer once it has named the account.
std::optional<policy::refusal> call::find_account()
{
    auto refused = m_forwarded
                       ? m_account.set_forwarded(*m_table, *m_route, m_caller, m_forwarded->account)
                       : m_account.identify(*m_table, *m_route, m_caller);
    m_line.has_unknown_key =
        m_table->accounts && !m_caller.key.empty() && m_account.account() == nullptr;
    m_caller.key.clear();
    if (m_account.account() != nullptr)
        m_line.account = m_account.account()->name.get();
    update_homes();
    return refused;
}

/// Time from the receipt of the request to its deadline. The node that took a forwarded request
/// has applied the route's timeout, perhaps of another version of the configuration.
core::milliseconds call::time_limit() const
{
    if (m_forwarded)
        return m_forwarded->remaining;
    const core::milliseconds timeout =
        m_caller.timeout ? *m_caller.timeout - answer_margin : default_timeout;
    return std::min(timeout, m_route->timeout);
}

/// @return false if the request was refused, because nobody knows where its stream may go on
asio::awaitable<bool> call::find_origin()
{
    const bool is_found = co_await m_stream.find(m_environment.loop);
    m_line.stream_origin = m_stream.describe();
    if (is_found || m_client_is_gone || m_is_expired)
        co_return true;
    policy::refusal why = final_refusal();
    why.reason = policy::refusal_reason::stream_origin_unknown;
    why.retry_after = other_node_retry;
    why.remedy = "begin the stream anew: no node knows which software version began it";
    co_await refuse(std::move(why));
    co_return false;
}

asio::awaitable<void> call::refuse(policy::refusal why)
{
    why.has_reached_upstream = m_sends > 0;
    const http::response answer = m_environment.callers.refuse(m_caller, why);
    m_line.outcome = policy::to_string(why.reason);
    m_line.executed = policy::to_string(why.executed);
    m_line.status = answer.head.status;
    m_line.retry_after_ms = static_cast<double>(why.retry_after.count());
    m_line.remaining_ms = static_cast<double>(remaining().count());
    if (m_exchange.has_begun())
    {
        m_line.cut_by = who_cut_answer();
        m_exchange.abort();
    }
    else if (m_forwarded)
        m_forwarded->refuse(why);
    else
        co_await m_exchange.send(answer);
}

asio::awaitable<void> call::attempt_until_answered()
{
    for (;;)
    {
        if (m_client_is_gone)
        {
            m_line.outcome = "caller_left";
            m_line.cut_by = m_exchange.has_begun() ? cut_cause::caller : cut_cause::none;
            co_return;
        }
        if (m_is_expired)
        {
            co_await refuse(final_refusal());
            co_return;
        }
        update_homes();
        std::optional<policy::refusal> refused_before = home_refusal();
        if (!refused_before)
            refused_before = quarantine_refusal();
        if (refused_before)
        {
            co_await refuse(std::move(*refused_before));
            co_return;
        }
        const placement_decision where = m_environment.places.decide(next_request(), now());
        if (should_wait_for_upstream(where))
        {
            co_await wait_for_upstream();
            continue;
        }
        m_is_waiting = false;
        if (const auto* refused = std::get_if<policy::refusal>(&where))
        {
            m_line.upstreams = m_environment.places.describe(next_request(), now());
            policy::refusal why = m_may_have_run ? final_refusal() : *refused;
            if (!m_may_have_run && m_sends > 0)
                why.reason = policy::refusal_reason::upstream_refused;
            else if (m_ends_with_node && why.reason == policy::refusal_reason::overloaded)
                why = stopping_refusal(); // another node has more time
            co_await refuse(std::move(why));
            co_return;
        }
        if (!m_account.is_charged())
        {
            const auto charged = co_await charge();
            if (charged == account_binding::charge_result::refused)
                co_return;
            if (charged == account_binding::charge_result::waited)
                continue;
        }
        if (co_await attempt_once(where) == next_step::done)
            co_return;
    }
}

/// Charges the next run to the account; a request that it refuses has its answer.
asio::awaitable<account_binding::charge_result> call::charge()
{
    const auto result = co_await m_account.charge(m_environment.loop, max_charge_wait());
    if (result != account_binding::charge_result::refused)
        co_return result;
    if (m_client_is_gone || m_is_expired)
        co_return account_binding::charge_result::waited;
    m_line.attempts += "over_quota ";
    policy::refusal why = m_may_have_run ? final_refusal() : m_account.refusal();
    co_await refuse(std::move(why));
    co_return result;
}

/// Longest wait for units: the answer is to come within its objective.
core::milliseconds call::max_charge_wait() const
{
    return std::max(core::milliseconds{0}, std::min(m_route->objective / 4, remaining() / 4));
}

/// Whether a stream that has broken off should wait for an upstream to go on with it: it can't be
/// refused any more, and the only upstreams may be ones that said they take none for a moment, or
/// that were just found closed.
bool call::should_wait_for_upstream(const placement_decision& where) const
{
    if (!m_exchange.has_begun() || now() >= m_waits_until ||
        !m_environment.places.is_version_listed(next_request()))
        return false;
    const auto* local = std::get_if<to_upstream>(&where);
    const bool is_closed = local != nullptr && local->was_tried && m_was_unreachable;
    return is_closed || std::holds_alternative<policy::refusal>(where);
}

asio::awaitable<void> call::wait_for_upstream()
{
    if (!std::exchange(m_is_waiting, true))
        m_line.attempts += "waits ";
    asio::steady_timer timer(m_environment.loop, upstream_poll_interval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_turned_away_by.clear();
}

placement_request call::next_request() const
{
    placement_request request;
    request.chosen = m_route;
    request.account = m_account.account();
    request.service = m_service;
    request.caller = &m_caller;
    request.remaining = remaining();
    request.tried = m_tried;
    request.turned_away_by = m_turned_away_by;
    request.tried_regions = m_tried_regions;
    request.may_leave_region = !m_forwarded;
    request.homes = m_homes;
    request.is_retry = m_sends > 0;
    request.software_version = m_stream.required();
    if (m_route->kind == request_kind::streaming && m_route->is_resumable && !m_stream.is_bound())
        request.may_begin_at = [this](policy::software_version_key version)
        { return m_environment.streams.may_begin_at(m_service, version, now()); };
    return request;
}

std::string call::health_path() const
{
    const service* offered = m_table->find_service(m_service);
    return offered == nullptr ? std::string() : offered->health_path;
}

/// The upstream may have come back with another software version since it was chosen.
admission call::admit(const upstream_id& target, policy::connection_record& over)
{
    update_homes();
    if (!m_account.is_charged() || home_refusal() || !m_homes.contains(m_current_upstream->region))
        return admission::out_of_service;
    if (m_environment.suspensions->take_suspension())
        m_environment.places.on_resumed(now());
    if (!m_stream.set_attempt(m_environment.places.version_of(target)))
        return admission::out_of_service;
    return m_environment.places.admit(target, over, now());
}

std::unique_ptr<attempt> call::make_attempt(const placement_decision& where)
{
    if (const auto* region = std::get_if<to_region>(&where))
    {
        m_current_upstream.reset();
        m_tried_regions.push_back(region->region);
        m_line.predicted_ms = region->predicted_ms;
        m_line.attempts += region->region.get();
        http::request_head head = m_environment.upstreams.resume(m_exchange.head(), m_resume_from);
        if (m_account.name())
            head = m_environment.upstreams.without_key(head);
        const forwarding_options options{
            remaining(),   m_stream.required(), m_account.name().value_or(core::account_id{}),
            m_tried_nodes, m_table->version,    m_service};
        auto sent = m_environment.regions.call(region->region, head, m_exchange.body(), options);
        if (const auto node = sent ? sent->node() : std::nullopt)
            m_tried_nodes.push_back(*node);
        return sent;
    }
    const auto& local = std::get<to_upstream>(where);
    m_current_upstream = local.target;
    m_tried.push_back(local.target.id);
    m_line.predicted_ms = local.predicted_ms;
    m_line.attempts += local.target.id.get() + "@" + local.target.address.get();
    upstream_attempt_parts parts{
        m_environment.pool,
        m_environment.upstreams,
        m_exchange.head(),
        m_exchange.body(),
        m_caller.id,
        local.target,
        [this] { return remaining(); },
        [this, id = local.target.id](policy::connection_record& over) { return admit(id, over); },
        [this, id = local.target.id](const policy::connection_record& over,
                                     core::time_point arrived_after)
        { m_environment.places.on_received(id, over, arrived_after, now()); },
        [this](core::duration spent) { m_environment.places.add_delay(*m_attempt_number, spent); },
        process_check({m_environment.loop, m_environment.places, m_environment.upstreams,
                       m_environment.statistics, local.target, health_path()}),
        m_route->may_retry() && is_within_attempt_limits(m_runs + 1),
        m_account.priority(*m_route),
        m_resume_from,
        m_account.name()};
    return std::make_unique<upstream_attempt>(std::move(parts));
}

/// The upstream may have come back with another software version since it was chosen.
asio::awaitable<call::next_step> call::attempt_once(const placement_decision& where)
{
    const placement_request request = next_request();
    m_given_up_for = cut_cause::none;
    m_attempt = make_attempt(where);
    if (!m_attempt)
    {
        m_line.attempts += "=unreachable ";
        co_return retry(policy::retry_reason::peer_unreachable);
    }
    const auto* region = std::get_if<to_region>(&where);
    m_attempt_number =
        region != nullptr
            ? m_environment.places.on_sent(request, region->region, now())
            : m_environment.places.on_sent(request, std::get<to_upstream>(where).target.id, now());
    m_attempt_sent = now();
    m_events_received = 0;
    m_awaits_answer = true;
    m_silent_checks = 0;
    attempt_start result = co_await m_attempt->start();
    m_awaits_answer = false;
    if (m_current_upstream)
        result.software_version = m_stream.attempt_version();
    if (m_current_upstream && result.said)
        record_statement(*result.said);
    if (region != nullptr && result.kind == answer_kind::success)
        result.kind = m_environment.upstreams.read(result.head, m_caller.id).kind;
    const next_step next = co_await on_start(result);
    end_attempt(attempt_end::abandoned);
    m_attempt.reset();
    co_return next;
}

void call::record_statement(const policy::upstream_statement& said)
{
    if (!m_environment.places.on_statement(m_current_upstream->id, said, now()))
        return;
    nlohmann::json fields{{"id", m_current_upstream->id.get()},
                          {"request_id", m_caller.id},
                          {"leaving", said.is_leaving}};
    if (said.limit)
        fields["limit_per_s"] = *said.limit;
    if (said.retry_after)
        fields["retry_after_ms"] = said.retry_after->count();
    m_environment.log.event(line_kind::state_change, "upstream_says", fields);
}

asio::awaitable<call::next_step> call::on_start(const attempt_start& result)
{
    m_sends += result.was_sent ? 1 : 0;
    if (!result.is_proven_not_run())
    {
        m_account.on_may_have_run();
        m_may_have_run = true;
        ++m_runs;
    }
    if (m_client_is_gone || m_is_expired)
    {
        m_line.attempts += "=given_up ";
        co_return next_step::try_again;
    }
    // After the answer head was sent, only a successful attempt can continue the stream.
    if (m_exchange.has_begun() && result.kind != answer_kind::success)
        co_return co_await on_failed_start(result);
    const bool has_other_version =
        result.kind == answer_kind::success && !m_stream.allows(result.software_version);
    if (has_other_version || (m_exchange.has_begun() && media_type_of(result.head) != m_media_type))
    {
        attempt_start other = result;
        other.kind = answer_kind::broken;
        other.cause = has_other_version ? "another software version" : "another media type";
        co_return co_await on_failed_start(other);
    }
    const bool is_server_error =
        result.kind == answer_kind::failure && result.head.status >= first_server_error;
    if (result.kind == answer_kind::success && m_route->kind == request_kind::streaming)
        co_return co_await forward_stream(result);
    if (result.kind == answer_kind::success ||
        (result.kind == answer_kind::failure && !(is_server_error && m_route->may_retry())))
        co_return co_await forward_buffered(result);
    if (is_server_error)
    {
        m_line.attempts += "=" + std::to_string(result.head.status) + " ";
        end_attempt(attempt_end::failed);
        if (may_retry(false))
        {
            m_attempt->cancel();
            co_return retry(policy::retry_reason::upstream_failed);
        }
        co_return co_await forward_buffered(result);
    }
    co_return co_await on_failed_start(result);
}

asio::awaitable<call::next_step> call::on_failed_start(const attempt_start& result)
{
    const bool is_proven = result.is_proven_not_run();
    m_line.attempts += "=" + (result.cause.empty() ? std::string("not_run") : result.cause) + " ";
    if (result.kind == answer_kind::broken && result.was_sent)
        report_broken_upstream();
    m_was_unreachable = result.is_unreachable;
    if (is_fault_of_node(result))
        allow_region_again();
    if (m_current_upstream && is_proven && result.was_sent)
        m_turned_away_by.push_back(m_current_upstream->id);
    if (result.is_unreachable)
        end_attempt(result.is_closed ? attempt_end::closed : attempt_end::unreachable);
    else if (!result.was_sent)
        end_attempt(attempt_end::abandoned);
    else
        end_attempt(is_proven ? attempt_end::rejected : attempt_end::failed);
    m_attempt->cancel();
    if (is_quarantined_elsewhere(result))
    {
        policy::refusal why = refusal_of(result);
        co_await refuse(std::move(why));
        co_return next_step::done;
    }
    if (!result.was_sent && m_tried.size() + m_tried_nodes.size() < max_attempts_per_request)
        co_return retry(policy::retry_reason::connect_failed);
    if (may_retry(is_proven))
        co_return retry(is_proven ? policy::retry_reason::refused_before_run
                                  : policy::retry_reason::upstream_failed);
    policy::refusal why = final_refusal();
    co_await refuse(std::move(why));
    co_return next_step::done;
}

bool call::may_retry(bool proven_not_run)
{
    if (m_client_is_gone || m_is_expired || (m_exchange.has_begun() && !m_stream.is_bound()))
        return false;
    update_homes();
    if (home_refusal())
        return false;
    // What may have run is sent again by the entry node only, which knows its other attempts.
    if (m_forwarded && !proven_not_run)
        return false;
    if (!is_within_attempt_limits(proven_not_run ? 0 : m_runs))
        return false;
    if (!proven_not_run && (!m_route->may_retry() || may_have_crashed_upstream()))
        return false;
    return std::exchange(m_has_reserved_retry, false) || take_retry();
}

bool call::take_retry()
{
    const bool is_taken = m_environment.places.take_retry(m_service, now());
    if (!is_taken)
    {
        m_environment.statistics.count_denied_retry();
        m_line.attempts += "no_retry_left ";
    }
    return is_taken;
}

/// @param runs attempts so far that may have run
bool call::is_within_attempt_limits(unsigned runs) const
{
    return m_tried.size() + m_tried_nodes.size() < max_attempts_per_request &&
           runs < m_route->max_attempts;
}

call::next_step call::retry(policy::retry_reason reason)
{
    m_environment.statistics.count_retry(reason);
    return next_step::try_again;
}

asio::awaitable<call::next_step> call::forward_stream(const attempt_start& result)
{
    for (;;)
    {
        auto chunk = co_await m_attempt->next();
        if (m_client_is_gone || !chunk)
        {
            record_failure(chunk);
            co_return co_await on_broken_stream();
        }
        const std::string events = m_events.feed(chunk.value().data);
        if (m_events.is_too_large() || m_events.starts_over())
        {
            m_line.attempts += m_events.starts_over() ? "=starts_over" : "=event_too_large";
            co_return co_await on_broken_stream();
        }
        if (!events.empty())
        {
            m_environment.places.on_first_byte(*m_attempt_number, now());
            ++m_events_received;
            record_event();
            const bool is_written = co_await write_stream(result, events);
            if (!is_written)
                co_return co_await on_broken_stream();
        }
        if (!chunk.value().is_last)
            continue;
        const std::string line_ends = m_events.take_line_ends();
        const bool is_whole = m_events.pending_size() == 0;
        const bool is_written = is_whole && co_await write_stream(result, line_ends);
        if (!is_written)
            co_return co_await on_broken_stream();
        report_whole_answer(chunk.value());
        break;
    }
    m_attempt->finish();
    end_attempt(attempt_end::answered);
    m_line.outcome = "answered";
    m_line.executed = "yes";
    m_line.status = result.head.status;
    if (m_caller.last_event_id.empty())
        m_environment.durations->add(m_route->name, now() - m_exchange.received_at());
    co_await m_exchange.finish();
    co_return next_step::done;
}

/// Writes a part of a stream. The first part takes the head with it, so that a stream of which
/// nothing has arrived can still be refused.
asio::awaitable<bool> call::write_stream(const attempt_start& result, std::string_view events)
{
    if (!m_exchange.has_begun())
    {
        m_media_type = media_type_of(result.head);
        m_stream.bind(result.software_version);
        if (m_forwarded && m_forwarded->tell_version)
            m_forwarded->tell_version(result.software_version);
        if (!m_forwarded)
            m_stream.record(m_exchange.received_at());
        http::response_head forwarded = m_environment.callers.forward(result.head);
        const bool is_open = co_await m_exchange.begin(std::move(forwarded));
        if (!is_open)
            co_return false;
    }
    co_return co_await m_exchange.write(events);
}

void call::record_event()
{
    const core::time_point time = now();
    if (m_line.first_byte_ms == 0)
        m_line.first_byte_ms = to_ms(time - m_exchange.received_at());
    else
    {
        const double pause_ms = to_ms(time - m_last_event);
        m_line.longest_pause_ms = std::max(m_line.longest_pause_ms, pause_ms);
        m_environment.places.on_pause(*m_attempt_number, pause_ms, time);
    }
    m_last_event = time;
}

void call::record_failure(const core::result<http::body_chunk>& chunk)
{
    m_line.attempts += chunk ? "=caller_left" : "=" + chunk.error().message;
}

asio::awaitable<call::next_step> call::on_broken_stream()
{
    report_broken_upstream();
    m_attempt->cancel();
    end_attempt(attempt_end::failed);
    m_line.attempts += "=broken ";
    allow_region_again();
    if (!m_events.last_event_id().empty())
        m_resume_from = m_events.last_event_id();
    m_events.begin_resume();
    m_waits_until = now() + max_resume_wait;
    if (m_client_is_gone)
        co_return next_step::try_again;
    if (may_retry(false))
        co_return retry(policy::retry_reason::answer_truncated);
    co_await refuse(final_refusal());
    co_return next_step::done;
}

/// Whether the head of the answer says that it is longer than any may be.
bool call::is_too_long(const attempt_start& result)
{
    const auto length = http::find_header(result.head.headers, "Content-Length");
    return http::parse_number(length.value_or("")).value_or(0) > max_answer_bytes;
}

/// Whether this many bytes of an answer may wait for the rest of it.
bool call::may_hold(std::size_t bytes) const
{
    return bytes < max_held_bytes && !m_environment.answers->is_full();
}

/// Writes what is held of an answer, with its head before the first part.
/// @return false if the caller is gone
asio::awaitable<bool> call::write_held(http::response& answer)
{
    if (!m_exchange.has_begun() && !co_await m_exchange.begin(answer.head))
        co_return false;
    const std::string part = std::exchange(answer.body, {});
    co_return co_await m_exchange.write(part);
}

asio::awaitable<call::next_step> call::on_broken_answer(const attempt_start& result)
{
    if (!m_exchange.has_begun())
    {
        allow_region_again();
        attempt_start broken = result;
        broken.kind = answer_kind::broken;
        broken.cause = "broken";
        co_return co_await on_failed_start(broken);
    }
    m_attempt->cancel();
    end_attempt(attempt_end::failed);
    m_line.attempts += "=broken ";
    co_await refuse(final_refusal());
    co_return next_step::done;
}

asio::awaitable<call::next_step> call::forward_buffered(const attempt_start& result)
{
    http::response answer;
    answer.head = m_environment.callers.forward(result.head);
    held_answers::share held(*m_environment.answers);
    std::size_t length = 0;
    bool is_last = false;
    const bool is_success = result.kind == answer_kind::success;
    if (is_too_long(result))
        co_return co_await on_broken_answer(result);
    while (!is_last)
    {
        auto chunk = co_await m_attempt->next();
        length += chunk ? chunk.value().data.size() : 0;
        if (!chunk || length > max_answer_bytes)
        {
            record_failure(chunk);
            co_return co_await on_broken_answer(result);
        }
        answer.body += chunk.value().data;
        held.set(answer.body.size());
        is_last = chunk.value().is_last;
        const bool is_written =
            is_last || may_hold(answer.body.size()) || co_await write_held(answer);
        if (!is_written)
            co_return co_await on_broken_answer(result);
        if (is_last && is_success)
            report_whole_answer(chunk.value());
    }
    // The attempt has ended already if the answer is an error that was to be retried.
    if (m_attempt_number)
        m_environment.places.on_first_byte(*m_attempt_number, now());
    m_attempt->finish();
    end_attempt(is_success || result.head.status < first_server_error ? attempt_end::answered
                                                                      : attempt_end::failed);
    m_line.outcome = is_success ? "answered" : "upstream_answer";
    m_line.executed = "yes";
    m_line.status = result.head.status;
    if (!m_exchange.has_begun())
        co_await m_exchange.send(std::move(answer));
    else if (co_await write_held(answer))
        co_await m_exchange.finish();
    co_return next_step::done;
}

/// Crashes that do not keep this call from sending its request: the one that it may have seen
/// itself, whether at an upstream of this region or, as the entry node knows, of another one.
std::size_t call::forgiven_crashes() const
{
    return m_forwarded || m_broken_beginnings > 0 ? 1 : 0;
}

/// A call keeps the version with which it began, but its homes may have moved since: it may be
/// served where that version and the newest one of this node both allow it.
void call::update_homes()
{
    m_line.confirmed_age = m_environment.homes.confirmed_age();
    if (m_homes_table == m_environment.table)
        return;
    m_homes_table = m_environment.table;
    m_homes = home_regions(*m_route, m_account.account());
    const client_account* account = m_account.account();
    if (account != nullptr && m_homes_table->accounts)
        account = m_homes_table->accounts->find(account->name);
    const route* chosen =
        m_homes_table->find(m_caller.host, http::path_of(m_exchange.head().target));
    if (chosen != nullptr)
        m_homes.restrict_to(home_regions(*chosen, account));
    m_line.homes = m_homes;
    m_line.homes_version = m_homes_table->version.get();
}

/// The refusal of a request whose homes may have moved; nothing when it may be sent.
std::optional<policy::refusal> call::home_refusal() const
{
    auto refused = m_environment.homes.find_refusal(m_homes);
    return refused && m_may_have_run ? final_refusal() : std::move(refused);
}

/// The refusal of a request under which upstreams crash; nothing when it may be sent.
std::optional<policy::refusal> call::quarantine_refusal() const
{
    const auto left = m_environment.crashes.quarantine_left(m_parts, forgiven_crashes());
    if (!left)
        return std::nullopt;
    if (m_may_have_run)
        return final_refusal();
    return policy::refusal{
        policy::refusal_reason::quarantined, policy::execution::no,
        "change the request: servers crashed under it or under a part of its prompt", *left};
}

/// Whether a node of another region knows that upstreams crash under the request.
bool call::is_quarantined_elsewhere(const attempt_start& result)
{
    return result.refused && result.refused->reason == policy::refusal_reason::quarantined;
}

/// Whether an attempt in another region failed for a reason of the node that was asked, so that
/// another node there may serve the request: it stops, also in the middle of a run, has no
/// configuration that may be relied on, or can't be reached.
bool call::is_fault_of_node(const attempt_start& result)
{
    if (result.is_unreachable || !result.refused)
        return result.is_unreachable;
    constexpr std::array reasons{
        policy::refusal_reason::draining, policy::refusal_reason::not_ready,
        policy::refusal_reason::peer_unreachable, policy::refusal_reason::outcome_unknown,
        policy::refusal_reason::configuration_unconfirmed};
    return std::find(reasons.begin(), reasons.end(), result.refused->reason) != reasons.end();
}

/// Lets another node of the region of the current attempt be asked, if it went to one.
void call::allow_region_again()
{
    if (!m_current_upstream && !m_tried_regions.empty())
        m_tried_regions.pop_back();
}

policy::refusal call::refusal_of(const attempt_start& result) const
{
    return m_may_have_run ? final_refusal() : *result.refused;
}

/// Whether the upstream has only begun to answer. One that crashes under a prompt does so then; the
/// other streams that break off with it are mostly further on.
bool call::is_beginning_of_answer() const
{
    constexpr unsigned max_events = 1;
    return m_events_received <= max_events;
}

/// Whether the upstream broke off at the beginning of its answer, and an earlier one crashed, or
/// broke off here, under this request or a part of its prompt.
bool call::may_have_crashed_upstream() const
{
    constexpr unsigned max_broken_beginnings = 1;
    return is_beginning_of_answer() && (m_broken_beginnings > max_broken_beginnings ||
                                        m_environment.crashes.is_suspect(m_parts));
}

void call::report_broken_upstream()
{
    if (!is_beginning_of_answer() || m_given_up_for != cut_cause::none)
        return;
    ++m_broken_beginnings;
    if (m_current_upstream)
        m_environment.crashes.on_broken(*m_current_upstream,
                                        {m_caller.id, m_parts, m_attempt_sent});
}

/// The node that served a forwarded request reports its answer: only that one knows whether it
/// ended with the upstream's connection.
void call::report_whole_answer(const http::body_chunk& last)
{
    if (!m_current_upstream)
        return;
    if (last.ends_with_connection && is_beginning_of_answer())
        m_environment.crashes.on_broken(*m_current_upstream,
                                        {m_caller.id, m_parts, m_attempt_sent, true});
    else
        m_environment.crashes.on_answered(m_parts);
}

void call::end_attempt(attempt_end how)
{
    if (const auto number = std::exchange(m_attempt_number, std::nullopt))
        m_environment.places.on_ended(*number, how, now());
}

void call::start_deadline()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait(
        [weak = std::weak_ptr<call*>(m_self)](const boost::system::error_code& error)
        {
            const auto self = weak.lock();
            if (!error && self)
                (*self)->on_deadline();
        });
}

/// Periodically checks for a silent upstream, so that a request that may be retried does not wait
/// for it until the deadline.
void call::schedule_silence_check()
{
    m_silence_timer.expires_after(silence_check_interval);
    m_silence_timer.async_wait(
        [weak = std::weak_ptr<call*>(m_self)](const boost::system::error_code& error)
        {
            const auto self = weak.lock();
            if (!error && self)
                (*self)->on_silence_check();
        });
}

void call::on_silence_check()
{
    m_silent_checks = is_upstream_silent() ? m_silent_checks + 1 : 0;
    if (m_silent_checks >= max_silent_checks && reserve_other_attempt())
    {
        m_silent_checks = 0;
        m_line.attempts += "=silent";
        give_up_attempt(cut_cause::silence);
    }
    schedule_silence_check();
}

bool call::is_upstream_silent() const
{
    return m_awaits_answer && m_current_upstream &&
           m_environment.places.is_silent(m_current_upstream->id, m_attempt_sent, now());
}

/// Reserves a retry at another upstream that is not silent, or in another region.
/// @return false if there is none; the current attempt must go on then
bool call::reserve_other_attempt()
{
    update_homes();
    // The current attempt counts as a run only once it has ended.
    if (home_refusal() || m_exchange.has_begun() || !is_within_attempt_limits(m_runs + 1) ||
        may_have_crashed_upstream())
        return false;
    const placement_decision next = m_environment.places.decide(next_request(), now());
    if (std::holds_alternative<policy::refusal>(next))
        return false;
    const auto* local = std::get_if<to_upstream>(&next);
    if (local != nullptr && (local->was_tried || m_environment.places.is_silent(
                                                     local->target.id, core::time_point{}, now())))
        return false;
    m_has_reserved_retry = take_retry();
    return m_has_reserved_retry;
}

void call::on_deadline()
{
    m_is_expired = true;
    give_up_attempt(m_ends_with_node ? cut_cause::stop : cut_cause::deadline);
}

void call::on_serving_end(core::time_point at)
{
    end_with_node(at);
    if (m_ends_with_node)
        start_deadline();
}

/// Moves the deadline to the time of the stopping node's last answers if that comes first.
void call::end_with_node(core::time_point at)
{
    if (at >= m_deadline)
        return;
    m_deadline = at;
    m_ends_with_node = true;
}

void call::on_client_disconnected()
{
    m_client_is_gone = true;
    give_up_attempt(cut_cause::caller);
}

void call::give_up_attempt(cut_cause why)
{
    m_given_up_for = why;
    if (m_attempt)
        m_attempt->cancel();
}

cut_cause call::who_cut_answer() const
{
    if (m_given_up_for != cut_cause::none)
        return m_given_up_for;
    return m_current_upstream ? cut_cause::upstream : cut_cause::region;
}

core::milliseconds call::remaining() const
{
    return std::chrono::duration_cast<core::milliseconds>(m_deadline - now());
}

policy::refusal call::final_refusal() const
{
    if (m_is_expired && m_ends_with_node && !m_may_have_run)
        return stopping_refusal();
    policy::refusal why;
    why.executed = m_may_have_run ? policy::execution::unknown : policy::execution::no;
    if (m_is_expired)
        why.reason = m_may_have_run ? policy::refusal_reason::outcome_unknown
                                    : policy::refusal_reason::deadline_too_short;
    else
        why.reason = m_may_have_run ? policy::refusal_reason::upstream_failed
                                    : policy::refusal_reason::upstream_refused;
    why.remedy = m_may_have_run ? "look up what became of the request before sending it again"
                                : "come back after the time given";
    constexpr core::milliseconds min_retry_after{200};
    why.retry_after = std::max(min_retry_after, remaining() / 6);
    return why;
}

} // namespace snipeplank::serving
