#include "fleet_link.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

constexpr core::milliseconds exchange_interval{300};
constexpr std::size_t members_per_message = 12;
/// Members are recorded as running this often, and when they change.
constexpr core::seconds record_interval{1};

std::uint16_t saturate(std::size_t count)
{
    constexpr std::size_t max_value = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, max_value));
}

} // namespace

fleet_link::fleet_link(asio::io_context& loop, const node_options& options,
                       core::random_source& random, fleet_listener& listener,
                       std::unique_ptr<wire::peer_network> network)
    : m_loop(loop), m_options(options),
      m_listener(listener), m_self{options.peer_address, core::incarnation{random.next()}},
      m_members({m_self, options.caller_address, options.zone}, random),
      m_network(std::move(network)), m_timer(loop), m_seeds(options.seeds),
      m_node_count(options.region, options.bounds.retries.window)
{
}

fleet_link::~fleet_link()
{
    stop();
}

core::result<void> fleet_link::start()
{
    wire::peer_settings settings;
    settings.self = m_self;
    settings.region = m_options.region;
    settings.zone = m_options.zone;
    settings.listen = m_options.peer_address;
    settings.fleet_keys = m_options.fleet_keys;
    auto started = m_network->start(std::move(settings), *this);
    if (!started)
        return boost::outcome_v2::failure(started.error());
    m_last_tick = now();
    m_node_count.set_zones(m_options.zone, m_options.zones.size());
    m_node_count.start(m_last_tick);
    m_members.start(m_last_tick);
    m_members.on_host_list(m_seeds, m_last_tick);
    schedule_tick();
    return boost::outcome_v2::success();
}

void fleet_link::set_seeds(std::vector<core::address> seeds)
{
    m_seeds = std::move(seeds);
}

void fleet_link::begin_leaving()
{
    m_is_leaving = true;
    m_leaving_since = now();
    m_members.begin_leaving(m_leaving_since);
    for (const fleet::member_update& each : m_members.members())
    {
        send_gossip(each.id.address, compose(fleet::gossip_kind::announce));
    }
}

void fleet_link::stop()
{
    m_timer.cancel();
    m_network->stop();
}

void fleet_link::schedule_tick()
{
    m_timer.expires_after(fleet::tick_interval);
    m_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            tick();
            schedule_tick();
        });
}

void fleet_link::tick()
{
    const core::time_point time = now();
    if (time - m_last_tick > fleet::pause_threshold)
        m_members.resume_after_pause(time);
    m_last_tick = time;
    m_members.on_host_list(m_seeds, time);
    m_members.on_tick(time);
    probe_unreachable(time);
    send_probes();
    if (time >= m_next_record)
        record_members(time);
    if (m_node_count.is_discovering(time - fleet::ping_interval))
        announce_to_members();
    if (m_members.take_changed() || m_has_unpublished || has_changed_share(time))
        publish_members(time);
    static_cast<void>(m_members.take_urgent());
    static_cast<void>(m_members.take_renewal());
    if (time < m_next_exchange)
        return;
    m_next_exchange = time + exchange_interval;
    exchange_loads();
}

fleet::gossip fleet_link::compose(fleet::gossip_kind kind) const
{
    fleet::gossip body;
    body.kind = kind;
    body.sender = m_members.self();
    body.sender_region = m_options.region;
    body.digest.version = m_listener.version_in_force();
    body.configuration_change = m_listener.newest_change(state_kind::configuration);
    body.evacuations_change = m_listener.newest_change(state_kind::evacuations);
    const node_count counted = m_node_count.to_tell(now());
    body.nodes_in_fleet = saturate(counted.in_fleet);
    body.nodes_in_region = saturate(counted.in_region);
    return body;
}

void fleet_link::send_gossip(const core::address& to, fleet::gossip body)
{
    m_network->send(to, std::move(body));
}

