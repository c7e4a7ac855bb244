#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/policy/fair_admission.hpp>
#include <snipeplank/serving/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "attempt_tracker.hpp"
#include "candidate_state.hpp"

namespace snipeplank::serving
{

namespace
{

/// Load reports of peers older than this are discarded.
constexpr core::milliseconds load_lifetime{2'000};
/// The state of another region older than this is not used.
constexpr core::milliseconds region_lifetime{5'000};
/// Cost of a millisecond of silence beyond the normal, in predicted milliseconds.
constexpr double silence_weight = 3;
/// An upstream with requests that sends nothing for this long counts as silent.
constexpr core::milliseconds silence_timeout{1'200};
/// Another region must be better by this much, since its load is reported with a delay.
constexpr double spill_margin_ms = 50;
/// Fraction of the objective below which a request stays in its region, whatever the remote load.
constexpr double spill_min_objective_share = 0.15;
/// Fraction of an upstream's connections that all nodes together may use.
constexpr double max_connection_share = 0.8;
constexpr core::milliseconds min_retry_after{100};
/// Cost of a millisecond of longer pauses between events, in predicted milliseconds.
constexpr double pause_weight = 1;

core::milliseconds from_ms(double ms)
{
    return core::milliseconds{static_cast<long>(ms)};
}

template <typename Value>
bool contains(const std::vector<Value>& values, const Value& wanted)
{
    return std::find(values.begin(), values.end(), wanted) != values.end();
}

/// Identifies the run of an upstream's process; a restart under the same id is another run.
policy::upstream_run_key run_of(const upstream& info)
{
    return policy::upstream_run_key{
        core::hash64(info.id.get(), core::hash64(std::to_string(info.started_ms)))};
}

/// The last prompt part that other prompts may share; empty when there is none.
std::string affinity_key(const caller_request& caller)
{
    return caller.prompt.size() < 2 ? std::string() : caller.prompt[caller.prompt.size() - 2].id;
}

} // namespace

class placement::state : private attempt_tracker
{
  public:
    state(core::region_id region, placement_bounds bounds, core::random_source& random)
        : attempt_tracker(bounds.retries), m_region(std::move(region)), m_bounds(bounds),
          m_random(random)
    {
    }

    void set_table(std::shared_ptr<const routing_table> table) { m_table = std::move(table); }

    void set_upstreams(const upstream_map& upstreams, core::time_point now)
    {
        std::erase_if(m_upstreams,
                      [&](const auto& known) { return !upstreams.contains(known.first); });
        forget_feedback(upstreams, now);
        m_remote_versions.clear();
        for (const auto& [id, info] : upstreams)
        {
            const auto version = policy::software_version_of(info.service, info.software_version);
            if (info.region != m_region)
            {
                bool& is_in_service = m_remote_versions[info.region][version];
                is_in_service = is_in_service || !info.is_leaving;
                continue;
            }
            upstream_state& known = m_upstreams[id];
            known.version = version;
            if (known.info.started_ms != info.started_ms)
                known.proof.on_may_have_ended();
            known.warmup.on_report({info.started_ms, info.report_number, info.cold_for}, now);
            known.info = info;
            known.key = core::hash64(info.address.get());
            known.run = run_of(info);
            if (const engine_size* engine = engine_of(info.service))
                known.prefixes.set_capacity(engine->cache_tokens / 2);
        }
    }

    void set_evacuations(const zone_set& zones, core::time_point now)
    {
        for (const core::zone_id& each : m_evacuated)
        {
            if (!zones.contains(each))
                m_evacuation_ends[each] = now;
        }
        m_evacuated = zones;
    }

    void set_sharing_nodes(sharing_nodes nodes, core::time_point now)
    {
        m_feedback.set_nodes(std::move(nodes.senders), std::move(nodes.self), now);
        m_known_in_region = std::max<std::size_t>(1, nodes.known_in_region);
        m_region_share = nodes.region;
        m_fleet_share = nodes.fleet;
    }

    void set_region(const core::region_id& region, const remote_region& known)
    {
        m_regions[region].known = known;
    }

    void set_peer_loads(std::uint64_t peer, std::map<std::uint64_t, peer_load> loads,
                        core::time_point now)
    {
        m_peers[peer] = {std::move(loads), now};
        std::erase_if(m_peers,
                      [&](const auto& each) { return now - each.second.at > load_lifetime; });
    }

    /// Called once the connection is open, so it also counts the warm-up of an upstream that was
    /// found closed before.
    admission admit(const upstream_id& target, policy::connection_record& over,
                    core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        if (found == m_upstreams.end() || !is_in_service(found->second))
            return admission::out_of_service;
        upstream_state& known = found->second;
        const service* offered = offered_by(known);
        const bool is_proven = is_proven_warm(known, offered, over, now);
        if (!allows_while_cold(known, offered, now))
            return admission::cold;
        if (!is_proven && !is_within_cold_share(known, *offered, now))
            return admission::unverified;
        if (!m_feedback.take(known.run, now))
            return admission::throttled;
        known.cold.on_sent(now);
        return admission::granted;
    }

    /// A byte is read, or a pause of the node is noticed, within `longest_gap` of its arrival.
    void on_received(const upstream_id& target, const policy::connection_record& over,
                     core::time_point arrived_after, core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        if (found == m_upstreams.end())
            return;
        m_pauses.check(now);
        const core::time_point sent_after =
            std::max<core::time_point>(arrived_after, now - policy::pause_watch::longest_gap);
        found->second.proof.on_contact(over.opened_at, sent_after);
        if (over.proven_at)
            found->second.proof.on_received(*over.proven_at, m_pauses.resumed_at(), sent_after);
    }

    policy::verification_turn begin_verification(const upstream_id& target, core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        return found == m_upstreams.end() ? policy::verification_turn::not_now
                                          : found->second.proof.begin_verification(now);
    }

    /// What was said before a pause of the node may not hold after it.
    void on_verified(const upstream_id& target, core::milliseconds cold_for,
                     core::time_point asked_at, policy::connection_record& over,
                     core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        if (found == m_upstreams.end())
            return;
        upstream_state& known = found->second;
        known.proof.end_verification();
        const service* offered = offered_by(known);
        if (offered != nullptr)
            known.warmup.on_answer(std::min(cold_for, offered->warmup), now);
        known.last_received_at = now;
        m_pauses.check(now);
        if (cold_for.count() > 0 || asked_at < m_pauses.resumed_at())
            return;
        over.proven_at = now;
        known.proof.on_received(now, m_pauses.resumed_at(),
                                std::max(asked_at, now - policy::pause_watch::longest_gap));
    }

    void on_unverified(const upstream_id& target, bool was_answered, core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        if (found != m_upstreams.end())
            found->second.proof.end_in_vain(was_answered, now);
    }

    void on_verification_cancelled(const upstream_id& target)
    {
        const auto found = m_upstreams.find(target);
        if (found != m_upstreams.end())
            found->second.proof.end_verification();
    }

    std::size_t unverified_upstreams(core::time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_upstreams.begin(), m_upstreams.end(),
                          [&](const auto& each) { return each.second.proof.is_unverified(now); }));
    }

    policy::software_version_key version_of(const upstream_id& target) const
    {
        const auto found = m_upstreams.find(target);
        return found == m_upstreams.end() ? policy::software_version_key{} : found->second.version;
    }

    bool is_version_listed(const placement_request& request) const
    {
        const bool is_here = request.homes.contains(m_region) &&
                             std::any_of(m_upstreams.begin(), m_upstreams.end(),
                                         [&](const auto& each) {
                                             return each.second.version == request.software_version;
                                         });
        return is_here || (request.may_leave_region &&
                           std::any_of(m_remote_versions.begin(), m_remote_versions.end(),
                                       [&](const auto& each) {
                                           return request.homes.contains(each.first) &&
                                                  each.second.contains(request.software_version);
                                       }));
    }

    bool on_statement(const upstream_id& target, const policy::upstream_statement& said,
                      core::time_point now)
    {
        const auto found = m_upstreams.find(target);
        if (found == m_upstreams.end())
            return false;
        const service* offered = offered_by(found->second);
        if (said.cold_for && has_warmup(offered))
            found->second.warmup.on_answer(std::min(*said.cold_for, offered->warmup), now);
        return m_feedback.on_answer(found->second.run, said, now);
    }

    void on_crashed(const upstream_id& target)
    {
        const auto found = m_upstreams.find(target);
        if (found == m_upstreams.end())
            return;
        found->second.warmup.on_closed();
        found->second.proof.on_may_have_ended();
    }

    std::size_t cold_upstreams(core::time_point now) const
    {
        return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                      [&](const auto& each)
                                                      { return is_cold(each.second, now); }));
    }

