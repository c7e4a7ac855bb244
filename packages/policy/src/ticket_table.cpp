#include <snipeplank/policy/ticket_table.hpp>

#include <algorithm>
#include <utility>

#include "detail/ticket_statements.hpp"

namespace snipeplank::policy
{

using detail::another_body;
using detail::deadline_missed;
using detail::draining;
using detail::entry_bytes;
using detail::expired;
using detail::not_kept;
using detail::retry_soon;
using detail::since_epoch;
using detail::size_of;
using detail::unused;

ticket_table::ticket_table(core::node_id self, std::string secret, ticket_limits limits)
    : m_self(std::move(self)), m_signer(std::move(secret)), m_limits(limits)
{
}

issue_result ticket_table::issue(const core::service_id& service, core::time_point now,
                                 core::random_source& random)
{
    const core::milliseconds present = since_epoch(now);
    while (!m_issued.empty() && m_issued.front() <= present)
    {
        m_issued.pop_front();
    }
    if (m_is_frozen)
    {
        return draining();
    }
    const bool has_capacity = m_stored + m_limits.answer <= m_limits.all_answers;
    if (!has_capacity || m_issued.size() >= m_limits.tickets)
    {
        return refusal{refusal_reason::overloaded, execution::no,
                       "get the ticket from another entry point, or later", retry_soon};
    }
    ticket contents;
    contents.issuer = m_self;
    contents.service = service;
    contents.number = random.next();
    contents.expires_at = present + m_limits.lifetime;
    m_issued.push_back(contents.expires_at);
    return issued_ticket{m_signer.sign(contents), m_limits.lifetime};
}

check_result ticket_table::check(std::string_view text) const
{
    const core::result<ticket> parsed = parse_ticket(text);
    if (!parsed)
    {
        return refusal{refusal_reason::ticket_invalid, execution::no, parsed.error().remedy, {}};
    }
    if (parsed.value().issuer != m_self)
    {
        return refusal{refusal_reason::ticket_issuer_gone,
                       execution::unknown,
                       "check with the application whether the call was run, then get a new ticket",
                       {}};
    }
    core::result<ticket> verified = m_signer.verify(text);
    if (!verified)
    {
        return refusal{refusal_reason::ticket_invalid, execution::no, verified.error().remedy, {}};
    }
    return std::move(verified).value();
}

call_outcome ticket_table::not_run(refusal why) const
{
    why.executed = execution::no;
    call_outcome statement;
    statement.kind = outcome_kind::not_run;
    statement.settled_through = reservation_number{m_last_reservation};
    statement.why = std::move(why);
    return statement;
}

call_outcome ticket_table::outcome_without_entry(const ticket& which, core::time_point now) const
{
    if (which.expires_at > since_epoch(now))
    {
        return not_run(m_is_frozen ? draining() : unused());
    }
    // The entry may have expired together with its outcome.
    call_outcome statement;
    statement.why = expired();
    return statement;
}

call_outcome ticket_table::outcome_for_body(const entry& ended, const std::string& body_hash) const
{
    const bool is_other_body = !body_hash.empty() && body_hash != ended.body_hash;
    return is_other_body ? not_run(another_body()) : ended.result;
}

ticket_table::entry& ticket_table::add_entry(const ticket& which)
{
    entry& added = m_entries[which.id];
    added.expires_at = which.expires_at;
    m_expiries.emplace(which.expires_at, which.id);
    return added;
}

reservation_number ticket_table::grant(entry_map::iterator to, const call_key& attempt,
                                       const std::string& body_hash, core::time_point now)
{
    auto& [id, granted] = *to;
    m_reservation_expiries.erase({granted.reserved_until, id});
    granted.state = phase::reserved;
    granted.holder = attempt;
    granted.body_hash = body_hash;
    granted.reservation = reservation_number{++m_last_reservation};
    granted.reserved_until = now + m_limits.reservation;
    granted.waiting.erase(attempt);
    m_reservation_expiries.emplace(granted.reserved_until, id);
    return granted.reservation;
}

void ticket_table::release_reservation(entry_map::iterator which, core::time_point now)
{
    auto& [id, lapsed] = *which;
    m_reservation_expiries.erase({lapsed.reserved_until, id});
    const auto next = std::find_if(lapsed.waiting.begin(), lapsed.waiting.end(),
                                   [](const auto& waiter) { return !waiter.second.empty(); });
    const bool is_expired = lapsed.expires_at <= since_epoch(now);
    if (next != lapsed.waiting.end() && !is_expired)
    {
        const call_key attempt = next->first;
        const std::string body_hash = next->second;
        m_notices.push_back({attempt, grant(which, attempt, body_hash, now), {}, false});
        return;
    }
    for (const auto& [attempt, body_hash] : lapsed.waiting)
    {
        notify(attempt, not_run(unused()), false);
    }
    m_entries.erase(which);
}

void ticket_table::release_if_lapsed(const ticket_id& id, core::time_point now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.state == phase::reserved &&
        found->second.reserved_until <= now)
    {
        release_reservation(found, now);
    }
}

