#include <snipeplank/fleet/membership.hpp>

#include <algorithm>
#include <bit>

namespace snipeplank::fleet
{

void membership::expire_pings(core::time_point now)
{
    std::vector<core::address> silent;
    for (auto entry = m_pings.begin(); entry != m_pings.end();)
    {
        outstanding_ping& sent = entry->second;
        const core::duration waited = now - sent.sent;
        const bool own = sent.requester.get().empty();
        if (own && waited >= direct_ping_timeout && !sent.asked_others)
        {
            sent.asked_others = true;
            ask_others(entry->first, sent.target);
        }
        if (waited < ping_timeout)
        {
            ++entry;
            continue;
        }
        if (own)
            silent.push_back(sent.target);
        entry = m_pings.erase(entry);
    }
    for (const core::address& target : silent)
    {
        const auto known = m_records.find(target);
        if (known == m_records.end() || now - known->second.last_received < ping_timeout)
            continue;
        suspect(known->second, now);
    }
}

void membership::ask_others(std::uint32_t sequence, const core::address& target)
{
    const auto known = m_records.find(target);
    if (known == m_records.end() || known->second.info.state == member_state::leaving)
        return;
    // With a suspected own link, indirect pings for every silent member would multiply the traffic.
    if (m_link_suspected && is_suspected(known->second))
        return;
    for (const core::address& helper : random_peers(indirect_pings + 1))
    {
        if (helper != target)
            m_probes.push_back({helper, gossip_kind::ping_request, sequence, target, false, true});
    }
}

void membership::send_due_pings(core::time_point now)
{
    if (now < m_next_ping)
        return;
    m_next_ping = std::max(m_next_ping + ping_interval, now);
    ping_next_member(now);
    ping_candidate(now);
    ping_suspects(now);
}

/// Every second ping goes to the next member of the sorted ring, so that each member is probed by
/// its live predecessor every two intervals; the other pings go to all members in random order.
void membership::ping_next_member(core::time_point now)
{
    m_ring_turn = !m_ring_turn;
    if (m_ring_turn)
    {
        if (const record* next = ring_successor())
            ping(next->info.id.address, now, false, false);
        return;
    }
    if (m_round.empty())
    {
        m_round = addresses_in(member_state::alive);
        for (std::size_t i = 0; i + 1 < m_round.size(); ++i)
            std::swap(m_round[i], m_round[i + m_random.below(m_round.size() - i)]);
    }
    while (!m_round.empty())
    {
        const core::address target = m_round.back();
        m_round.pop_back();
        const auto known = m_records.find(target);
        if (known == m_records.end() || known->second.info.state != member_state::alive)
            continue;
        ping(target, now, false, false);
        return;
    }
}

const membership::record* membership::ring_successor() const
{
    const auto first = m_records.upper_bound(m_self.id.address);
    for (auto entry = first; entry != m_records.end(); ++entry)
    {
        if (entry->second.info.state == member_state::alive)
            return &entry->second;
    }
    for (auto entry = m_records.begin(); entry != first; ++entry)
    {
        if (entry->second.info.state == member_state::alive)
            return &entry->second;
    }
    return nullptr;
}

void membership::ping_candidate(core::time_point now)
{
    core::address oldest;
    core::time_point oldest_try =
        now - (m_records.empty() ? lone_candidate_interval : candidate_interval);
    for (const auto& [address, tried] : m_candidates)
    {
        const auto known = m_records.find(address);
        const bool unknown =
            known == m_records.end() || known->second.info.state == member_state::leaving;
        if (!unknown || tried > oldest_try)
            continue;
        oldest = address;
        oldest_try = tried;
    }
    if (oldest.get().empty())
        return;
    m_candidates[oldest] = now;
    ping(oldest, now, m_records.empty(), false);
}

void membership::ping_suspects(core::time_point now)
{
    constexpr std::size_t pings_with_suspected_link = 3;
    std::vector<core::address> suspects = addresses_in(member_state::suspected);
    const std::size_t count =
        std::min(suspects.size(), m_link_suspected ? pings_with_suspected_link : 1);
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(suspects[i], suspects[i + m_random.below(suspects.size() - i)]);
        ping(suspects[i], now, false, false);
    }
}