    placement_decision decide(const placement_request& request, core::time_point now)
    {
        const auto local = best_upstream(request, now);
        const auto remote = best_region(request, now);
        const double objective = static_cast<double>(request.chosen->objective.count());
        const bool local_is_good =
            local && !local->was_tried && local->cost_ms <= spill_min_objective_share * objective;
        const double remaining = static_cast<double>(request.remaining.count());
        const bool remote_is_better =
            remote && !local_is_good &&
            (!local || local->was_tried || remote->cost_ms + spill_margin_ms < local->cost_ms);
        const double max_wait = longest_wait(request, now);
        const bool remote_fits =
            remote && remote->predicted_ms < remaining && remote->wait_ms <= max_wait;
        const bool local_fits =
            local && local->predicted_ms < remaining && local->wait_ms <= max_wait;
        if (remote_is_better && remote_fits)
            return *remote;
        if (local_fits)
            return *local;
        if (!local && !remote)
            return refuse_without_upstream(request, now);
        if (remote_fits && is_room_shared(request))
            return *remote;
        if (max_wait < remaining)
            return refuse(policy::refusal_reason::overloaded,
                          (local ? local->wait_ms : remote->wait_ms) - max_wait, request);
        const double excess = (local ? local->predicted_ms : remote->predicted_ms) - remaining;
        return refuse(policy::refusal_reason::overloaded, excess, request);
    }

