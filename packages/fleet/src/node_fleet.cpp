#include <snipeplank/fleet/node_fleet.hpp>

#include <algorithm>
#include <iterator>

namespace snipeplank::fleet
{

namespace
{

template <typename Alternative>
const Alternative* as(const message& received)
{
    return std::get_if<Alternative>(&received);
}

std::vector<member_update> in_state(const std::vector<member_update>& members, member_state state)
{
    std::vector<member_update> found;
    std::copy_if(members.begin(), members.end(), std::back_inserter(found),
                 [state](const member_update& member) { return member.state == state; });
    return found;
}

} // namespace

node_fleet::node_fleet(node_fleet_settings settings, config_documents documents,
                       core::random_source& random)
    : m_settings(std::move(settings)), m_random(random),
      m_members({m_settings.self, m_settings.caller_address, m_settings.zone}, random),
      m_config(std::move(documents), random)
{
}

action_list node_fleet::start(core::time_point now)
{
    m_started = true;
    m_last_event = now;
    m_next_exchange = now + exchange_interval;
    m_members.start(now);
    m_config.start(now);
    return collect_actions(now);
}

void node_fleet::detect_pause(core::time_point now)
{
    const core::duration gap = now - m_last_event;
    m_last_event = now;
    if (!m_started || gap <= pause_threshold)
        return;
    const auto ms = std::chrono::duration_cast<core::milliseconds>(gap).count();
    m_actions.emplace_back(alarm{alarm_kind::paused,
                                 "the process did not run for " + std::to_string(ms) + " ms",
                                 "check the host for CPU starvation or a paused machine"});
    m_members.resume_after_pause(now);
}

action_list node_fleet::on_tick(core::time_point now)
{
    detect_pause(now);
    m_members.on_tick(now);
    m_loads.expire(now);
    m_regions.expire(now);
    m_config.on_tick(now);
    exchange_summaries(now);
    push_urgent(now);
    return collect_actions(now);
}

action_list node_fleet::on_message(const core::address& from, const message& received,
                                   core::time_point now)
{
    detect_pause(now);
    if (from == m_settings.self.address)
        return collect_actions(now);
    if (const auto* body = as<gossip>(received))
        on_gossip(from, *body, now);
    if (const auto* body = as<config_request>(received))
        m_config.on_request(from, *body);
    if (const auto* body = as<config_reply>(received))
        m_config.on_reply(from, *body, now);
    return collect_actions(now);
}

void node_fleet::on_gossip(const core::address& from, const gossip& received, core::time_point now)
{
    const bool own_region = received.sender_region == m_settings.region;
    if (own_region && received.sender.id.address == from)
    {
        m_members.on_gossip(received, now);
        merge_items(received, now);
    }
    for (const region_summary& summary : received.regions)
    {
        if (summary.region != m_settings.region)
            m_regions.merge(summary, now);
    }
    const bool same_zone = own_region && received.sender.zone == m_settings.zone;
    const peer_distance near = same_zone ? peer_distance::same_zone : peer_distance::same_region;
    m_config.on_digest(from, own_region ? near : peer_distance::other_region, received.digest, now);
    if (received.wants_members && own_region)
        send_members(from);
}

void node_fleet::merge_items(const gossip& received, core::time_point now)
{
    for (const upstream_load& load : received.loads)
        m_loads.merge(load, now);
    for (const upstream_leaving& fact : received.leaving)
    {
        if (m_loads.merge_leaving(fact, now))
            m_push_wanted = true;
    }
}

action_list node_fleet::on_host_list(const host_list& list, core::time_point now)
{
    detect_pause(now);
    m_upstreams.clear();
    m_upstream_addresses.clear();
    m_listed_entry_hosts.clear();
    for (const host_entry& host : list.hosts)
    {
        if (host.kind == host_kind::entry)
        {
            m_listed_entry_hosts[host.region].push_back(host.address);
            continue;
        }
        if (host.region != m_settings.region)
            continue;
        m_upstreams.push_back({host.address, host.service});
        m_upstream_addresses.push_back(host.address);
        const bool leaving = host.state == host_state::leaving;
        if (leaving && m_loads.report_leaving(upstream_key(host.address), now))
            m_push_wanted = true;
    }
    m_members.on_host_list(m_listed_entry_hosts[m_settings.region], now);
    m_roles_stale = true;
    return collect_actions(now);
}

action_list node_fleet::on_service_manifest(const std::string& text, core::time_point now)
{
    detect_pause(now);
    m_config.on_service_manifest(text, now);
    return collect_actions(now);
}

action_list node_fleet::on_service_failure(core::time_point now)
{
    detect_pause(now);
    m_config.on_service_failure(now);
    return collect_actions(now);
}

action_list node_fleet::on_section(const std::string& text, core::time_point now)
{
    detect_pause(now);
    m_config.on_section(text, now);
    return collect_actions(now);
}

action_list node_fleet::report_load(const core::address& upstream, const load_sample& sample,
                                    core::time_point now)
{
    detect_pause(now);
    const auto prober = static_cast<std::uint32_t>(self().id.incarnation.get());
    m_loads.report(upstream_key(upstream), prober, sample, now);
    return collect_actions(now);
}

action_list node_fleet::report_upstream_leaving(const core::address& upstream, core::time_point now)
{
    detect_pause(now);
    if (m_loads.report_leaving(upstream_key(upstream), now))
        m_push_wanted = true;
    return collect_actions(now);
}

action_list node_fleet::begin_leaving(core::time_point now)
{
    detect_pause(now);
    m_members.begin_leaving(now);
    m_next_push = now;
    push_urgent(now);
    return collect_actions(now);
}

/// Collects the pending actions of all parts, in a fixed order.
action_list node_fleet::collect_actions(core::time_point now)
{
    send_probes(now);
    m_config_push = m_config.take_urgent() || m_config_push;
    m_push_wanted = m_members.take_urgent() || m_config_push || m_push_wanted;
    if (const auto renewal = m_members.take_renewal())
        m_actions.emplace_back(incarnation_renewed{renewal->first, renewal->second});
    if (m_members.take_changed())
    {
        m_roles_stale = true;
        m_actions.emplace_back(members_changed{});
    }
    update_roles();
    raise_alarms();
    for (action& next : m_config.take_actions())
        m_actions.push_back(std::move(next));
    return std::exchange(m_actions, {});
}

void node_fleet::update_roles()
{
    if (!m_roles_stale)
        return;
    m_roles_stale = false;
    role_set assigned;
    if (m_members.view_is_probed() && self().state != member_state::leaving)
    {
        const role_candidate me{self().id.address, m_settings.zone};
        std::vector<role_candidate> live{me};
        for (const member_update& member : live_members())
            live.push_back({member.id.address, member.zone});
        assigned = assign_roles(me, live, m_upstream_addresses);
        m_other_watchers = watchers_among(live);
        std::erase(m_other_watchers, me.address);
    }
    // An isolated node would see itself as the only issuer, and duplicate orders do harm.
    if (link_suspected())
        assigned.orders.clear();
    if (assigned == m_roles)
        return;
    m_roles = std::move(assigned);
    m_config.set_watcher(m_roles.watcher, m_last_event);
    m_actions.emplace_back(roles_changed{});
}

void node_fleet::raise_alarms()
{
    if (link_suspected() == m_link_alarm_raised)
        return;
    m_link_alarm_raised = link_suspected();
    if (!m_link_alarm_raised)
        return;
    m_actions.emplace_back(alarm{alarm_kind::own_link,
                                 "most members of the region are silent; none is evicted",
                                 "check this host's link, then the region"});
}

std::vector<member_update> node_fleet::live_members() const
{
    return in_state(members(), member_state::alive);
}

std::vector<member_update> node_fleet::suspected_members() const
{
    return in_state(members(), member_state::suspected);
}

std::vector<core::address> node_fleet::entry_points() const
{
    std::vector<core::address> addresses;
    if (is_ready())
        addresses.push_back(m_settings.caller_address);
    for (const member_update& member : live_members())
        addresses.push_back(member.caller_address);
    return addresses;
}

bool node_fleet::is_upstream_leaving(const core::address& upstream, core::time_point now) const
{
    return m_loads.is_leaving(upstream_key(upstream), now);
}

std::vector<core::address> node_fleet::leaving_upstreams(core::time_point now) const
{
    std::vector<core::address> found;
    std::copy_if(m_upstream_addresses.begin(), m_upstream_addresses.end(),
                 std::back_inserter(found),
                 [&](const core::address& upstream) { return is_upstream_leaving(upstream, now); });
    return found;
}

std::optional<load_sample> node_fleet::load_of(const core::address& upstream,
                                               core::time_point now) const
{
    return m_loads.load_of(upstream_key(upstream), now);
}

std::optional<core::time_point> node_fleet::load_sampled_at(const core::address& upstream,
                                                            core::time_point now) const
{
    return m_loads.sampled_at(upstream_key(upstream), now);
}

std::vector<region_summary> node_fleet::region_summaries(core::time_point now) const
{
    return m_regions.summaries(now);
}

bool node_fleet::is_ready() const
{
    return config() != nullptr && self().state != member_state::leaving;
}

} // namespace snipeplank::fleet