void membership::ping(const core::address& target, core::time_point now, bool wants_members,
                      bool brief)
{
    ++m_sequence;
    m_pings[m_sequence] = {target, now, false, {}, 0};
    m_probes.push_back({target, gossip_kind::ping, m_sequence, target, wants_members, brief});
}

void membership::probe_member(const core::address& member, core::time_point now)
{
    ping(member, now, false, true);
}

void membership::remove_departed(core::time_point now)
{
    std::erase_if(m_records,
                  [&](const auto& entry)
                  {
                      const record& known = entry.second;
                      return known.info.state == member_state::leaving &&
                             now - known.since > leaving_member_time;
                  });
    if (m_last_listed.size() <= detail::tombstones::capacity)
        return;
    std::erase_if(m_last_listed, [&](const auto& entry)
                  { return m_list_received - entry.second > leaving_member_time; });
}

std::vector<probe> membership::take_probes()
{
    return std::exchange(m_probes, {});
}

std::vector<member_update> membership::take_urgent_updates(const core::address& to)
{
    std::vector<member_update> taken;
    if (const auto refused = m_refused_senders.find(to); refused != m_refused_senders.end())
    {
        taken.push_back(refused->second);
        m_refused_senders.erase(refused);
    }
    const auto receiver = m_records.find(to);
    if (receiver != m_records.end() && receiver->second.info.state == member_state::suspected)
        taken.push_back(receiver->second.info);
    return taken;
}

std::vector<member_update> membership::take_updates(std::size_t budget)
{
    constexpr std::size_t refill_count = 1;
    std::vector<member_update> taken = m_queue.take(budget, max_sends());
    for (const member_update& update : taken)
        budget -= estimated_size(update);
    // One known member per message, in turn, repairs what lost messages left out.
    for (std::size_t i = 0; i < refill_count && !m_records.empty(); ++i)
    {
        auto next = m_records.upper_bound(m_refill_cursor);
        if (next == m_records.end())
            next = m_records.begin();
        const member_update& update = next->second.info;
        const std::size_t size = estimated_size(update);
        if (size > budget)
            break;
        m_refill_cursor = next->first;
        if (m_link_suspected && update.state == member_state::suspected)
            continue;
        budget -= size;
        taken.push_back(update);
    }
    return taken;
}

unsigned membership::max_sends() const
{
    constexpr unsigned factor = 3;
    return factor * static_cast<unsigned>(std::bit_width(m_records.size() + 1));
}

bool membership::take_changed()
{
    return std::exchange(m_changed, false);
}

bool membership::take_urgent()
{
    return std::exchange(m_urgent, false);
}

std::optional<std::pair<core::incarnation, core::incarnation>> membership::take_renewal()
{
    return std::exchange(m_renewal, std::nullopt);
}

std::vector<member_update> membership::members() const
{
    std::vector<member_update> all;
    all.reserve(m_records.size());
    for (const auto& [address, known] : m_records)
        all.push_back(known.info);
    return all;
}

std::vector<core::address> membership::addresses_in(member_state state) const
{
    std::vector<core::address> found;
    for (const auto& [address, known] : m_records)
    {
        if (known.info.state == state)
            found.push_back(address);
    }
    return found;
}

std::vector<core::address> membership::random_peers(std::size_t count)
{
    std::vector<core::address> peers = addresses_in(member_state::alive);
    const std::size_t taken = std::min(count, peers.size());
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(peers[i], peers[i + m_random.below(peers.size() - i)]);
    peers.resize(taken);
    return peers;
}

} // namespace snipeplank::fleet