    std::string describe(const placement_request& request, core::time_point now) const
    {
        std::map<candidate_state, unsigned> counts;
        for (const auto& [id, known] : m_upstreams)
        {
            if (known.info.service == request.service)
                ++counts[has_version(known, request) ? state_of(known, now)
                                                     : candidate_state::other_version];
        }
        std::string text;
        for (const auto& [state, count] : counts)
        {
            text += std::string(to_string(state)) + "=" + std::to_string(count) + " ";
        }
        for (const auto& [region, known] : m_regions)
        {
            const candidate_state state = state_of(region, known.known, request, now);
            text += region.get() + "=" + std::string(to_string(state)) + " ";
        }
        return text;
    }

    bool is_silent(const upstream_id& target, core::time_point since, core::time_point now) const
    {
        const auto found = m_upstreams.find(target);
        return found != m_upstreams.end() &&
               std::min(silence(found->second, now), now - since) > silence_timeout;
    }

    std::map<std::uint64_t, peer_load> own_loads() const
    {
        std::map<std::uint64_t, peer_load> loads;
        for (const auto& [id, known] : m_upstreams)
        {
            if (known.own.running > 0)
                loads[known.key] = {known.own.running, known.own.waiting};
        }
        return loads;
    }

    std::map<core::service_id, region_load> region_loads(core::time_point now) const
    {
        std::map<core::service_id, region_load> loads;
        for (const auto& [id, known] : m_upstreams)
        {
            if (state_of(known, now) != candidate_state::good)
                continue;
            const peer_load all = total(known);
            region_load& sum = loads[known.info.service];
            ++sum.upstreams;
            sum.running += all.running;
            sum.waiting += all.waiting;
        }
        return loads;
    }

