#include <snipeplank/policy/ticket_table.hpp>

#include <algorithm>
#include <utility>

#include "detail/ticket_statements.hpp"

namespace snipeplank::policy
{

using detail::another_body;
using detail::entry_bytes;
using detail::expired;
using detail::size_of;

bool successor_table::add_part(const core::node_id& former, core::milliseconds frozen_at,
                               std::uint32_t part, std::uint32_t parts,
                               std::vector<outcome_record> records, core::time_point now)
{
    core::bytes size;
    for (const outcome_record& record : records)
    {
        size = size + size_of(record.outcome.answer) + core::bytes{entry_bytes};
    }
    const auto known = m_former.find(former);
    const bool is_duplicate = known != m_former.end() && known->second.received.contains(part);
    if (is_duplicate)
    {
        return true;
    }
    const bool is_consistent = known == m_former.end() || (known->second.parts == parts &&
                                                           known->second.frozen_at == frozen_at);
    // Memory for two stopped nodes, as when the nodes of a rack are stopped one after another.
    const core::bytes max_bytes = m_limits.all_answers + m_limits.all_answers;
    if (!is_consistent || part >= parts || m_stored + size > max_bytes)
    {
        return false;
    }
    former_node& taken = m_former[former];
    taken.frozen_at = frozen_at;
    taken.parts = parts;
    taken.forget_at = now + m_limits.lifetime;
    taken.received.insert(part);
    taken.stored = taken.stored + size;
    m_stored = m_stored + size;
    for (outcome_record& record : records)
    {
        const std::string id = record.ticket_id;
        taken.records.emplace(id, std::move(record));
    }
    return true;
}

std::optional<call_outcome> successor_table::look_up(const ticket& which,
                                                     const std::string& body_hash) const
{
    const auto known = m_former.find(which.issuer);
    if (known == m_former.end() || known->second.received.size() < known->second.parts)
    {
        return std::nullopt;
    }
    call_outcome statement;
    const auto found = known->second.records.find(which.id.get());
    if (found == known->second.records.end() && which.expires_at <= known->second.frozen_at)
    {
        statement.why = expired();
        return statement;
    }
    if (found != known->second.records.end() &&
        (body_hash.empty() || body_hash == found->second.body_hash))
    {
        return found->second.outcome;
    }
    statement.kind = outcome_kind::not_run;
    // The former node is frozen, so none of its reservations can run.
    statement.settled_through = reservation_number{~std::uint64_t{0}};
    statement.why = another_body();
    if (found == known->second.records.end())
    {
        statement.why = {refusal_reason::ticket_issuer_gone, execution::no, "get a new ticket", {}};
    }
    return statement;
}

void successor_table::expire(core::time_point now)
{
    for (auto at = m_former.begin(); at != m_former.end();)
    {
        if (at->second.forget_at > now)
        {
            ++at;
            continue;
        }
        m_stored.count -= at->second.stored.count;
        at = m_former.erase(at);
    }
}

} // namespace snipeplank::policy
