#include <snipeplank/policy/process_proof.hpp>

#include <algorithm>

namespace snipeplank::policy
{

bool process_proof::is_proven(const connection_record& connection, core::milliseconds warmup,
                              core::time_point doubted_at, core::time_point now) const
{
    if (connection.proven_at && *connection.proven_at >= doubted_at)
        return true;
    if (now - std::max(connection.opened_at, doubted_at) >= warmup)
        return true;
    if (m_seen_running_at && *m_seen_running_at >= doubted_at &&
        connection.opened_at <= *m_seen_running_at + shortest_restart)
        return true;
    return m_contact_since && m_last_contact - std::max(*m_contact_since, doubted_at) >= warmup &&
           connection.opened_at <= m_last_contact + shortest_restart;
}

void process_proof::on_contact(core::time_point opened_at)
{
    if (!m_contact_since || opened_at > m_last_contact + shortest_restart)
        m_contact_since = opened_at;
    m_last_contact = std::max(m_last_contact, opened_at);
}

void process_proof::on_received(core::time_point proven_at, core::time_point doubted_at,
                                core::time_point now)
{
    if (proven_at < doubted_at)
        return;
    m_seen_running_at = now;
    m_ask_again_at = core::time_point{};
}

void process_proof::on_may_have_ended()
{
    m_seen_running_at.reset();
    m_contact_since.reset();
}

verification_turn process_proof::begin_verification(core::time_point now)
{
    if (is_unverified(now))
        return verification_turn::not_now;
    if (m_verification_ends && now < *m_verification_ends)
        return verification_turn::others;
    m_verification_ends = now + verification_time;
    return verification_turn::own;
}

void process_proof::end_without_answer(core::time_point now)
{
    m_verification_ends.reset();
    m_ask_again_at = now + retry_interval;
}

} // namespace snipeplank::policy