    std::map<core::service_id, double> retries_taken(core::time_point now) const
    {
        std::map<core::service_id, double> taken;
        for (const auto& [name, known] : m_services)
        {
            taken[name] = known.retries.taken(now);
        }
        return taken;
    }

    void record_admitted(const placement_request& request, core::time_point now)
    {
        if (is_room_shared(request) && request.account != nullptr)
            m_room[request.service].on_admitted(
                request.account->name,
                request.caller->prompt_tokens + request.caller->max_output_tokens, now);
    }

  private:
    /// Marks of upstreams end with their run, so that a late list does not bring one back.
    void forget_feedback(const upstream_map& upstreams, core::time_point now)
    {
        std::set<policy::upstream_run_key> listed;
        for (const auto& [id, info] : upstreams)
        {
            listed.insert(run_of(info));
        }
        m_feedback.forget_unlisted(
            [&](policy::upstream_run_key run) { return listed.contains(run); }, now);
    }

    /// Whether neither the published state nor the upstream itself says that it takes no new
    /// requests.
    bool is_in_service(const upstream_state& known) const
    {
        return !known.info.is_leaving && !m_feedback.is_leaving(known.run) &&
               !m_evacuated.contains(known.info.zone);
    }

    const service* offered_by(const upstream_state& known) const
    {
        return m_table ? m_table->find_service(known.info.service) : nullptr;
    }

    static bool has_warmup(const service* offered)
    {
        return offered != nullptr && offered->warmup_rate > 0;
    }

    /// Whether the upstream may be cold: by its own word, because it may have restarted, or because
    /// the evacuation of its zone, during which upstreams may become cold, has just ended. The last
    /// needs no word of the upstream, which may be late.
    bool is_cold(const upstream_state& known, core::time_point now) const
    {
        if (known.warmup.is_cold(now))
            return true;
        const auto ended = m_evacuation_ends.find(known.info.zone);
        const service* offered = offered_by(known);
        return ended != m_evacuation_ends.end() && has_warmup(offered) &&
               now < ended->second + offered->warmup + policy::warmup_tracker::margin;
    }

    /// Whether the rate limit of a cold upstream allows another request.
    bool allows_while_cold(upstream_state& known, const service* offered, core::time_point now)
    {
        return !has_warmup(offered) || !is_cold(known, now) ||
               is_within_cold_share(known, *offered, now);
    }

    bool is_within_cold_share(upstream_state& known, const service& offered, core::time_point now)
    {
        const policy::cold_start_bound bound{offered.warmup_rate, m_bounds.cold_overshoot,
                                             m_bounds.cold_slack};
        return known.cold.allows(bound, m_region_share, now);
    }

    /// Whether the process behind an open connection is proven to be warm, or its service needs no
    /// proof.
    bool is_proven_warm(upstream_state& known, const service* offered,
                        policy::connection_record& over, core::time_point now)
    {
        if (!has_warmup(offered))
            return true;
        m_pauses.check(now);
        known.warmup.on_reachable(offered->warmup, now);
        known.proof.on_contact(over.opened_at, over.opened_at);
        if (!known.proof.is_proven(over, offered->warmup + policy::warmup_tracker::margin,
                                   m_pauses.resumed_at(), now))
            return false;
        over.proven_at = now;
        return true;
    }

    /// Whether the process may be asked, or a request may be sent to it without.
    bool may_become_proven(upstream_state& known, const service* offered, core::time_point now)
    {
        return !has_warmup(offered) || !known.proof.is_unverified(now) ||
               is_within_cold_share(known, *offered, now);
    }

    candidate_state state_of(const upstream_state& known, core::time_point now) const
    {
        if (known.info.is_leaving || m_feedback.is_leaving(known.run))
            return candidate_state::leaving;
        if (m_evacuated.contains(known.info.zone))
            return candidate_state::evacuated;
        if (!m_feedback.allows(known.run, now))
            return candidate_state::throttled;
        if (known.avoid_until > now)
            return candidate_state::unreachable;
        if (silence(known, now) > silence_timeout)
            return candidate_state::silent;
        if (known.proof.is_unverified(now))
            return candidate_state::unverified;
        return is_cold(known, now) ? candidate_state::cold : candidate_state::good;
    }