reserve_result ticket_table::reserve(const ticket& which, const call_key& attempt,
                                     const std::string& body_hash, core::time_point now)
{
    release_if_lapsed(which.id, now);
    auto found = m_entries.find(which.id);
    const bool is_expired = which.expires_at <= since_epoch(now);
    if (found == m_entries.end() && (is_expired || m_is_frozen))
    {
        return outcome_without_entry(which, now);
    }
    if (found == m_entries.end())
    {
        add_entry(which);
        return reservation_granted{grant(m_entries.find(which.id), attempt, body_hash, now)};
    }
    entry& present = found->second;
    if (present.state == phase::ended)
    {
        return outcome_for_body(present, body_hash);
    }
    if (present.state == phase::reserved && present.holder == attempt && !is_expired)
    {
        return reservation_granted{grant(found, attempt, body_hash, now)};
    }
    if (present.holder != attempt)
    {
        present.waiting[attempt] = body_hash;
    }
    return must_wait{};
}

commit_result ticket_table::commit(const ticket& which, const call_key& attempt,
                                   reservation_number number, const std::string& body_hash,
                                   core::time_point deadline, core::time_point now)
{
    release_if_lapsed(which.id, now);
    const auto found = m_entries.find(which.id);
    if (found == m_entries.end())
    {
        return outcome_without_entry(which, now);
    }
    entry& present = found->second;
    if (present.state == phase::ended)
    {
        return outcome_for_body(present, body_hash);
    }
    const bool is_holder = present.holder == attempt;
    if (!is_holder)
    {
        present.waiting[attempt] = body_hash;
    }
    if (!is_holder || present.state == phase::running || present.reservation != number)
    {
        return must_wait{};
    }
    if (body_hash != present.body_hash || deadline <= now)
    {
        release_reservation(found, now);
        return not_run(deadline <= now ? deadline_missed() : another_body());
    }
    m_reservation_expiries.erase({present.reserved_until, which.id});
    present.state = phase::running;
    present.deadline = deadline;
    ++m_running;
    return may_run{};
}

lookup_result ticket_table::ask(const ticket& which, const call_key& attempt, core::time_point now)
{
    release_if_lapsed(which.id, now);
    const auto found = m_entries.find(which.id);
    if (found == m_entries.end())
    {
        return outcome_without_entry(which, now);
    }
    entry& present = found->second;
    if (present.state == phase::ended)
    {
        return present.result;
    }
    if (present.holder != attempt)
    {
        // Keeps the body hash of an attempt that waits already, so that it can still be granted.
        present.waiting.try_emplace(attempt);
        return must_wait{};
    }
    if (present.state == phase::running)
    {
        return must_wait{};
    }
    release_reservation(found, now);
    return not_run(unused());
}

lookup_result ticket_table::look_up(const ticket& which, core::time_point now) const
{
    const auto found = m_entries.find(which.id);
    if (found == m_entries.end())
    {
        return outcome_without_entry(which, now);
    }
    if (found->second.state == phase::ended)
    {
        return found->second.result;
    }
    if (found->second.state == phase::running)
    {
        return must_wait{};
    }
    return not_run(unused());
}

