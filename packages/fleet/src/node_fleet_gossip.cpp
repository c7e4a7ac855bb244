#include <snipeplank/fleet/node_fleet.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::fleet
{

namespace
{

/// Shares of a gossip message, in bytes; what one share leaves unused is available to the next.
constexpr std::size_t member_budget = 360;
constexpr std::size_t leaving_budget = 128;
/// Smaller size limit for gossip of watchers and relays, which also read the configuration service
/// or send summaries to other regions, so that the total stays under the traffic budget.
constexpr std::size_t role_gossip_bytes = 600;
/// Share of the remaining bytes for summaries, in percent; loads use the rest.
constexpr std::size_t summary_percent = 40;
constexpr std::size_t all_percent = 100;
/// Minimum time between two pushes of urgent facts, which limits their traffic in mass failures.
constexpr core::milliseconds push_interval{250};
/// In a large fleet, each other region is sent a summary in one of this many rounds.
constexpr std::size_t exchange_slots = 4;
static_assert(exchange_slots * exchange_interval == summary_interval);
/// Target for the summaries of one round. A small fleet sends all of them in each round, so that
/// spill is possible a few seconds after a start.
constexpr std::size_t summaries_per_round = 5;

std::size_t slots_for(std::size_t regions)
{
    const std::size_t rounds = (regions + summaries_per_round - 1) / summaries_per_round;
    return std::clamp<std::size_t>(rounds, 1, exchange_slots);
}

std::size_t free_bytes(const gossip& body, std::size_t cap = max_gossip_bytes)
{
    const std::size_t used = estimated_size(message{body});
    return used < cap ? cap - used : 0;
}

} // namespace

std::size_t summary_entry_points(std::size_t other_regions)
{
    constexpr std::size_t points_in_all = 12;
    return std::clamp<std::size_t>(points_in_all / std::max<std::size_t>(other_regions, 1), 1,
                                   max_summary_entry_points);
}

gossip node_fleet::compose(gossip_kind kind) const
{
    gossip body;
    body.kind = kind;
    body.sender = self();
    body.sender_region = m_settings.region;
    body.digest = m_config.digest();
    return body;
}

void node_fleet::add_urgent_items(gossip& body, std::size_t& budget, core::time_point now)
{
    const std::size_t before = body.members.size();
    for (member_update& update : m_members.take_updates(std::min(budget, member_budget)))
        body.members.push_back(std::move(update));
    for (std::size_t i = before; i < body.members.size(); ++i)
        budget -= estimated_size(body.members[i]);
    body.leaving = m_loads.take_leaving(std::min(budget, leaving_budget), now);
    budget -= body.leaving.size() * estimated_size(upstream_leaving{});
}

void node_fleet::add_items(gossip& body, core::time_point now)
{
    const bool reads_for_others = m_roles.watcher || m_roles.relay;
    std::size_t budget = free_bytes(body, reads_for_others ? role_gossip_bytes : max_gossip_bytes);
    add_urgent_items(body, budget, now);
    const std::size_t share = budget * summary_percent / all_percent;
    body.regions = m_regions.take(share, budget, now);
    for (const region_summary& summary : body.regions)
        budget -= estimated_size(summary);
    body.loads = m_loads.take_loads(budget, now);
}

void node_fleet::send_probes(core::time_point now)
{
    for (const probe& next : m_members.take_probes())
    {
        gossip body = compose(next.kind);
        body.sequence = next.sequence;
        body.target = next.target;
        body.wants_members = next.wants_members;
        body.members = m_members.take_urgent_updates(next.to);
        if (!next.brief)
            add_items(body, now);
        m_actions.emplace_back(send_message{next.to, std::move(body)});
    }
}

void node_fleet::push_urgent(core::time_point now)
{
    if (!m_push_wanted || now < m_next_push)
        return;
    m_push_wanted = false;
    m_next_push = now + push_interval;
    std::vector<core::address> peers = m_members.random_peers(push_fanout);
    if (std::exchange(m_config_push, false) && m_roles.watcher)
    {
        // Other watchers then fetch the change as a delta and need no read from the service.
        for (const core::address& watcher : m_other_watchers)
        {
            if (std::find(peers.begin(), peers.end(), watcher) == peers.end())
                peers.push_back(watcher);
        }
    }
    for (const core::address& peer : peers)
    {
        gossip body = compose(gossip_kind::announce);
        std::size_t budget = free_bytes(body);
        add_urgent_items(body, budget, now);
        m_actions.emplace_back(send_message{peer, std::move(body)});
    }
}

void node_fleet::send_members(const core::address& to)
{
    gossip body = compose(gossip_kind::announce);
    std::size_t budget = free_bytes(body);
    for (member_update& member : m_members.members())
    {
        const std::size_t size = estimated_size(member);
        if (size > budget)
        {
            m_actions.emplace_back(send_message{to, std::move(body)});
            body = compose(gossip_kind::announce);
            budget = free_bytes(body);
        }
        budget -= std::min(size, budget);
        body.members.push_back(std::move(member));
    }
    if (!body.members.empty())
        m_actions.emplace_back(send_message{to, std::move(body)});
}

std::vector<core::region_id> node_fleet::other_regions() const
{
    std::vector<core::region_id> regions;
    for (const auto& [region, hosts] : m_listed_entry_hosts)
    {
        if (region != m_settings.region && !hosts.empty())
            regions.push_back(region);
    }
    return regions;
}

/// The two relays divide the other regions between them and swap halves every cycle, so that a
/// failed relay delays each summary by one cycle at most.
void node_fleet::exchange_summaries(core::time_point now)
{
    if (now < m_next_exchange)
        return;
    m_next_exchange = std::max(m_next_exchange + exchange_interval, now);
    const unsigned slot = m_exchange_slot++;
    if (!m_roles.relay)
        return;
    const bool alone = live_members().empty();
    const std::vector<core::region_id> regions = other_regions();
    const std::size_t slots = slots_for(regions.size());
    const std::size_t cycle = slot / slots;
    for (std::size_t i = slot % slots; i < regions.size(); i += slots)
    {
        const std::size_t turn = (i / slots + cycle) % relays_per_region;
        if (alone || turn == m_roles.relay_rank)
            send_summary(regions[i], now);
    }
}

void node_fleet::send_summary(const core::region_id& region, core::time_point now)
{
    const core::address contact = contact_in(region, now);
    if (contact.get().empty())
        return;
    gossip body = compose(gossip_kind::announce);
    body.regions.push_back(own_summary(now));
    m_actions.emplace_back(send_message{contact, std::move(body)});
}

core::address node_fleet::contact_in(const core::region_id& region, core::time_point now)
{
    if (const auto summary = m_regions.summary_of(region, now);
        summary && !summary->entry_points.empty())
        return summary->entry_points[m_random.below(summary->entry_points.size())].peer;
    const auto listed = m_listed_entry_hosts.find(region);
    if (listed == m_listed_entry_hosts.end() || listed->second.empty())
        return {};
    return listed->second[m_random.below(listed->second.size())];
}

region_summary node_fleet::own_summary(core::time_point now)
{
    region_summary summary;
    summary.region = m_settings.region;
    summary.issuer = self().id.incarnation.get();
    summary.sequence = ++m_summary_sequence;
    std::vector<member_update> live = live_members();
    summary.live_nodes = static_cast<std::uint16_t>(live.size() + 1);
    live.push_back(self());
    const std::size_t max_points = summary_entry_points(other_regions().size());
    while (!live.empty() && summary.entry_points.size() < max_points)
    {
        std::swap(live[m_random.below(live.size())], live.back());
        summary.entry_points.push_back({live.back().id.address, live.back().caller_address});
        live.pop_back();
    }
    summary.services = service_loads(now);
    return summary;
}

std::vector<service_load> node_fleet::service_loads(core::time_point now) const
{
    std::map<std::uint32_t, service_load> sums;
    for (const upstream_info& upstream : m_upstreams)
    {
        if (is_upstream_leaving(upstream.address, now))
            continue;
        const std::uint32_t key = service_key(upstream.service);
        if (!sums.contains(key) && sums.size() == max_summary_services)
            continue;
        service_load& sum = sums[key];
        sum.service_key = key;
        ++sum.upstreams;
        if (const auto load = load_of(upstream.address, now))
        {
            sum.running += load->running;
            sum.waiting += load->waiting;
        }
    }
    std::vector<service_load> loads;
    for (const auto& [key, sum] : sums)
        loads.push_back(sum);
    return loads;
}

} // namespace snipeplank::fleet