    /// Whether the upstream has the software version that the request is bound to.
    static bool has_version(const upstream_state& known, const placement_request& request)
    {
        return request.software_version == policy::software_version_key{} ||
               request.software_version == known.version;
    }

    /// Whether an upstream of the version that the request is bound to takes requests there.
    bool has_version(const core::region_id& region, const placement_request& request) const
    {
        if (request.software_version == policy::software_version_key{})
            return true;
        const auto versions = m_remote_versions.find(region);
        if (versions == m_remote_versions.end())
            return false;
        const auto found = versions->second.find(request.software_version);
        return found != versions->second.end() && found->second;
    }

    candidate_state state_of(const core::region_id& region, const remote_region& known,
                             const placement_request& request, core::time_point now) const
    {
        if (!request.may_leave_region || !request.homes.contains(region))
            return candidate_state::not_allowed;
        if (contains(request.tried_regions, region))
            return candidate_state::tried;
        if (!known.is_reachable)
            return candidate_state::unreachable;
        if (now - known.last_received > region_lifetime)
            return candidate_state::silent;
        if (!has_version(region, request))
            return candidate_state::other_version;
        const auto offered = known.services.find(request.service);
        const bool offers = offered != known.services.end() && offered->second.upstreams > 0;
        return offers ? candidate_state::good : candidate_state::no_upstream;
    }

    /// Upstreams that may be sent this request now. Ejected, avoided and already tried upstreams
    /// are returned only when there is no other.
    std::vector<upstream_state*> usable_upstreams(const placement_request& request,
                                                  core::time_point now)
    {
        std::vector<upstream_state*> good;
        std::vector<upstream_state*> fallback;
        std::vector<core::address> addresses;
        if (!request.homes.contains(m_region))
            return good;
        const service* offered = m_table->find_service(request.service);
        for (auto& [id, known] : m_upstreams)
        {
            if (known.info.service != request.service || !has_version(known, request) ||
                !is_in_service(known) || !m_feedback.allows(known.run, now))
                continue;
            if (contains(request.turned_away_by, id) || !has_free_capacity(known, offered, now))
                continue;
            const bool is_too_new = request.may_begin_at && !request.may_begin_at(known.version);
            if (known.avoid_until > now || contains(request.tried, id) || is_too_new)
                fallback.push_back(&known);
            else
                good.push_back(&known);
        }
        move_ejected(good, fallback, request.service, now);
        return good.empty() ? fallback : good;
    }

    void move_ejected(std::vector<upstream_state*>& good, std::vector<upstream_state*>& fallback,
                      const core::service_id& name, core::time_point now)
    {
        std::vector<core::address> addresses;
        addresses.reserve(good.size());
        for (const upstream_state* each : good)
        {
            addresses.push_back(each->info.address);
        }
        const std::vector<bool> ejected = service_of(name).ejection.ejected(addresses, now);
        std::vector<upstream_state*> kept;
        for (std::size_t i = 0; i < good.size(); ++i)
        {
            (ejected[i] ? fallback : kept).push_back(good[i]);
        }
        good = std::move(kept);
    }

    /// Whether the request may be refused for the sake of others: it has not begun, and the
    /// configuration bounds the queue of its service.
    bool is_room_shared(const placement_request& request) const
    {
        return m_table && m_table->queue_bound_of(request.service) && !request.is_retry &&
               request.caller->last_event_id.empty();
    }

    /// Longest wait in ms for the requests before it after which a request may begin.
    double longest_wait(const placement_request& request, core::time_point now)
    {
        const double remaining = static_cast<double>(request.remaining.count());
        if (!is_room_shared(request))
            return remaining;
        const core::account_id name =
            request.account == nullptr ? core::account_id{} : request.account->name;
        const double limit = m_room[request.service].wait_limit(name, now);
        return std::min(remaining, queue_time(request) * limit);
    }