void fleet_link::send_probes()
{
    constexpr std::size_t update_bytes = 600;
    for (const fleet::probe& next : m_members.take_probes())
    {
        fleet::gossip body = compose(next.kind);
        body.sequence = next.sequence;
        body.target = next.target;
        body.wants_members = next.wants_members;
        body.members = m_members.take_urgent_updates(next.to);
        if (!next.brief)
        {
            for (fleet::member_update& update : m_members.take_updates(update_bytes))
            {
                body.members.push_back(std::move(update));
            }
        }
        send_gossip(next.to, std::move(body));
    }
}

void fleet_link::probe_unreachable(core::time_point time)
{
    for (const core::address& peer : m_reachability.unreachable())
    {
        if (!m_members.is_member(peer))
            m_reachability.forget(peer);
    }
    for (const core::address& peer : m_reachability.take_due(time))
    {
        m_members.probe_member(peer, time);
    }
}

void fleet_link::send_members(const core::address& to)
{
    const std::vector<fleet::member_update> members = m_members.members();
    for (std::size_t begin = 0; begin < members.size(); begin += members_per_message)
    {
        fleet::gossip body = compose(fleet::gossip_kind::announce);
        const std::size_t end = std::min(members.size(), begin + members_per_message);
        body.members.assign(members.begin() + static_cast<std::ptrdiff_t>(begin),
                            members.begin() + static_cast<std::ptrdiff_t>(end));
        send_gossip(to, std::move(body));
    }
}

/// Announces a node that has just started to all members directly: they may still list its previous
/// incarnation as stopping.
void fleet_link::announce_to_members()
{
    constexpr std::size_t max_per_call = 64;
    std::size_t sent = 0;
    for (const fleet::member_update& each : m_members.members())
    {
        if (sent == max_per_call)
            return;
        if (!m_announced_to.insert(each.id).second)
            continue;
        send_gossip(each.id.address, compose(fleet::gossip_kind::announce));
        ++sent;
    }
}

fleet_link::node_addresses fleet_link::live_peers() const
{
    node_addresses found;
    for (const live_node& each : live_nodes())
    {
        if (each.peer == m_self.address)
            continue;
        (each.region == m_options.region ? found.local : found.remote).push_back(each.peer);
    }
    return found;
}

void fleet_link::send_evidence()
{
    const core::time_point time = now();
    if (time - m_evidence_sent < min_evidence_interval)
        return;
    fleet::gossip evidence = compose(fleet::gossip_kind::announce);
    if (!m_listener.add_evidence(evidence))
        return;
    m_evidence_sent = time;
    send_to_few(evidence);
}

void fleet_link::announce_state()
{
    send_to_few(compose(fleet::gossip_kind::announce));
}

/// Sends a message to the nodes of both regions whose turn it is.
void fleet_link::send_to_few(const fleet::gossip& body)
{
    const node_addresses peers = live_peers();
    for (const core::address& each : m_local_evidence_selector.next(peers.local))
    {
        send_gossip(each, body);
    }
    for (const core::address& each : m_remote_evidence_selector.next(peers.remote))
    {
        send_gossip(each, body);
    }
}

void fleet_link::send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                              std::vector<fleet::stream_origin> wanted)
{
    fleet::gossip body = compose(fleet::gossip_kind::announce);
    body.stream_origins = std::move(origins);
    body.wanted_origins = std::move(wanted);
    send_gossip(to, std::move(body));
}

void fleet_link::exchange_loads()
{
    if (m_is_leaving)
        return;
    const node_addresses peers = live_peers();
    fleet::gossip loads = compose(fleet::gossip_kind::announce);
    loads.loads = m_listener.own_loads();
    fleet::gossip summary = compose(fleet::gossip_kind::announce);
    summary.regions = {m_listener.own_region()};
    fleet::gossip evidence = compose(fleet::gossip_kind::announce);
    const bool has_evidence = m_listener.add_evidence(evidence);
    for (const core::address& each : m_local_selector.next(peers.local))
    {
        send_gossip(each, loads);
        if (has_evidence)
            send_gossip(each, evidence);
    }
    for (const core::address& each : m_remote_selector.next(peers.remote))
    {
        send_gossip(each, summary);
        if (has_evidence)
            send_gossip(each, evidence);
    }
}

