#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/policy/quota_exchange.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <string>
#include <utility>

namespace snipeplank::policy
{

namespace
{

/// Collectors in each region, each for a part of the accounts.
constexpr std::uint64_t collectors_per_region = 2;
/// Longest wait of a request for units. A round trip between regions, a collection there and the
/// time in which a large request gathers its units fit.
constexpr core::milliseconds max_wait_for_units{1'000};
/// An ask stands in a collector's queue only if what comes in this time serves those before it.
constexpr core::milliseconds queue_time{300};
/// How long an account counts as short of units after a request was refused.
constexpr core::milliseconds short_time{1'000};
constexpr core::milliseconds collect_interval{300};
constexpr core::milliseconds remote_ask_interval{300};
/// A collector goes on collecting for this long after the last ask.
constexpr core::milliseconds active_time{3'000};
/// How long an ask to another region stands: a round trip within that region.
constexpr core::milliseconds remote_ask_time{400};
/// A collector that has not answered for this long is passed over.
constexpr core::milliseconds answer_timeout{200};
constexpr core::milliseconds silence_time{3'000};
/// What a node keeps for itself of units that it is asked for, in time of its own demand.
constexpr core::milliseconds reserve_time{500};
constexpr core::duration estimate_span = std::chrono::seconds{1};
/// An account that is not used is forgotten, in more than the time after which units are void.
constexpr core::milliseconds idle_time = 2 * quota_units::max_age;
/// Units closer in age are told as one, with the age of the oldest.
constexpr core::milliseconds grant_span{300};
constexpr core::milliseconds min_retry_after{200};
constexpr core::milliseconds max_retry_after{10'000};
/// Retry-after while nothing is filled: nodes that have started learn how many they are.
constexpr core::milliseconds unknown_rate_retry{1'000};

double seconds_of(core::duration span)
{
    return std::chrono::duration<double>(span).count();
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

quota_key quota_key_of(const core::account_id& account)
{
    return quota_key{core::hash64(account.get())};
}

void quota_charge::settle(state how)
{
    m_state = how;
    if (m_on_settled)
        std::exchange(m_on_settled, nullptr)();
}

void quota_exchange::rate_estimate::add(double amount, core::time_point now)
{
    m_rate = per_second(now) + amount / seconds_of(estimate_span);
    m_at = now;
}

double quota_exchange::rate_estimate::per_second(core::time_point now) const
{
    const double spans = seconds_of(now - m_at) / seconds_of(estimate_span);
    return m_rate * std::exp(-std::max(0.0, spans));
}

quota_exchange::quota_exchange(std::uint64_t instance, quota_network& network)
    : m_instance(instance), m_network(network)
{
}

void quota_exchange::set_limits(const std::map<quota_key, double>& fill_rates, core::time_point now)
{
    for (auto& [account, known] : m_accounts)
    {
        refill(known, now);
    }
    std::map<quota_key, limit> limits;
    for (const auto& [account, rate] : fill_rates)
    {
        const auto before = m_limits.find(account);
        const bool is_same = before != m_limits.end() && before->second.fill_rate == rate;
        limits[account] = {rate, is_same ? before->second.since : now};
    }
    m_limits = std::move(limits);
    for (auto& [account, known] : m_accounts)
    {
        known.fill.set_rate(rate_of_share(account));
    }
}

void quota_exchange::set_nodes(core::address self, core::region_id region,
                               std::vector<quota_node> others)
{
    m_self = std::move(self);
    m_region = std::move(region);
    m_others = std::move(others);
    m_regions.clear();
    m_regions[m_region].push_back(m_self);
    for (const quota_node& each : m_others)
    {
        m_regions[each.region].push_back(each.node);
    }
}

void quota_exchange::set_share(node_share share, core::time_point now)
{
    if (share == m_share)
        return;
    for (auto& [account, known] : m_accounts)
    {
        refill(known, now);
    }
    m_share = share;
    m_share_since = now;
    for (auto& [account, known] : m_accounts)
    {
        known.fill.set_rate(rate_of_share(account));
    }
}

std::shared_ptr<quota_charge> quota_exchange::charge(quota_key account, double amount,
                                                     core::milliseconds max_wait,
                                                     core::time_point now)
{
    account_state& known = state_of(account, now);
    known.used_at = now;
    known.demand.add(amount, now);
    known.requests.add(1, now);
    refill(known, now);
    auto charged = std::make_shared<quota_charge>(account, amount);
    const bool is_short = known.short_until > now;
    if (!is_short && known.waiting.empty() && known.local_asks.empty() &&
        known.units.available(now) >= amount)
    {
        grant(*charged, known, now);
        return charged;
    }
    charged->m_waits_until = now + std::min(max_wait, max_wait_for_units);
    known.waiting.push_back(charged);
    ask_for(account, *charged, now);
    flush();
    return charged;
}

void quota_exchange::give_up(const std::shared_ptr<quota_charge>& charged, core::time_point now)
{
    if (charged->m_state != quota_charge::state::waiting)
        return;
    account_state& known = state_of(charged->m_account, now);
    std::erase(known.waiting, charged);
    refuse(*charged, known, now);
}

void quota_exchange::give_back(const std::shared_ptr<quota_charge>& charged, core::time_point now)
{
    account_state& known = state_of(charged->m_account, now);
    known.units.add(std::exchange(charged->m_units, {}));
    serve_local_asks(known, now);
    grant_waiting(known, now);
    flush();
}

double quota_exchange::available(quota_key account, core::time_point now)
{
    account_state& known = state_of(account, now);
    refill(known, now);
    return known.units.available(now);
}

void quota_exchange::on_message(const core::address& from, const quota_message& received,
                                core::time_point now)
{
    if (received.asker == m_instance)
    {
        m_unanswered.erase(from);
        for (const quota_grant& each : received.grants)
        {
            on_grant(each, now);
        }
    }
    for (const quota_ask& each : received.asks)
    {
        on_ask(from, received.asker, each, now);
    }
    flush();
}

void quota_exchange::on_tick(core::time_point now)
{
    note_silent_collectors(now);
    for (auto& [account, known] : m_accounts)
    {
        if (known.waiting.empty() && known.active_until <= now)
            continue;
        refill(known, now);
        refuse_overdue(known, now);
        serve_local_asks(known, now);
        grant_waiting(known, now);
        if (known.active_until <= now)
            continue;
        collect(account, known, now);
        ask_other_regions(account, known, now);
        serve_remote_asks(known, now);
    }
    flush();
    prune(now);
}

quota_exchange::account_state& quota_exchange::state_of(quota_key account, core::time_point now)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end())
        return found->second;
    account_state& known = m_accounts[account];
    const auto limited = m_limits.find(account);
    const core::time_point since =
        limited == m_limits.end() ? now : std::max(limited->second.since, m_share_since);
    known.fill = quota_fill(rate_of_share(account), since);
    known.used_at = now;
    return known;
}

double quota_exchange::rate_of_share(quota_key account) const
{
    const auto limited = m_limits.find(account);
    return limited == m_limits.end() ? 0 : m_share.of(limited->second.fill_rate);
}

void quota_exchange::refill(account_state& known, core::time_point now)
{
    const double before = known.units.available(now);
    known.fill.fill(known.units, now);
    known.inflow.add(std::max(0.0, known.units.available(now) - before), now);
}

/// Milliseconds of this process's clock. Differences are right also after it has wrapped.
std::uint32_t quota_exchange::stamp(core::time_point now) const
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<core::milliseconds>(now.time_since_epoch()).count());
}

/// A stamp that no other request has; a little in the past where several ask within a millisecond,
/// so that the age of a grant is never too low.
std::uint32_t quota_exchange::unique_stamp(core::time_point now)
{
    const std::uint32_t current = stamp(now);
    if (current != m_stamped_at)
    {
        m_stamped_at = current;
        m_stamps = 0;
    }
    return current - m_stamps++;
}

core::address quota_exchange::collector_of(quota_key account, const core::region_id& region,
                                           core::time_point now) const
{
    const std::string key =
        "quota collector " + std::to_string(account.get() % collectors_per_region);
    const auto nodes = m_regions.find(region);
    const core::address* best = nullptr;
    std::uint64_t best_score = 0;
    if (nodes == m_regions.end())
        return {};
    for (const core::address& each : nodes->second)
    {
        const auto silent = m_silent_until.find(each);
        if (silent != m_silent_until.end() && silent->second > now)
            continue;
        const std::uint64_t score = core::rendezvous_score(key, each.get());
        if (best != nullptr && score <= best_score)
            continue;
        best = &each;
        best_score = score;
    }
    return best == nullptr ? core::address{} : *best;
}

void quota_exchange::grant(quota_charge& charged, account_state& known, core::time_point now)
{
    charged.m_units = known.units.take(charged.m_amount, now);
    charged.m_granted_at = now;
    ++m_counters.granted;
    charged.settle(quota_charge::state::granted);
}

/// Retry-after follows the rate at which units have come lately.
void quota_exchange::refuse(quota_charge& charged, account_state& known, core::time_point now)
{
    known.short_until = now + short_time;
    const double rate = std::max(known.inflow.per_second(now), known.fill.rate());
    const double missing = std::max(0.0, charged.m_amount - known.units.available(now));
    const double max_ms = static_cast<double>(max_retry_after.count());
    charged.m_retry_after = unknown_rate_retry;
    if (rate > 0)
        charged.m_retry_after = std::max(
            min_retry_after,
            core::milliseconds{static_cast<long>(std::min(max_ms, missing / rate * 1'000))});
    ++m_counters.refused;
    charged.settle(quota_charge::state::refused);
}

void quota_exchange::grant_waiting(account_state& known, core::time_point now)
{
    while (!known.waiting.empty() && known.local_asks.empty() && known.short_until <= now &&
           known.units.available(now) >= known.waiting.front()->m_amount)
    {
        grant_asked(known.waiting.front()->m_asked_at_ms, known, now);
    }
}

/// Grants the request for which units were asked for at this time, if they are there.
void quota_exchange::grant_asked(std::uint32_t asked_at_ms, account_state& known,
                                 core::time_point now)
{
    const auto found = find_asked(known, asked_at_ms);
    if (found == known.waiting.end() || known.units.available(now) < (*found)->m_amount)
        return;
    const auto charged = *found;
    known.waiting.erase(found);
    ++m_counters.waited;
    grant(*charged, known, now);
}

std::deque<std::shared_ptr<quota_charge>>::iterator
quota_exchange::find_asked(account_state& known, std::uint32_t asked_at_ms)
{
    return std::find_if(known.waiting.begin(), known.waiting.end(),
                        [&](const auto& each) { return each->m_asked_at_ms == asked_at_ms; });
}

void quota_exchange::refuse_overdue(account_state& known, core::time_point now)
{
    std::vector<std::shared_ptr<quota_charge>> overdue;
    for (const auto& each : known.waiting)
    {
        if (each->m_waits_until <= now)
            overdue.push_back(each);
    }
    for (const auto& each : overdue)
    {
        std::erase(known.waiting, each);
        refuse(*each, known, now);
    }
}

/// Units that this collector can expect while an ask stands in its queue. Before it has collected,
/// it expects what the nodes of its region fill.
double quota_exchange::units_in_a_wait(quota_key account, const account_state& known,
                                       core::time_point now) const
{
    const auto nodes = m_regions.find(m_region);
    const double count = nodes == m_regions.end() ? 1 : static_cast<double>(nodes->second.size());
    const double rate = std::max(known.inflow.per_second(now), rate_of_share(account) * count);
    return rate * seconds_of(queue_time);
}

void quota_exchange::ask_for(quota_key account, quota_charge& charged, core::time_point now)
{
    charged.m_asked_at_ms = unique_stamp(now);
    const core::address collector = collector_of(account, m_region, now);
    const auto wait = std::chrono::duration_cast<core::milliseconds>(charged.m_waits_until - now);
    const quota_ask ask{account, quota_ask_kind::need, charged.m_asked_at_ms,
                        static_cast<float>(charged.m_amount),
                        static_cast<std::uint16_t>(std::max(wait, core::milliseconds{0}).count())};
    if (collector == m_self || collector.get().empty())
    {
        on_need({m_self, m_instance, ask, now + wait}, state_of(account, now), now);
        return;
    }
    m_unanswered.try_emplace(collector, now);
    m_asks[collector].asks.push_back(ask);
    ++m_counters.asked;
}

void quota_exchange::ask_again(quota_key account, account_state& known, core::time_point now)
{
    const auto waiting = known.waiting;
    for (const auto& each : waiting)
    {
        if (each->m_state == quota_charge::state::waiting)
            ask_for(account, *each, now);
    }
}

void quota_exchange::note_silent_collectors(core::time_point now)
{
    bool has_new = false;
    for (auto each = m_unanswered.begin(); each != m_unanswered.end();)
    {
        if (now - each->second < answer_timeout)
        {
            ++each;
            continue;
        }
        m_silent_until[each->first] = now + silence_time;
        each = m_unanswered.erase(each);
        has_new = true;
    }
    if (!has_new)
        return;
    for (auto& [account, known] : m_accounts)
    {
        ask_again(account, known, now);
    }
}

void quota_exchange::on_ask(const core::address& from, std::uint64_t asker, const quota_ask& ask,
                            core::time_point now)
{
    if (!is_amount(ask.needed) || !m_limits.contains(ask.account))
        return;
    account_state& known = state_of(ask.account, now);
    known.used_at = now;
    refill(known, now);
    pending_ask asked{from, asker, ask, now + core::milliseconds{ask.wait_ms}};
    switch (ask.kind)
    {
    case quota_ask_kind::need:
        on_need(asked, known, now);
        break;
    case quota_ask_kind::collect:
        on_collect(asked, known, now);
        break;
    case quota_ask_kind::lend:
        on_remote_ask(std::move(asked), known, now);
        break;
    }
}

/// Who stands in the queue does not depend on how much it needs, but on those before it.
void quota_exchange::on_need(const pending_ask& asked, account_state& known, core::time_point now)
{
    const quota_key account = asked.ask.account;
    known.active_until = now + active_time;
    known.region_demand.add(asked.ask.needed, now);
    const double before =
        std::accumulate(known.local_asks.begin(), known.local_asks.end(), 0.0,
                        [](double sum, const pending_ask& each) { return sum + each.ask.needed; });
    const double expected = known.units.available(now) + units_in_a_wait(account, known, now);
    const bool has_prospect = expected > 0 && before <= expected;
    if (!has_prospect)
        known.short_until = now + short_time;
    else
    {
        known.local_asks.push_back(asked);
        serve_local_asks(known, now);
    }
    collect(account, known, now);
    ask_other_regions(account, known, now);
    const bool is_served = has_prospect && known.local_asks.empty();
    if (is_served)
        return;
    const quota_grant none{account, asked.ask.asked_at_ms, 0, 0, has_prospect};
    if (asked.to == m_self)
        on_grant(none, now);
    else
        m_grants[{asked.to, asked.asker}].grants.push_back(none);
}

/// What this node is likely to use soon of what it fills itself; nothing where that does not make
/// up one of its requests, which come from the collector then.
double quota_exchange::own_reserve(const account_state& known, core::time_point now) const
{
    const double requests = known.requests.per_second(now);
    const double demand = known.demand.per_second(now);
    const double reserve = std::min(demand, known.fill.rate()) * seconds_of(reserve_time);
    return requests > 0 && reserve >= demand / requests ? reserve : 0;
}

/// A node that lacks units itself gives what it has: its request waits at the collector.
void quota_exchange::on_collect(const pending_ask& asked, account_state& known,
                                core::time_point now)
{
    if (!known.local_asks.empty())
        return;
    known.short_until = std::max(known.short_until, asked.expires);
    const bool is_short = !known.waiting.empty() || known.short_until > now;
    const double surplus = known.units.available(now) - (is_short ? 0 : own_reserve(known, now));
    if (surplus > 0)
        give(asked, known, std::min<double>(surplus, asked.ask.needed), now);
}

void quota_exchange::on_remote_ask(pending_ask asked, account_state& known, core::time_point now)
{
    known.active_until = now + active_time;
    std::erase_if(known.remote_asks, [&](const pending_ask& each) { return each.to == asked.to; });
    known.remote_asks.push_back(std::move(asked));
    collect(known.remote_asks.back().ask.account, known, now);
    serve_remote_asks(known, now);
}

void quota_exchange::on_grant(const quota_grant& granted, core::time_point now)
{
    if (!is_amount(granted.units))
        return;
    account_state& known = state_of(granted.account, now);
    refill(known, now);
    if (granted.units > 0)
    {
        const core::milliseconds since_asked{stamp(now) - granted.asked_at_ms};
        known.units.add({now - since_asked - core::milliseconds{granted.age_ms}, granted.units});
        known.inflow.add(granted.units, now);
        m_counters.units_received += granted.units;
        grant_asked(granted.asked_at_ms, known, now);
    }
    else if (!granted.has_prospect)
    {
        const auto refused = find_asked(known, granted.asked_at_ms);
        if (refused != known.waiting.end())
        {
            const auto charged = *refused;
            known.waiting.erase(refused);
            refuse(*charged, known, now);
        }
    }
    serve_local_asks(known, now);
    grant_waiting(known, now);
    serve_remote_asks(known, now);
}

/// Serves asks whole and in their order, so that large ones do not lose to small ones.
void quota_exchange::serve_local_asks(account_state& known, core::time_point now)
{
    while (!known.local_asks.empty())
    {
        const pending_ask first = known.local_asks.front();
        if (first.expires <= now)
        {
            known.local_asks.pop_front();
            continue;
        }
        if (known.units.available(now) < first.ask.needed)
            return;
        known.local_asks.pop_front();
        if (first.to == m_self)
            grant_asked(first.ask.asked_at_ms, known, now);
        else
            give(first, known, first.ask.needed, now);
    }
}

/// Gives other regions what the region itself is not likely to need soon.
void quota_exchange::serve_remote_asks(account_state& known, core::time_point now)
{
    std::erase_if(known.remote_asks, [&](const pending_ask& each) { return each.expires <= now; });
    while (!known.remote_asks.empty() && known.local_asks.empty() && known.short_until <= now)
    {
        const double reserve =
            (known.region_demand.per_second(now) + known.demand.per_second(now)) *
            seconds_of(reserve_time);
        const double surplus = known.units.available(now) - reserve;
        if (surplus < 1)
            return;
        pending_ask& first = known.remote_asks.front();
        const double part = std::min<double>(surplus, first.ask.needed);
        give(first, known, part, now);
        first.ask.needed -= static_cast<float>(part);
        if (first.ask.needed >= 1)
            return;
        known.remote_asks.pop_front();
    }
}

void quota_exchange::give(const pending_ask& to, account_state& known, double amount,
                          core::time_point now)
{
    std::vector<quota_grant>& grants = m_grants[{to.to, to.asker}].grants;
    core::time_point group{};
    for (const aged_units& each : known.units.take(amount, now))
    {
        m_counters.units_given_away += each.amount;
        if (group != core::time_point{} && each.filled_at - group < grant_span)
        {
            grants.back().units += each.amount;
            continue;
        }
        group = each.filled_at;
        const auto age = std::chrono::ceil<core::milliseconds>(now - each.filled_at);
        grants.push_back({to.ask.account, to.ask.asked_at_ms,
                          static_cast<std::uint32_t>(age.count()), each.amount, true});
    }
}

void quota_exchange::collect(quota_key account, account_state& known, core::time_point now)
{
    if (now - known.collected_at < collect_interval ||
        (known.remote_asks.empty() && !lacks_units(known, now)))
        return;
    known.collected_at = now;
    const core::milliseconds short_for =
        known.short_until > now ? 2 * collect_interval : core::milliseconds{0};
    const quota_ask ask{account, quota_ask_kind::collect, stamp(now),
                        std::numeric_limits<float>::max(),
                        static_cast<std::uint16_t>(short_for.count())};
    for (const quota_node& each : m_others)
    {
        if (each.region != m_region)
            continue;
        m_asks[each.node].asks.push_back(ask);
        ++m_counters.asked;
    }
}

void quota_exchange::ask_other_regions(quota_key account, account_state& known,
                                       core::time_point now)
{
    if (now - known.asked_remote_at < remote_ask_interval || !lacks_units(known, now))
        return;
    known.asked_remote_at = now;
    double needed = known.region_demand.per_second(now) * seconds_of(reserve_time);
    for (const pending_ask& each : known.local_asks)
    {
        needed += each.ask.needed;
    }
    const quota_ask ask{account, quota_ask_kind::lend, stamp(now), static_cast<float>(needed),
                        static_cast<std::uint16_t>(remote_ask_time.count())};
    for (const auto& [region, nodes] : m_regions)
    {
        const core::address collector =
            region == m_region ? core::address{} : collector_of(account, region, now);
        if (collector.get().empty())
            continue;
        m_asks[collector].asks.push_back(ask);
        ++m_counters.asked;
    }
}

/// Whether this collector has less than its region is likely to ask for soon.
bool quota_exchange::lacks_units(account_state& known, core::time_point now)
{
    return !known.local_asks.empty() ||
           known.units.available(now) < known.region_demand.per_second(now) *
                                            seconds_of(collect_interval + remote_ask_interval);
}

void quota_exchange::prune(core::time_point now)
{
    if (now - m_pruned_at < idle_time)
        return;
    m_pruned_at = now;
    std::erase_if(m_accounts,
                  [&](const auto& each)
                  {
                      const account_state& known = each.second;
                      return known.waiting.empty() && known.local_asks.empty() &&
                             known.active_until <= now && now - known.used_at > idle_time;
                  });
    std::erase_if(m_silent_until, [&](const auto& each) { return each.second <= now; });
}

void quota_exchange::flush()
{
    for (auto& [to, message] : std::exchange(m_asks, {}))
    {
        message.asker = m_instance;
        ++m_counters.messages;
        m_network.send(to, std::move(message));
    }
    for (auto& [to, message] : std::exchange(m_grants, {}))
    {
        message.asker = to.second;
        ++m_counters.messages;
        m_network.send(to.first, std::move(message));
    }
}

} // namespace snipeplank::policy