    /// Time in ms for which the requests of a service may queue: the shortest objective of its
    /// routes, and half of it for those that have more time. A queue that is filled by these would
    /// make the others late.
    double queue_time(const placement_request& request) const
    {
        constexpr double patient_part = 0.5;
        const core::milliseconds shortest =
            m_table->queue_bound_of(request.service)->shortest_objective;
        const bool is_patient = shortest < request.chosen->objective;
        return static_cast<double>(shortest.count()) * (is_patient ? patient_part : 1);
    }

    /// Whether the upstream's connection limit, and its rate limit while cold, allow another
    /// request.
    bool has_free_capacity(upstream_state& known, const service* offered, core::time_point now)
    {
        if (offered == nullptr)
            return true;
        if (!allows_while_cold(known, offered, now) || !may_become_proven(known, offered, now))
            return false;
        const double share = max_connection_share * offered->max_connections /
                             static_cast<double>(m_known_in_region);
        return offered->max_connections == 0 || known.own.running < std::max(1.0, share);
    }

    std::optional<to_upstream> best_upstream(const placement_request& request, core::time_point now)
    {
        if (!m_table)
            return std::nullopt;
        const std::vector<upstream_state*> candidates = usable_upstreams(request, now);
        if (candidates.empty())
            return std::nullopt;
        m_affinity_owner = rendezvous_owner(candidates, affinity_key(*request.caller));
        const upstream_id long_prompt_upstream =
            rendezvous_owner(candidates, request.service.get());
        const upstream_state* best = nullptr;
        double best_cost = 0;
        for (const upstream_state* each : candidates)
        {
            constexpr double tie_break_ms = 1;
            double cost = predict(*each, request);
            cost += interference(*each, request, long_prompt_upstream);
            cost += pause_weight * pause_excess(*each, request.service, now);
            cost += silence_weight * silence_excess(*each, now);
            cost += tie_break_ms * m_random.unit();
            if (best == nullptr || cost < best_cost)
            {
                best = each;
                best_cost = cost;
            }
        }
        const double predicted = predict(*best, request);
        return to_upstream{best->info, predicted, predicted - own_ms(*best, request), best_cost,
                           contains(request.tried, best->info.id)};
    }

    static upstream_id rendezvous_owner(const std::vector<upstream_state*>& candidates,
                                        const std::string& key)
    {
        if (key.empty() || candidates.size() < 2)
            return {};
        const auto score = [&](const upstream_state* each)
        { return core::rendezvous_score(key, each->info.id.get()); };
        return (*std::max_element(candidates.begin(), candidates.end(),
                                  [&](const upstream_state* a, const upstream_state* b)
                                  { return score(a) < score(b); }))
            ->info.id;
    }

    std::optional<to_region> best_region(const placement_request& request, core::time_point now)
    {
        std::optional<to_region> best;
        if (!request.may_leave_region || !m_table)
            return best;
        for (const auto& [region, known] : m_regions)
        {
            if (state_of(region, known.known, request, now) != candidate_state::good)
                continue;
            const region_load& load = known.known.services.at(request.service);
            const double ms = predict(known, load, request);
            const double cost = ms + region_interference(load, request);
            if (!best || cost < best->cost_ms)
                best = to_region{region, ms, ms - own_ms(request), cost};
        }
        return best;
    }