void fleet_link::record_readiness(const fleet::gossip& received)
{
    m_newest_told = std::max(m_newest_told, received.digest.version);
    const core::address& sender = received.sender.id.address;
    const bool was_unready = m_unready.contains(sender);
    const bool is_unready = received.digest.version.get() == 0;
    if (is_unready)
        m_unready.insert(sender);
    else
        m_unready.erase(sender);
    if (was_unready != is_unready)
        publish_soon();
}

void fleet_link::announce_ready()
{
    m_announced_to.clear();
    announce_to_members();
}

void fleet_link::handle_gossip(const fleet::gossip& received)
{
    record_readiness(received);
    m_listener.on_state_told(received);
    m_members.on_gossip(received, now());
    m_node_count.on_told(received.sender_region,
                         {received.nodes_in_fleet, received.nodes_in_region}, now());
    if (received.wants_members)
        send_members(received.sender.id.address);
    send_probes();
    if (m_members.take_changed())
        publish_soon();
    if (!received.regions.empty() || !received.loads.empty())
        m_listener.on_peer_loads(received);
    if (!received.prompt_crashes.empty() || !received.prompt_answers.empty() ||
        !received.leaving.empty() || !received.limits.empty())
        m_listener.on_evidence(received);
    if (!received.stream_origins.empty() || !received.wanted_origins.empty())
        m_listener.on_stream_origins(received);
}

void fleet_link::record_received(const core::address& peer)
{
    if (m_reachability.on_received(peer))
        m_listener.on_members_changed();
}

void fleet_link::on_message(const wire::peer_identity& from, wire::message received)
{
    asio::post(m_loop,
               [this, from, received = std::move(received)] { handle_message(from, received); });
}

void fleet_link::on_messages(const wire::peer_identity& from, std::vector<wire::message> received)
{
    asio::post(m_loop,
               [this, from, received = std::move(received)]
               {
                   for (const wire::message& each : received)
                   {
                       handle_message(from, each);
                   }
               });
}

void fleet_link::handle_message(const wire::peer_identity& from, const wire::message& received)
{
    record_received(from.node.address);
    if (const auto* gossip = std::get_if<fleet::gossip>(&received))
        handle_gossip(*gossip);
    else
        m_listener.on_call_message(from, received);
}

void fleet_link::on_connection_lost(const wire::peer_identity& peer)
{
    asio::post(m_loop, [this, lost = peer.connection] { m_listener.on_connection_lost(lost); });
}

void fleet_link::on_call_sent(const wire::peer_identity& to, core::call_number number)
{
    asio::post(m_loop, [this, number, by = to.connection] { m_listener.on_call_sent(number, by); });
}

void fleet_link::on_peer_lost(const wire::peer_identity& peer)
{
    asio::post(m_loop,
               [this, address = peer.node.address]
               {
                   m_reachability.on_connection_lost(address, now());
                   m_listener.on_peer_lost(address);
                   m_listener.on_members_changed();
               });
}

void fleet_link::on_unreachable(const core::address& peer)
{
    asio::post(m_loop,
               [this, peer]
               {
                   m_reachability.on_connect_failed(peer, now());
                   m_listener.on_members_changed();
               });
}

void fleet_link::on_call_dropped(const core::address& to, core::call_number number,
                                 wire::drop_cause cause)
{
    asio::post(m_loop,
               [this, to, number, cause] { m_listener.on_call_dropped(to, number, cause); });
}

core::region_id fleet_link::region_of(const core::zone_id& zone) const
{
    const auto found = m_options.zones.find(zone);
    return found == m_options.zones.end() ? core::region_id{} : found->second;
}

std::vector<live_node> fleet_link::live_nodes() const
{
    std::vector<live_node> nodes;
    if (!m_is_leaving && m_listener.version_in_force().get() != 0)
        nodes.push_back(
            {m_self.address, m_options.caller_address, m_options.zone, m_options.region});
    for (const fleet::member_update& each : m_members.members())
    {
        if (each.state != fleet::member_state::alive ||
            !m_reachability.is_reachable(each.id.address) || m_unready.contains(each.id.address))
            continue;
        nodes.push_back({each.id.address, each.caller_address, each.zone, region_of(each.zone)});
    }
    return nodes;
}

