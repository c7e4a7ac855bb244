#include <snipeplank/fleet/membership.hpp>

#include <algorithm>
#include <bit>

namespace snipeplank::fleet
{

namespace
{

bool is_final(member_state state)
{
    return state == member_state::leaving || state == member_state::dead;
}

} // namespace

membership::membership(member_update self, core::random_source& random)
    : m_random(random), m_self(std::move(self))
{
}

void membership::start(core::time_point now)
{
    // A random first number prevents matches with acks to a former incarnation of this address.
    m_sequence = static_cast<std::uint32_t>(m_random.next());
    m_next_ping = now;
    m_probed_at = now + reprobe_time;
    m_queue.put(m_self, now);
    m_changed = true;
}

void membership::on_host_list(const std::vector<core::address>& listed, core::time_point now)
{
    m_list_received = now;
    std::map<core::address, core::time_point> candidates;
    for (const core::address& address : listed)
    {
        if (address == m_self.id.address)
            continue;
        m_last_listed[address] = now;
        const auto known = m_candidates.find(address);
        // Random initial ages keep starting nodes of a zone from all pinging the same peers.
        const core::duration initial_age{
            m_random.below(core::duration{candidate_interval}.count())};
        const core::time_point untried = now - candidate_interval - initial_age;
        candidates[address] = known == m_candidates.end() ? untried : known->second;
    }
    m_candidates = std::move(candidates);
    if (!m_records.empty())
        return;
    for (std::size_t i = 0; i < push_fanout; ++i)
        ping_candidate(now);
}

void membership::on_gossip(const gossip& received, core::time_point now)
{
    on_sender(received, now);
    for (const member_update& update : received.members)
        apply(update, now);
    switch (received.kind)
    {
    case gossip_kind::ping:
        on_ping(received);
        break;
    case gossip_kind::ping_request:
        on_ping_request(received, now);
        break;
    case gossip_kind::ack:
        on_ack(received, now);
        break;
    case gossip_kind::announce:
        break;
    }
    update_link_suspicion(now);
}

void membership::on_sender(const gossip& received, core::time_point now)
{
    const member_update& sender = received.sender;
    if (m_tombstones.contains(sender.id) && !is_final(sender.state))
    {
        member_update death_notice = sender;
        death_notice.state = member_state::dead;
        m_refused_senders[sender.id.address] = death_notice;
        return;
    }
    apply(sender, now);
    const auto known = m_records.find(sender.id.address);
    if (known != m_records.end() && known->second.info.id == sender.id)
        known->second.last_received = now;
}

void membership::on_ping(const gossip& received)
{
    const bool brief = received.members.empty() && received.loads.empty();
    m_probes.push_back({received.sender.id.address, gossip_kind::ack, received.sequence,
                        m_self.id.address, false, brief});
}

void membership::on_ping_request(const gossip& received, core::time_point now)
{
    ping(received.target, now, false, true);
    outstanding_ping& sent = m_pings[m_sequence];
    sent.requester = received.sender.id.address;
    sent.requester_sequence = received.sequence;
}

void membership::on_ack(const gossip& received, core::time_point now)
{
    const auto found = m_pings.find(received.sequence);
    if (found == m_pings.end() || found->second.target != received.target)
        return;
    const outstanding_ping answered = found->second;
    m_pings.erase(found);
    if (!answered.requester.get().empty())
    {
        m_probes.push_back(
            {answered.requester, gossip_kind::ack, answered.requester_sequence, answered.target});
        return;
    }
    if (received.sender.id.address == answered.target)
    {
        accept_proven(received.sender, answered.sent, now);
        return;
    }
    // Another member reached it. That does not prove the incarnation, but postpones the decision.
    if (const auto reached = m_records.find(answered.target); reached != m_records.end())
        reached->second.last_received = now;
}

/// An answer to this node's own ping proves which incarnation is current at the address.
void membership::accept_proven(const member_update& sender, core::time_point sent,
                               core::time_point now)
{
    if (m_tombstones.contains(sender.id))
        return;
    const auto known = m_records.find(sender.id.address);
    if (known != m_records.end() && known->second.info.id != sender.id)
    {
        const member_update replaced = known->second.info;
        mark_dead(replaced, now);
    }
    apply(sender, now);
    const auto current = m_records.find(sender.id.address);
    if (current == m_records.end() || current->second.info.id != sender.id)
        return;
    current->second.last_received = now;
    if (sent == m_last_quorum_check)
        current->second.answered = sent;
    if (current->second.info.state != member_state::suspected)
        return;
    // Other nodes may still suspect the member, which refutes that itself.
    current->second.info.state = member_state::alive;
    m_changed = true;
}

void membership::apply(const member_update& update, core::time_point now)
{
    if (update.id.address == m_self.id.address)
    {
        apply_about_self(update, now);
        return;
    }
    if (is_final(update.state))
    {
        apply_final(update, now);
        return;
    }
    if (m_tombstones.contains(update.id))
        return;
    const auto known = m_records.find(update.id.address);
    if (known == m_records.end() || is_final(known->second.info.state))
    {
        m_records[update.id.address] = {
            .info = update, .since = now, .decide_at = now + suspicion_time};
        m_queue.put(update, now);
        m_changed = true;
        return;
    }
    if (known->second.info.id != update.id)
    {
        // Incarnations have no order. Only an answer to an own ping proves which one is current.
        ping(update.id.address, now, false, true);
        return;
    }
    merge(known->second, update, now);
}

void membership::merge(record& known, const member_update& update, core::time_point now)
{
    const bool suspected = update.state == member_state::suspected;
    const bool known_suspected = known.info.state == member_state::suspected;
    const bool overrides = suspected && !known_suspected ? update.counter >= known.info.counter
                                                         : update.counter > known.info.counter;
    if (!overrides)
        return;
    const bool state_changes = suspected != known_suspected;
    known.info.counter = update.counter;
    m_queue.put(update, now);
    if (!state_changes)
        return;
    m_changed = true;
    known.info.state = update.state;
    if (suspected)
        set_suspected(known, now);
}

void membership::apply_final(const member_update& update, core::time_point now)
{
    const auto known = m_records.find(update.id.address);
    const bool matches = known != m_records.end() && known->second.info.id == update.id;
    if (update.state == member_state::dead)
    {
        if (!m_tombstones.contains(update.id) || matches)
            mark_dead(update, now);
        return;
    }
    if (m_tombstones.contains(update.id))
        return;
    m_tombstones.add(update.id);
    m_queue.put(update, now);
    m_urgent = true;
    if (!matches && known != m_records.end() && !is_final(known->second.info.state))
        return;
    m_records[update.id.address] = {.info = update, .since = now, .decide_at = now};
    m_changed = true;
}

void membership::apply_about_self(const member_update& update, core::time_point now)
{
    if (update.id != m_self.id)
    {
        if (m_tombstones.contains(update.id))
            return;
        // A former incarnation of this address; this process is the only one there.
        mark_dead(update, now);
        return;
    }
    if (m_self.state == member_state::leaving)
        return;
    if (is_final(update.state))
    {
        renew_incarnation(now);
        return;
    }
    if (update.state != member_state::suspected || update.counter < m_self.counter)
        return;
    m_self.counter = update.counter + 1;
    m_queue.put(m_self, now);
    m_urgent = true;
}

void membership::renew_incarnation(core::time_point now)
{
    const core::incarnation former = m_self.id.incarnation;
    m_tombstones.add(m_self.id);
    m_self.id.incarnation = core::incarnation{m_random.next()};
    m_self.counter = 0;
    m_queue.put(m_self, now);
    m_renewal = {m_renewal ? m_renewal->first : former, m_self.id.incarnation};
    m_urgent = true;
    m_changed = true;
    for (const core::address& peer : random_peers(push_fanout))
        ping(peer, now, true, false);
}

void membership::mark_dead(const member_update& gone, core::time_point now)
{
    member_update update = gone;
    update.state = member_state::dead;
    m_tombstones.add(update.id);
    m_queue.put(update, now);
    const auto known = m_records.find(update.id.address);
    if (known == m_records.end() || known->second.info.id != update.id)
        return;
    if (known->second.info.state != member_state::leaving)
        m_recent_deaths.push_back(now);
    m_records.erase(known);
    m_changed = true;
}

void membership::begin_leaving(core::time_point now)
{
    m_self.state = member_state::leaving;
    m_queue.put(m_self, now);
    m_urgent = true;
    m_changed = true;
}

void membership::resume_after_pause(core::time_point now)
{
    m_pings.clear();
    for (auto& [address, known] : m_records)
    {
        if (known.info.state == member_state::suspected)
            set_suspected(known, now);
    }
    m_view_is_probed = false;
    m_probed_at = now + reprobe_time;
    m_next_ping = now;
    m_changed = true;
    start_quorum_check(now);
}

void membership::on_tick(core::time_point now)
{
    expire_pings(now);
    decide_suspicions(now);
    send_due_pings(now);
    remove_departed(now);
    update_link_suspicion(now);
    if (m_view_is_probed || now < m_probed_at)
        return;
    m_view_is_probed = true;
    m_changed = true;
}

void membership::set_suspected(record& known, core::time_point now)
{
    known.info.state = member_state::suspected;
    known.since = now;
    known.timeout = suspicion_time;
    known.decide_at = now + suspicion_time;
    known.quorum_checked_at = {};
}

void membership::suspect(record& known, core::time_point now)
{
    if (known.info.state != member_state::alive)
        return;
    set_suspected(known, now);
    m_changed = true;
    if (m_link_suspected)
        return;
    m_queue.put(known.info, now);
    m_urgent = true;
}

void membership::decide_suspicions(core::time_point now)
{
    std::erase_if(m_recent_deaths,
                  [now](core::time_point at) { return now - at > recent_death_window; });
    std::vector<member_update> gone;
    for (auto& [address, known] : m_records)
    {
        if (known.info.state != member_state::suspected || now < known.decide_at)
            continue;
        if (may_declare_dead(known, now) || is_unlisted(address, now))
        {
            gone.push_back(known.info);
            continue;
        }
        known.since = now;
        known.timeout = std::min<core::duration>(2 * known.timeout, max_suspicion_time);
        known.decide_at = now + known.timeout;
        known.quorum_checked_at = {};
    }
    for (const member_update& update : gone)
    {
        mark_dead(update, now);
        m_urgent = true;
    }
    check_due_suspects(now);
}

bool membership::is_suspected(const record& known)
{
    return known.info.state == member_state::suspected;
}

void membership::check_due_suspects(core::time_point now)
{
    // One quorum check a second serves all suspects of that second, which bounds its traffic.
    if (now - m_last_quorum_check < quorum_check_time)
        return;
    const auto is_due = [now](const record& known)
    {
        return known.quorum_checked_at == core::time_point{} &&
               now >= known.decide_at - quorum_check_time;
    };
    const bool any = std::any_of(m_records.begin(), m_records.end(),
                                 [&](const auto& entry)
                                 { return is_suspected(entry.second) && is_due(entry.second); });
    if (!any)
        return;
    std::vector<core::address> due;
    for (auto& [address, known] : m_records)
    {
        // A suspect that was checked before joins early, so that later checks coincide.
        const bool checked_before = known.timeout > suspicion_time;
        if (!is_suspected(known) || !(checked_before || is_due(known)))
            continue;
        known.quorum_checked_at = now;
        known.decide_at = checked_before ? now + quorum_check_time
                                         : std::max(known.decide_at, now + quorum_check_time);
        due.push_back(address);
    }
    start_quorum_check(now);
    for (const core::address& suspect : due)
        ping(suspect, now, false, true);
}

bool membership::may_declare_dead(const record& suspect, core::time_point now) const
{
    const bool silent = suspect.last_received <= suspect.since;
    if (!m_view_is_probed || !silent || now - suspect.quorum_checked_at < quorum_check_time)
        return false;
    std::size_t answering = 1;
    std::size_t total = 1 + m_recent_deaths.size();
    for (const auto& [address, known] : m_records)
    {
        if (is_final(known.info.state))
            continue;
        ++total;
        // Only answers to the same quorum check prove that the link worked at that time.
        if (known.answered == suspect.quorum_checked_at)
            ++answering;
    }
    return 2 * answering > total;
}

bool membership::is_unlisted(const core::address& member, core::time_point now) const
{
    const auto listed = m_last_listed.find(member);
    return listed != m_last_listed.end() && m_list_received - listed->second >= unlisted_time &&
           now - m_list_received < unlisted_time;
}

void membership::start_quorum_check(core::time_point now)
{
    m_last_quorum_check = now;
    for (const core::address& member : addresses_in(member_state::alive))
        ping(member, now, false, true);
}

/// Dropping the queued suspicions prevents a node with a bad link from gossiping suspicions of
/// every member as soon as the link works again.
void membership::update_link_suspicion(core::time_point now)
{
    std::size_t alive = 1;
    std::size_t suspected = 0;
    for (const auto& [address, known] : m_records)
    {
        alive += known.info.state == member_state::alive ? 1 : 0;
        suspected += known.info.state == member_state::suspected ? 1 : 0;
    }
    const bool suspects_link = suspected > 0 && alive <= suspected + m_recent_deaths.size();
    if (suspects_link == m_link_suspected)
        return;
    m_link_suspected = suspects_link;
    m_changed = true;
    if (suspects_link)
    {
        m_queue.drop_suspicions();
        return;
    }
    // Members that were silent while the link was suspected get the full time to answer again.
    for (auto& [address, known] : m_records)
    {
        if (known.info.state == member_state::suspected)
            set_suspected(known, now);
    }
}

} // namespace snipeplank::fleet
