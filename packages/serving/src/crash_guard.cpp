#include "crash_guard.hpp"

#include <snipeplank/core/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// Upstreams are in the own region, a few milliseconds away.
constexpr core::milliseconds connect_timeout{400};
/// Limit of the crashes, and of the answers, in one message to another node.
constexpr std::size_t max_evidence_items = 40;

std::uint32_t ms_ago(core::time_point at, core::time_point now)
{
    constexpr auto max_value = std::numeric_limits<std::uint32_t>::max();
    const auto ms = std::chrono::duration_cast<core::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, max_value));
}

core::time_point before(core::time_point now, std::uint32_t ms_ago)
{
    return now - core::milliseconds{ms_ago};
}

} // namespace

request_parts parts_of(const http::request_head& head, const std::string& body,
                       const caller_request& request)
{
    request_parts parts;
    std::uint64_t identity = 0;
    for (const prompt_part& each : request.prompt)
    {
        parts.emplace_back(core::hash64(each.id));
        identity = core::hash64(each.id, identity);
    }
    if (!parts.empty())
        parts.pop_back();
    const auto credentials = http::find_header(head.headers, "Authorization");
    for (const std::string_view each :
         {std::string_view(head.method), std::string_view(request.host), credentials.value_or(""),
          std::string_view(head.target), std::string_view(body)})
    {
        identity = core::hash64(each, identity);
    }
    parts.emplace_back(identity);
    return parts;
}

crash_guard::crash_guard(asio::io_context& loop, http::connection_pool& pool, call_log& log)
    : m_loop(loop), m_pool(pool), m_log(log)
{
}

std::optional<core::milliseconds> crash_guard::quarantine_left(const request_parts& parts,
                                                               std::size_t forgiven_crashes) const
{
    return m_quarantine.time_left(parts, now(), forgiven_crashes);
}

bool crash_guard::is_suspect(const request_parts& parts) const
{
    return m_quarantine.is_suspect(parts, now());
}

void crash_guard::on_answered(const request_parts& parts)
{
    record_answer(parts, now());
}

void crash_guard::record_answer(const request_parts& parts, core::time_point at)
{
    const core::time_point time = now();
    for (const policy::request_part_key& each : parts)
    {
        const policy::answer_report answer{each, at};
        if (each == parts.back())
            m_quarantine.add_to_known(answer, time);
        else
            m_quarantine.add(answer, time);
    }
}

void crash_guard::on_broken(const upstream& target, broken_request request)
{
    const auto [pending, is_first] = m_checks.try_emplace(target.id);
    pending->second.requests.push_back(std::move(request));
    if (!is_first)
        return;
    pending->second.broken_at = now();
    asio::co_spawn(m_loop, check(target), asio::detached);
}

asio::awaitable<void> crash_guard::check(upstream target)
{
    const bool is_crash = co_await has_crashed(target);
    const auto checked = m_checks.extract(target.id);
    if (checked.empty())
        co_return;
    if (is_crash)
        record_crash(target, checked.mapped());
    else
        record_whole_answers(checked.mapped());
}

/// A process that ends closes its connections one after the other, the listening one perhaps last,
/// and is back after some seconds at the earliest.
asio::awaitable<bool> crash_guard::has_crashed(const upstream& target)
{
    constexpr int max_connections = 3;
    constexpr core::milliseconds settle_time{200};
    for (int i = 0; i < max_connections; ++i)
    {
        const auto connection = m_pool.create(target.address);
        const auto connected = co_await connection->connect(connect_timeout);
        if (!connected && connected.error().code == core::error_code::upstream_timeout)
            continue;
        if (!connected)
            co_return true;
        asio::steady_timer timer(m_loop, settle_time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!connection->is_stale())
            co_return false;
    }
    co_return false;
}

void crash_guard::record_whole_answers(const crash_check& checked)
{
    for (const broken_request& each : checked.requests)
    {
        if (each.may_be_whole)
            record_answer(each.parts, checked.broken_at);
    }
}

void crash_guard::record_crash(const upstream& target, const crash_check& checked)
{
    ++m_crashes;
    const policy::upstream_run_key run{core::hash64(target.id.get())};
    nlohmann::json requests = nlohmann::json::array();
    for (const broken_request& each : checked.requests)
    {
        requests.push_back(each.id);
        for (std::size_t i = 0; i < each.parts.size(); ++i)
        {
            const bool is_whole = i + 1 == each.parts.size();
            const auto position =
                is_whole ? policy::whole_request_position : static_cast<std::uint16_t>(i);
            m_quarantine.add({each.parts[i], run, each.sent, checked.broken_at, position}, now());
        }
    }
    m_log.event(line_kind::failure, "upstream_crashed",
                {{"id", target.id.get()},
                 {"address", target.address.get()},
                 {"request_ids", requests},
                 {"quarantined_parts", quarantined()}});
    if (m_on_crash)
        m_on_crash(target.id);
}

bool crash_guard::add_evidence(fleet::gossip& message) const
{
    const core::time_point time = now();
    const policy::crash_evidence known = m_quarantine.evidence(max_evidence_items, time);
    for (const policy::crash_report& each : known.crashes)
    {
        message.prompt_crashes.push_back({each.part.get(), each.upstream.get(),
                                          ms_ago(each.sent, time), ms_ago(each.at, time),
                                          each.position});
    }
    for (const policy::answer_report& each : known.answers)
    {
        message.prompt_answers.push_back({each.part.get(), ms_ago(each.at, time)});
    }
    return !known.is_empty();
}

void crash_guard::on_evidence(const fleet::gossip& received)
{
    const core::time_point time = now();
    policy::crash_evidence evidence;
    for (const fleet::prompt_crash& each : received.prompt_crashes)
    {
        evidence.crashes.push_back(
            {policy::request_part_key{each.part_key}, policy::upstream_run_key{each.upstream_key},
             before(time, each.sent_ms_ago), before(time, each.ms_ago), each.position});
    }
    for (const fleet::prompt_answer& each : received.prompt_answers)
    {
        evidence.answers.push_back(
            {policy::request_part_key{each.part_key}, before(time, each.ms_ago)});
    }
    m_quarantine.merge(evidence, time);
}

std::size_t crash_guard::quarantined() const
{
    return m_quarantine.quarantined(now());
}

} // namespace snipeplank::serving