    /// Refuses a request that nothing can take. If upstreams take none because they said so, the
    /// caller may come back when the first of them takes one again; if they are overloaded, when
    /// they have worked off what they have.
    policy::refusal refuse_without_upstream(const placement_request& request, core::time_point now)
    {
        if (!request.turned_away_by.empty())
            return refuse(policy::refusal_reason::overloaded, shortest_wait(request), request);
        const bool is_bound = request.software_version != policy::software_version_key{};
        policy::refusal_reason reason = is_bound && !is_version_listed(request)
                                            ? policy::refusal_reason::stream_version_gone
                                            : policy::refusal_reason::no_upstream;
        std::optional<core::milliseconds> soonest;
        for (const auto& [id, known] : m_upstreams)
        {
            if (known.info.service != request.service || !has_version(known, request) ||
                state_of(known, now) != candidate_state::throttled)
                continue;
            reason = policy::refusal_reason::upstream_throttled;
            const auto at = m_feedback.allowed_at(known.run, now);
            if (!at)
                continue;
            const auto left = std::chrono::duration_cast<core::milliseconds>(*at - now);
            soonest = std::min(soonest.value_or(left), left);
        }
        return refuse(reason, static_cast<double>(soonest.value_or(unreachable_backoff).count()),
                      request);
    }

    /// Predicted time in ms at the upstreams that have turned the request away; 0 when none of them
    /// is known any more.
    double shortest_wait(const placement_request& request)
    {
        std::optional<double> shortest;
        for (const upstream_id& each : request.turned_away_by)
        {
            const auto found = m_upstreams.find(each);
            if (found == m_upstreams.end())
                continue;
            const double wait = predict(found->second, request);
            shortest = std::min(shortest.value_or(wait), wait);
        }
        return shortest.value_or(0);
    }

    policy::refusal refuse(policy::refusal_reason reason, double wait_ms,
                           const placement_request& request)
    {
        // Callers honour a retry-after of at most a third of their remaining time.
        const double max_wait_ms = static_cast<double>(request.remaining.count()) / 3;
        const double min_wait_ms = static_cast<double>(min_retry_after.count());
        const double base =
            std::clamp(wait_ms, min_wait_ms, std::max(min_wait_ms, max_wait_ms / 2));
        policy::refusal why;
        why.reason = reason;
        why.executed = policy::execution::no;
        why.retry_after = from_ms(base * (1 + m_random.unit()));
        why.remedy = "come back after the time given";
        return why;
    }

    core::region_id m_region;
    placement_bounds m_bounds;
    core::random_source& m_random;
    zone_set m_evacuated;
    /// Software versions listed in other regions, and whether one of their upstreams may be used.
    std::map<core::region_id, std::map<policy::software_version_key, bool>> m_remote_versions;
    std::map<core::zone_id, core::time_point> m_evacuation_ends; ///< as learned by this node
    policy::upstream_feedback m_feedback;
    policy::node_share m_region_share;
    policy::node_share m_fleet_share;
    std::size_t m_known_in_region = 1;
    std::map<core::service_id, policy::fair_admission> m_room;

    friend class placement;
};

placement::placement(core::region_id region, placement_bounds bounds, core::random_source& random)
    : m_state(std::make_unique<state>(std::move(region), bounds, random))
{
}

placement::~placement() = default;

void placement::set_table(std::shared_ptr<const routing_table> table)
{
    m_state->set_table(std::move(table));
}

void placement::set_upstreams(const upstream_map& upstreams, core::time_point now)
{
    m_state->set_upstreams(upstreams, now);
}

void placement::set_evacuations(const zone_set& zones, core::time_point now)
{
    m_state->set_evacuations(zones, now);
}

void placement::set_sharing_nodes(sharing_nodes nodes, core::time_point now)
{
    m_state->set_sharing_nodes(std::move(nodes), now);
}

void placement::set_region(const core::region_id& region, const remote_region& known)
{
    m_state->set_region(region, known);
}

void placement::set_peer_loads(std::uint64_t peer, std::map<std::uint64_t, peer_load> loads,
                               core::time_point now)
{
    m_state->set_peer_loads(peer, std::move(loads), now);
}

void placement::on_request(const core::service_id& service, core::time_point now)
{
    m_state->service_of(service).retries.on_request(now);
}

placement_decision placement::decide(const placement_request& request, core::time_point now)
{
    return m_state->decide(request, now);
}

admission placement::admit(const upstream_id& target, policy::connection_record& over,
                           core::time_point now)
{
    return m_state->admit(target, over, now);
}