std::vector<core::address> fleet_link::stopping_nodes(const core::region_id& region,
                                                      core::milliseconds age) const
{
    std::vector<core::address> nodes;
    const core::time_point earliest = now() - age;
    if (m_is_leaving && region == m_options.region && m_leaving_since > earliest)
        nodes.push_back(m_options.caller_address);
    for (const fleet::member_update& each : m_members.members())
    {
        const auto since = m_stopping_since.find(each.id);
        if (each.state == fleet::member_state::leaving && region_of(each.zone) == region &&
            since != m_stopping_since.end() && since->second > earliest)
            nodes.push_back(each.caller_address);
    }
    return nodes;
}

bool fleet_link::may_not_know(const core::region_id& region) const
{
    if (region == m_options.region || !m_node_count.is_discovering(now()))
        return false;
    const std::vector<fleet::member_update> members = m_members.members();
    return std::none_of(members.begin(), members.end(),
                        [&](const fleet::member_update& each)
                        { return region_of(each.zone) == region; });
}

void fleet_link::record_members(core::time_point time)
{
    m_next_record = time + record_interval;
    for (const fleet::member_update& each : m_members.members())
    {
        m_node_count.on_seen(each.id.address, region_of(each.zone), time, each.zone);
        if (each.state == fleet::member_state::leaving)
            m_stopping_since.try_emplace(each.id, time);
    }
    std::erase_if(m_stopping_since, [&](const auto& each)
                  { return time - each.second > node_count_estimate::seen_lifetime; });
    m_node_count.remove_expired(time);
}

/// Publishes now, or at the next tick when the last time was just before. Publishing costs time in
/// proportion to the members, and while a fleet starts nearly every message changes them.
void fleet_link::publish_soon()
{
    m_has_unpublished = true;
    const core::time_point time = now();
    if (time - m_published_at >= fleet::tick_interval)
        publish_members(time);
}

void fleet_link::publish_members(core::time_point time)
{
    m_has_unpublished = false;
    m_published_at = time;
    record_members(time);
    m_published_fleet_share = m_node_count.share_of_fleet(time);
    m_published_region_share = m_node_count.share_of_region(time);
    m_published_quota_share = share_of_quotas(time);
    m_published_in_region = m_node_count.known_in_region();
    m_listener.on_members_changed();
}

/// Shares also change when the time of discovery ends, when nodes are forgotten, and by what other
/// nodes tell.
bool fleet_link::has_changed_share(core::time_point time) const
{
    return m_node_count.share_of_fleet(time) != m_published_fleet_share ||
           share_of_quotas(time) != m_published_quota_share ||
           m_node_count.share_of_region(time) != m_published_region_share ||
           m_node_count.known_in_region() != m_published_in_region;
}

policy::node_share fleet_link::share_of_quotas(core::time_point time) const
{
    const bool is_alone = std::all_of(m_seeds.begin(), m_seeds.end(),
                                      [this](const auto& each) { return each == m_self.address; });
    return m_node_count.share_of_quotas(is_alone, time);
}

/// Nodes that are ranked for named limits; a rank among a part of them would be too high.
std::vector<core::address> fleet_link::senders() const
{
    std::vector<core::address> nodes = m_node_count.seen_in_region();
    nodes.push_back(m_self.address);
    if (m_node_count.is_discovering(now()) || nodes.size() < m_node_count.known_in_region())
        return {};
    return nodes;
}

sharing_nodes fleet_link::sharing() const
{
    const core::time_point time = now();
    sharing_nodes nodes;
    nodes.fleet = m_node_count.share_of_fleet(time);
    nodes.region = m_node_count.share_of_region(time);
    nodes.quotas = share_of_quotas(time);
    nodes.known_in_region = m_node_count.known_in_region();
    nodes.senders = senders();
    nodes.self = m_self.address;
    return nodes;
}

} // namespace snipeplank::serving
