#include <algorithm>
#include <cmath>

#include "scenarios.hpp"

namespace snipeplank::bench
{

namespace
{

using policy::attempt_kind;
using policy::attempt_outcome;
using policy::retry_reason;

constexpr double deadline_ms = 10'000;
constexpr double local_delay_ms = 0.5;
constexpr double report_interval_ms = 500;
constexpr double report_lag_ms = 500;
constexpr double summary_interval_ms = 3'000;
constexpr double unreachable_after_ms = 1'000;
constexpr double bound_share = 0.15;
constexpr std::size_t prefixes_per_region = 100;
constexpr double eager_repeat_delay_ms = 100;
constexpr double eager_timeout_ms = 3'000;
constexpr unsigned max_eager_repeats = 20;
constexpr double bytes_per_token = 6; // with the framing of server-sent events

double exponential(core::random_source& random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

} // namespace

run::run(const scenario& plan, const std::string& kind, std::uint64_t seed)
    : is_cut_off(topology.regions, false), m_plan(plan), m_random(seed), m_choices(seed)
{
    const std::size_t count = topology.regions * topology.engines_per_region;
    for (std::size_t i = 0; i < count; ++i)
    {
        engines.emplace_back(time, engine_parameters{});
    }
    for (std::size_t node = 0; node < topology.regions * topology.nodes_per_region; ++node)
    {
        m_routers.push_back(
            make_router(kind, node / topology.nodes_per_region, node, topology, plan.weights));
    }
    m_last_reports.resize(count, std::vector<double>(3, 0));
}

figures run::play()
{
    publish_engines();
    report_loads();
    report_regions();
    for (std::size_t region = 0; region < topology.regions; ++region)
    {
        schedule_arrival(region);
    }
    if (m_plan.script)
        m_plan.script(*this);
    time.run(m_plan.end_ms + deadline_ms);
    return m_figures;
}

double run::engine_seconds() const
{
    double sum = 0;
    for (const engine& one : engines)
    {
        sum += one.busy_seconds();
    }
    return sum;
}

void run::publish_engines()
{
    std::vector<bool> alive;
    for (const engine& one : engines)
    {
        alive.push_back(one.is_alive());
    }
    for (const auto& node : m_routers)
    {
        node->set_engines(alive, time.now());
    }
}

void run::schedule_arrival(std::size_t region)
{
    // Thinning a Poisson process of a fixed rate gives all policies of one seed the same arrivals.
    constexpr double max_rate = 400; // calls per second
    time.after(exponential(m_random, 1'000 / max_rate),
               [this, region]
               {
                   if (time.now() >= m_plan.end_ms)
                       return;
                   schedule_arrival(region);
                   if (m_random.unit() * max_rate < m_plan.rate(region, time.now()))
                       arrive(region);
               });
}

void run::arrive(std::size_t region)
{
    const auto call = std::make_shared<request>();
    const double popularity = m_random.unit();
    // Squaring favours low numbers, so that a few prefixes are popular.
    const auto prefix = static_cast<std::uint64_t>(popularity * popularity * prefixes_per_region);
    call->view.prefix_hash = 1 + region * prefixes_per_region + prefix;
    call->view.service = service_name;
    call->view.is_idempotent = true;
    const bool is_bound = m_random.unit() < bound_share;
    call->view.home = region_name(region);
    call->view.residency = is_bound ? settings::residency::bound : settings::residency::free;
    call->suffix_tokens = 50 + exponential(m_random, 150);
    call->answer_tokens = 20 + exponential(m_random, 40);
    const double tokens = 1'500 + call->suffix_tokens + call->answer_tokens;
    call->view.size = {static_cast<std::uint64_t>(bytes_per_token * tokens)};
    const std::uint64_t node = m_random.below(topology.nodes_per_region);
    const std::uint64_t other = m_random.below(topology.regions - 1);
    // Free callers of a region that is cut off enter at another one.
    call->region =
        is_cut_off[region] && !is_bound ? (region + 1 + other) % topology.regions : region;
    call->node = call->region * topology.nodes_per_region + node;
    call->arrived = time.now();
    call->deadline = time.now() + deadline_ms;
    call->is_measured = time.now() >= m_plan.measure_from_ms && time.now() < m_plan.measure_to_ms;
    m_figures.offered += call->is_measured ? 1 : 0;
    time.after(deadline_ms, [this, call] { on_deadline(call); });
    if (m_plan.callers_retry_eagerly)
        time.after(eager_timeout_ms, [this, call] { repeat_call_if_unanswered(call); });
    start(call, attempt_kind::first);
}

void run::start(const request_ptr& call, attempt_kind kind)
{
    if (call->is_over)
        return;
    call->view.kind = kind;
    call->view.remaining = core::milliseconds{static_cast<long>(call->deadline - time.now())};
    const routing_decision chosen = m_routers[call->node]->route(call->view, time.now());
    if (!chosen.engine && !chosen.region)
    {
        on_refused(call, chosen.refusal);
        return;
    }
    if (call->is_measured)
    {
        m_figures.first_attempts += kind == attempt_kind::first ? 1 : 0;
        m_figures.retries += kind == attempt_kind::retry ? 1 : 0;
        m_figures.hedges += kind == attempt_kind::hedge ? 1 : 0;
    }
    const auto sent = std::make_shared<attempt>();
    sent->id = chosen.attempt;
    call->attempts.push_back(sent);
    const std::size_t region =
        chosen.region ? *chosen.region : *chosen.engine / topology.engines_per_region;
    sent->is_remote = region != call->region;
    if (sent->is_remote)
        count_link(call);
    const bool is_unreachable = sent->is_remote && (is_cut_off[region] || is_cut_off[call->region]);
    if (chosen.region)
        call->view.tried_regions.push_back(region_name(region));
    else
    {
        sent->engine = *chosen.engine;
        sent->has_engine = true;
        call->view.tried.push_back(engine_name(*chosen.engine));
    }
    if (is_unreachable)
        time.after(
            unreachable_after_ms, [this, call, sent]
            { on_failure(call, sent, retry_reason::peer_unreachable, attempt_outcome::failed); });
    else if (chosen.region)
        time.after(topology.one_way_ms,
                   [this, call, sent, region] { send_to_region(call, sent, region); });
    else
        send_to_engine(call, sent, sent->is_remote ? topology.one_way_ms : local_delay_ms);
    if (kind == attempt_kind::first)
        schedule_hedge(call, sent);
}

void run::send_to_engine(const request_ptr& call, const attempt_ptr& sent, double one_way)
{
    sent->work = std::make_shared<job>();
    job& work = *sent->work;
    work.prefix = call->view.prefix_hash;
    work.suffix_tokens = call->suffix_tokens;
    work.answer_tokens = call->answer_tokens;
    // The attempt owns the job that owns these closures; weak pointers avoid a reference cycle.
    const std::weak_ptr<attempt> weak = sent;
    const auto back = [this, call, weak, one_way](auto action)
    {
        if (const attempt_ptr alive = weak.lock())
            time.after(one_way, [alive, action] { action(alive); });
    };
    work.on_first_token = [this, call, weak, back]
    {
        const attempt_ptr alive = weak.lock();
        if (alive && alive->remote != nullptr)
            alive->remote->on_first_byte(alive->remote_id, time.now());
        back([this, call](const attempt_ptr& one) { on_first_token(call, one); });
    };
    work.on_end = [this, call, back]
    { back([this, call](const attempt_ptr& one) { on_end(call, one); }); };
    work.on_failure = [this, call, back]
    {
        back([this, call](const attempt_ptr& one)
             { on_failure(call, one, retry_reason::upstream_failed, attempt_outcome::failed); });
    };
    time.after(sent->remote != nullptr ? local_delay_ms : one_way,
               [this, sent] { engines[sent->engine].submit(sent->work); });
}

void run::send_to_region(const request_ptr& call, const attempt_ptr& sent, std::size_t region)
{
    if (call->is_over || !sent->is_open)
        return;
    const std::size_t node =
        region * topology.nodes_per_region + m_choices.below(topology.nodes_per_region);
    policy::call_view view = call->view;
    view.kind = attempt_kind::first;
    view.tried.clear();
    view.tried_regions.clear();
    view.remaining = core::milliseconds{static_cast<long>(call->deadline - time.now())};
    view.path =
        view.path.with({region_name(call->region), core::zone_id{"a"}, node_name(call->node)});
    const routing_decision chosen = m_routers[node]->route(view, time.now());
    if (!chosen.engine)
    {
        time.after(topology.one_way_ms,
                   [this, call, sent] {
                       on_failure(call, sent, retry_reason::refused_before_run,
                                  attempt_outcome::refused_busy);
                   });
        return;
    }
    sent->remote = m_routers[node].get();
    sent->remote_id = chosen.attempt;
    sent->engine = *chosen.engine;
    sent->has_engine = true;
    send_to_engine(call, sent, topology.one_way_ms);
}

void run::schedule_hedge(const request_ptr& call, const attempt_ptr& sent)
{
    const std::optional<double> delay = m_routers[call->node]->hedge_delay(call->view, time.now());
    if (!delay)
        return;
    time.after(*delay,
               [this, call, sent]
               {
                   if (call->is_over || call->winner || !sent->is_open)
                       return;
                   router& node = *m_routers[call->node];
                   if (node.hedge_delay(call->view, time.now()) && node.take_hedge(time.now()))
                       start(call, attempt_kind::hedge);
               });
}

void run::on_first_token(const request_ptr& call, const attempt_ptr& sent)
{
    if (call->is_over || !sent->is_open || call->winner)
        return;
    call->winner = sent;
    m_routers[call->node]->on_first_byte(sent->id, time.now());
    if (call->is_measured)
        m_figures.first_token_ms.push_back(time.now() - call->arrived);
    for (const attempt_ptr& other : call->attempts)
    {
        if (other != sent)
            abandon(call, other);
    }
}

void run::on_end(const request_ptr& call, const attempt_ptr& sent)
{
    if (call->is_over || !sent->is_open)
        return;
    close(call, sent, attempt_outcome::answered);
    call->is_over = true;
    ++m_figures.answered_in_run;
    const bool is_in_window =
        time.now() >= m_plan.measure_from_ms && time.now() < m_plan.measure_to_ms;
    m_figures.good_in_time += is_in_window && time.now() <= call->deadline ? 1 : 0;
    if (!call->is_measured)
        return;
    if (time.now() <= call->deadline)
        ++m_figures.good;
    else
        ++m_figures.late;
}

void run::on_failure(const request_ptr& call, const attempt_ptr& sent, retry_reason reason,
                     attempt_outcome outcome)
{
    if (!sent->is_open)
        return;
    close(call, sent, outcome);
    const auto is_open = [](const attempt_ptr& one) { return one->is_open; };
    if (call->is_over || std::any_of(call->attempts.begin(), call->attempts.end(), is_open))
        return;
    if (!call->winner && m_routers[call->node]->may_retry(call->view, reason, time.now()))
    {
        start(call, attempt_kind::retry);
        return;
    }
    if (outcome == attempt_outcome::refused_busy)
    {
        on_refused(call, "overloaded");
        return;
    }
    call->is_over = true;
    m_figures.failed += call->is_measured ? 1 : 0;
    if (call->is_measured && !call->winner)
        m_figures.first_token_ms.push_back(deadline_ms);
}

void run::on_refused(const request_ptr& call, const std::string& reason)
{
    const auto is_open = [](const attempt_ptr& one) { return one->is_open; };
    if (std::any_of(call->attempts.begin(), call->attempts.end(), is_open))
        return;
    const bool repeats_call = m_plan.callers_retry_eagerly &&
                              call->repeated_calls < max_eager_repeats &&
                              time.now() + eager_repeat_delay_ms < call->deadline;
    if (repeats_call)
    {
        ++call->repeated_calls;
        call->view.tried.clear();
        call->view.tried_regions.clear();
        time.after(eager_repeat_delay_ms, [this, call] { start(call, attempt_kind::first); });
        return;
    }
    call->is_over = true;
    if (call->is_measured)
        ++m_figures.refused[reason];
}

void run::repeat_call_if_unanswered(const request_ptr& call)
{
    if (call->is_over || call->winner || call->repeated_calls >= max_eager_repeats)
        return;
    ++call->repeated_calls;
    for (const attempt_ptr& sent : call->attempts)
    {
        abandon(call, sent);
    }
    call->view.tried.clear();
    call->view.tried_regions.clear();
    start(call, attempt_kind::first);
    time.after(eager_timeout_ms, [this, call] { repeat_call_if_unanswered(call); });
}

void run::on_deadline(const request_ptr& call)
{
    if (call->is_over)
        return;
    for (const attempt_ptr& sent : call->attempts)
    {
        if (sent->is_open)
            close(call, sent, attempt_outcome::timed_out);
    }
    call->is_over = true;
    if (!call->is_measured)
        return;
    ++m_figures.late;
    if (!call->winner)
        m_figures.first_token_ms.push_back(deadline_ms);
}

void run::close(const request_ptr& call, const attempt_ptr& sent, attempt_outcome outcome)
{
    sent->is_open = false;
    m_routers[call->node]->on_finished(sent->id, outcome, time.now());
    if (sent->remote != nullptr)
        sent->remote->on_finished(sent->remote_id, outcome, time.now());
    if (sent->work)
        engines[sent->engine].cancel(sent->work);
}

void run::abandon(const request_ptr& call, const attempt_ptr& sent)
{
    if (!sent->is_open)
        return;
    sent->is_open = false;
    m_routers[call->node]->on_abandoned(sent->id, time.now());
    if (sent->remote != nullptr)
        sent->remote->on_abandoned(sent->remote_id, time.now());
    if (sent->work)
        engines[sent->engine].cancel(sent->work);
}

void run::report_loads()
{
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        std::vector<double>& report = m_last_reports[i];
        if (!are_reports_frozen)
            report = {static_cast<double>(engines[i].running()),
                      static_cast<double>(engines[i].waiting()), engines[i].kv_use()};
        if (!engines[i].is_alive())
            continue;
        time.after(report_lag_ms,
                   [this, i, report]
                   {
                       const std::size_t region = i / topology.engines_per_region;
                       for (std::size_t n = 0; n < topology.nodes_per_region; ++n)
                       {
                           m_routers[region * topology.nodes_per_region + n]->on_load_report(
                               i, static_cast<unsigned>(report[0]),
                               static_cast<unsigned>(report[1]), report[2], time.now());
                       }
                   });
    }
    if (time.now() < m_plan.end_ms + deadline_ms)
        time.after(report_interval_ms, [this] { report_loads(); });
}

void run::report_regions()
{
    std::vector<policy::region_status> all;
    for (std::size_t region = 0; region < topology.regions; ++region)
    {
        const router& relay = *m_routers[region * topology.nodes_per_region];
        policy::region_status facts;
        facts.region = region_name(region);
        facts.zones = {core::zone_id{"a"}};
        facts.one_way_delay_ms = topology.one_way_ms;
        facts.services[service_name] = {relay.free_calls(time.now()), relay.latency_ms(), 1};
        all.push_back(facts);
    }
    for (std::size_t region = 0; region < topology.regions; ++region)
    {
        std::vector<policy::region_status> seen;
        for (std::size_t other = 0; other < topology.regions; ++other)
        {
            if (other != region && !is_cut_off[region] && !is_cut_off[other])
                seen.push_back(all[other]);
        }
        time.after(topology.one_way_ms,
                   [this, region, seen]
                   {
                       for (std::size_t n = 0; n < topology.nodes_per_region; ++n)
                       {
                           m_routers[region * topology.nodes_per_region + n]->set_regions(
                               seen, time.now());
                       }
                   });
    }
    if (time.now() < m_plan.end_ms + deadline_ms)
        time.after(summary_interval_ms, [this] { report_regions(); });
}

void run::count_link(const request_ptr& call)
{
    if (!call->is_measured)
        return;
    ++m_figures.sent_to_remote;
    m_figures.link_bytes += static_cast<double>(call->view.size.count);
}

} // namespace snipeplank::bench
