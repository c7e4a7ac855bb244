#include <snipeplank/core/json_text.hpp>
#include <snipeplank/gateway/decision_log.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace snipeplank::gateway
{

namespace
{

using nlohmann::json;

json to_json(const policy::candidate& candidate)
{
    json value = {{"address", candidate.address.get()}, {"region", candidate.region.get()},
                  {"score", candidate.score},           {"predicted_ms", candidate.predicted_ms},
                  {"in_flight", candidate.in_flight},   {"limit", candidate.limit}};
    if (!candidate.passed_over.empty())
        value["passed_over"] = candidate.passed_over;
    return value;
}

json to_json(const attempt_record& attempt)
{
    json candidates = json::array();
    for (const policy::candidate& candidate : attempt.candidates)
    {
        candidates.push_back(to_json(candidate));
    }
    return {{"kind", attempt.kind},
            {"target", attempt.target},
            {"candidates", std::move(candidates)},
            {"limits_met", attempt.limits_met},
            {"result", attempt.result},
            {"started_ms", attempt.started_ms},
            {"ended_ms", attempt.ended_ms}};
}

json to_json(const call_record& record)
{
    json attempts = json::array();
    for (const attempt_record& attempt : record.attempts)
    {
        attempts.push_back(to_json(attempt));
    }
    return {{"request_id", record.request_id},
            {"service", record.service},
            {"home", record.home},
            {"residency", record.residency},
            {"path", record.path},
            {"config_version", record.config_version},
            {"attempts", std::move(attempts)},
            {"result", record.result},
            {"executed", record.executed},
            {"total_ms", record.total_ms}};
}

} // namespace

void decision_log::add(call_record record)
{
    const std::lock_guard lock(m_mutex);
    if (m_records.size() < capacity)
    {
        m_index[record.request_id] = m_records.size();
        m_records.push_back(std::move(record));
        return;
    }
    call_record& oldest = m_records[m_next];
    m_index.erase(oldest.request_id);
    m_index[record.request_id] = m_next;
    oldest = std::move(record);
    m_next = (m_next + 1) % capacity;
}

std::optional<std::string> decision_log::explain(const std::string& request_id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_index.find(request_id);
    if (found == m_index.end())
        return std::nullopt;
    return core::json_text(to_json(m_records[found->second]), 2);
}

} // namespace snipeplank::gateway
