#include <snipeplank/policy/answer_assembly.hpp>

namespace snipeplank::policy
{

assembly_result answer_assembly::break_off()
{
    m_state = state::broken;
    return {assembly_step::broken, {}};
}

assembly_result answer_assembly::on_head(int status)
{
    if (m_state == state::finished || m_state == state::broken)
    {
        return {assembly_step::drop, {}};
    }
    if (m_state == state::receiving)
    {
        return m_status == status ? assembly_result{assembly_step::drop, {}} : break_off();
    }
    m_state = state::receiving;
    m_status = status;
    return {assembly_step::forward, {}};
}

assembly_result answer_assembly::on_chunk(std::uint64_t offset, std::string_view data)
{
    if (m_state == state::finished || m_state == state::broken)
    {
        return {assembly_step::drop, {}};
    }
    if (m_state == state::waiting || offset > m_received)
    {
        return break_off();
    }
    const std::uint64_t seen = m_received - offset;
    if (seen >= data.size())
    {
        return {assembly_step::drop, {}};
    }
    const std::string_view fresh = data.substr(seen);
    m_sum.update(fresh);
    m_received += fresh.size();
    return {assembly_step::forward, fresh};
}

assembly_result answer_assembly::on_end(std::uint64_t length, std::uint64_t checksum)
{
    if (m_state == state::finished || m_state == state::broken)
    {
        return {assembly_step::drop, {}};
    }
    if (m_state == state::waiting || length != m_received || checksum != m_sum.digest())
    {
        return break_off();
    }
    m_state = state::finished;
    return {assembly_step::finished, {}};
}

} // namespace snipeplank::policy
