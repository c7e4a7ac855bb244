#include "call_log.hpp"

#include <snipeplank/core/json_text.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace snipeplank::serving
{

namespace
{

/// Lines per second by kind; bursts of up to `burst_seconds` times the rate are allowed.
constexpr double lifecycle_rate = 20;
constexpr double state_change_rate = 20;
constexpr double failure_rate = 50;
constexpr double success_rate = 5;
constexpr double burst_seconds = 4;

policy::token_bucket budget(double rate)
{
    return {rate, rate * burst_seconds};
}

std::int64_t wall_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

/// By what a request with homes was judged; nothing for one that any region may serve.
void add_homes(nlohmann::json& fields, const call_outcome_line& line)
{
    if (line.has_unknown_key)
        fields["unknown_key"] = true;
    if (!line.homes.is_restricted())
        return;
    nlohmann::json names = nlohmann::json::array();
    for (const core::region_id& region : *line.homes.regions())
    {
        names.push_back(region.get());
    }
    fields["homes"] = std::move(names);
    fields["homes_version"] = line.homes_version;
    if (line.confirmed_age)
        fields["confirmed_age_ms"] = line.confirmed_age->count();
}

} // namespace

call_log::call_log(std::string node, log::line_writer& output)
    : m_node(std::move(node)),
      m_output(output), m_budgets{budget(lifecycle_rate), budget(state_change_rate),
                                  budget(failure_rate), budget(success_rate)}
{
}

bool call_log::take(line_kind kind, core::time_point now)
{
    const bool allowed = m_budgets[static_cast<std::size_t>(kind)].take(1, now);
    m_dropped += allowed ? 0 : 1;
    return allowed;
}

void call_log::emit(std::string_view what, const nlohmann::json& fields)
{
    nlohmann::ordered_json line{{"time_ms", wall_ms()}, {"node", m_node}, {"event", what}};
    line.update(nlohmann::ordered_json(fields));
    if (const std::uint64_t all = dropped(); all != m_dropped_reported)
    {
        line["lines_dropped"] = all;
        m_dropped_reported = all;
    }
    m_output.push(core::json_text(line));
}

void call_log::event(line_kind kind, std::string_view what, const nlohmann::json& fields)
{
    if (take(kind, std::chrono::steady_clock::now()))
        emit(what, fields);
}

void call_log::call_ended(const call_outcome_line& line)
{
    const bool is_success = line.outcome == "answered";
    if (!take(is_success ? line_kind::success : line_kind::failure,
              std::chrono::steady_clock::now()))
        return;
    nlohmann::json fields{{"request_id", line.request_id},
                          {"outcome", line.outcome},
                          {"status", line.status},
                          {"executed", line.executed},
                          {"cut_by", to_string(line.cut_by)},
                          {"route", line.route},
                          {"service", line.service},
                          {"config_version", line.config_version},
                          {"attempts", line.attempts},
                          {"upstreams", line.upstreams},
                          {"stream_origin", line.stream_origin},
                          {"predicted_ms", line.predicted_ms},
                          {"remaining_ms", line.remaining_ms},
                          {"retry_after_ms", line.retry_after_ms},
                          {"first_byte_ms", line.first_byte_ms},
                          {"longest_pause_ms", line.longest_pause_ms},
                          {"prompt_tokens", line.prompt_tokens},
                          {"total_ms", line.total_ms}};
    if (!line.account.empty())
        fields["account"] = line.account;
    add_homes(fields, line);
    emit("call", fields);
}

} // namespace snipeplank::serving