bool ticket_table::may_send(const ticket_id& id, core::time_point now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.state == phase::running &&
           now < found->second.deadline;
}

void ticket_table::finish(const ticket_id& id, call_outcome result)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != phase::running)
    {
        return;
    }
    entry& ended = found->second;
    --m_running;
    const std::map<call_key, std::string> waiting = std::exchange(ended.waiting, {});
    const call_key holder = ended.holder;
    if (result.kind == outcome_kind::not_run)
    {
        const call_outcome statement = not_run(result.why);
        m_entries.erase(found);
        notify(holder, statement, true);
        for (const auto& [attempt, body_hash] : waiting)
        {
            notify(attempt, statement, false);
        }
        return;
    }
    ended.state = phase::ended;
    store_outcome(ended, result);
    notify(holder, std::move(result), true);
    for (const auto& [attempt, body_hash] : waiting)
    {
        notify(attempt, outcome_for_body(ended, body_hash), false);
    }
}

void ticket_table::store_outcome(entry& ended, const call_outcome& result)
{
    const core::bytes answer = size_of(result.answer);
    const core::bytes total = answer + core::bytes{entry_bytes};
    ended.result = result;
    ended.stored = core::bytes{entry_bytes};
    const bool fits = answer <= m_limits.answer && m_stored + total <= m_limits.all_answers;
    if (result.kind == outcome_kind::answered && fits)
    {
        ended.stored = total;
    }
    else if (result.kind != outcome_kind::unknown)
    {
        ended.result.kind = outcome_kind::answer_not_kept;
        ended.result.why = not_kept();
        ended.result.answer = {result.answer.status, {}, {}};
    }
    m_stored = m_stored + ended.stored;
}

void ticket_table::notify(const call_key& attempt, call_outcome outcome, bool is_holder)
{
    m_notices.push_back({attempt, std::nullopt, std::move(outcome), is_holder});
}

std::vector<ticket_notice> ticket_table::take_notices()
{
    return std::exchange(m_notices, {});
}

void ticket_table::forget_attempt(const ticket_id& id, const call_key& attempt,
                                  core::time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return;
    }
    found->second.waiting.erase(attempt);
    if (found->second.state == phase::reserved && found->second.holder == attempt)
    {
        release_reservation(found, now);
    }
}

void ticket_table::expire(core::time_point now)
{
    while (!m_reservation_expiries.empty() && m_reservation_expiries.begin()->first <= now)
    {
        const ticket_id id = m_reservation_expiries.begin()->second;
        release_reservation(m_entries.find(id), now);
    }
    // A frozen table removes nothing, because its successor treats a missing ticket as not used.
    if (!m_is_frozen)
    {
        forget_expired(since_epoch(now));
    }
}

void ticket_table::forget_expired(core::milliseconds now)
{
    std::vector<ticket_id> busy;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
    {
        const auto node = m_expiries.extract(m_expiries.begin());
        const auto found = m_entries.find(node.mapped());
        if (found == m_entries.end())
        {
            continue;
        }
        if (found->second.state != phase::ended)
        {
            busy.push_back(node.mapped());
            continue;
        }
        m_stored.count -= found->second.stored.count;
        m_entries.erase(found);
    }
    for (const ticket_id& id : busy)
    {
        m_expiries.emplace(now + m_limits.reservation, id);
    }
}

bool ticket_table::freeze(core::time_point now)
{
    expire(now);
    if (m_is_frozen || m_running > 0 || !m_reservation_expiries.empty())
    {
        return m_is_frozen;
    }
    m_is_frozen = true;
    m_frozen_at = since_epoch(now);
    return true;
}

std::vector<outcome_record> ticket_table::outcomes() const
{
    std::vector<outcome_record> records;
    for (const auto& [id, present] : m_entries)
    {
        if (m_is_frozen && present.state == phase::ended)
        {
            records.push_back({id.get(), present.body_hash, present.result});
        }
    }
    return records;
}

} // namespace snipeplank::policy