void placement::on_received(const upstream_id& target, const policy::connection_record& over,
                            core::time_point arrived_after, core::time_point now)
{
    m_state->on_received(target, over, arrived_after, now);
}

void placement::on_tick(core::time_point now)
{
    m_state->m_pauses.on_tick(now);
}

void placement::on_resumed(core::time_point now)
{
    m_state->m_pauses.on_resumed(now);
}

policy::verification_turn placement::begin_verification(const upstream_id& target,
                                                        core::time_point now)
{
    return m_state->begin_verification(target, now);
}

void placement::on_verified(const upstream_id& target, core::milliseconds cold_for,
                            core::time_point asked_at, policy::connection_record& over,
                            core::time_point now)
{
    m_state->on_verified(target, cold_for, asked_at, over, now);
}

void placement::on_unverified(const upstream_id& target, bool was_answered, core::time_point now)
{
    m_state->on_unverified(target, was_answered, now);
}

void placement::on_verification_cancelled(const upstream_id& target)
{
    m_state->on_verification_cancelled(target);
}

std::size_t placement::unverified_upstreams(core::time_point now) const
{
    return m_state->unverified_upstreams(now);
}

policy::software_version_key placement::version_of(const upstream_id& target) const
{
    return m_state->version_of(target);
}

bool placement::is_version_listed(const placement_request& request) const
{
    return m_state->is_version_listed(request);
}

void placement::on_crashed(const upstream_id& target)
{
    m_state->on_crashed(target);
}

std::size_t placement::cold_upstreams(core::time_point now) const
{
    return m_state->cold_upstreams(now);
}

bool placement::on_statement(const upstream_id& target, const policy::upstream_statement& said,
                             core::time_point now)
{
    return m_state->on_statement(target, said, now);
}

void placement::on_told(const policy::told_feedback& told, core::time_point now)
{
    m_state->m_feedback.on_told(told, now);
}

policy::told_feedback placement::to_tell(std::size_t max_items, core::time_point now) const
{
    return m_state->m_feedback.to_tell(max_items, now);
}

std::string placement::describe(const placement_request& request, core::time_point now) const
{
    return m_state->describe(request, now);
}

bool placement::is_silent(const upstream_id& target, core::time_point since,
                          core::time_point now) const
{
    return m_state->is_silent(target, since, now);
}

bool placement::take_retry(const core::service_id& service, core::time_point now)
{
    return m_state->service_of(service).retries.take(m_state->m_fleet_share, now);
}

std::map<core::service_id, double> placement::retries_taken(core::time_point now) const
{
    return m_state->retries_taken(now);
}

double placement::retry_slack_share() const
{
    return m_state->m_fleet_share.of(m_state->m_bounds.retries.slack);
}

std::uint64_t placement::on_sent(const placement_request& request, const upstream_id& target,
                                 core::time_point now)
{
    m_state->record_admitted(request, now);
    return m_state->on_sent(request, target, now);
}

std::uint64_t placement::on_sent(const placement_request& request, const core::region_id& target,
                                 core::time_point now)
{
    return m_state->on_sent(request, target, now);
}

void placement::add_delay(std::uint64_t attempt, core::duration spent)
{
    m_state->add_delay(attempt, spent);
}

void placement::on_first_byte(std::uint64_t attempt, core::time_point now)
{
    m_state->on_first_byte(attempt, now);
}

void placement::on_pause(std::uint64_t attempt, double ms, core::time_point now)
{
    m_state->on_pause(attempt, ms, now);
}

void placement::on_ended(std::uint64_t attempt, attempt_end how, core::time_point now)
{
    m_state->on_ended(attempt, how, now);
}

std::map<std::uint64_t, peer_load> placement::own_loads() const
{
    return m_state->own_loads();
}

std::map<core::service_id, region_load> placement::region_loads(core::time_point now) const
{
    return m_state->region_loads(now);
}

} // namespace snipeplank::serving
