#include "model.hpp"

#include <algorithm>
#include <utility>

namespace snipeplank::bench
{

void timeline::after(double ms, event action)
{
    m_events.push({m_now + ms, m_next++, std::move(action)});
}

void timeline::run(double end_ms)
{
    while (!m_events.empty() && m_events.top().at <= end_ms)
    {
        entry next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end_ms;
}

void engine::submit(const std::shared_ptr<job>& call)
{
    if (call->is_over)
        return;
    if (!m_is_alive)
    {
        call->is_over = true;
        call->on_failure();
        return;
    }
    m_queue.push_back(call);
    start_waiting_calls();
}

void engine::cancel(const std::shared_ptr<job>& call)
{
    if (call->is_over)
        return;
    call->is_over = true;
    if (call->is_running)
        end(call);
}

void engine::fail()
{
    m_is_alive = false;
    std::vector<std::shared_ptr<job>> lost(m_queue.begin(), m_queue.end());
    lost.insert(lost.end(), m_started.begin(), m_started.end());
    m_queue.clear();
    m_started.clear();
    m_running = 0;
    for (const auto& call : lost)
    {
        if (call->is_over)
            continue;
        call->is_over = true;
        call->on_failure();
    }
}

std::size_t engine::waiting() const
{
    return static_cast<std::size_t>(std::count_if(m_queue.begin(), m_queue.end(),
                                                  [](const auto& call) { return !call->is_over; }));
}

double engine::kv_use() const
{
    return static_cast<double>(m_running) / static_cast<double>(m_parameters.slots);
}

void engine::start_waiting_calls()
{
    while (m_is_alive && m_running < m_parameters.slots && !m_queue.empty())
    {
        const std::shared_ptr<job> call = m_queue.front();
        m_queue.pop_front();
        if (!call->is_over)
            start(call);
    }
}

void engine::start(const std::shared_ptr<job>& call)
{
    // Share of the token time that does not depend on the batch size.
    constexpr double decode_floor = 0.6;
    call->is_running = true;
    m_started.push_back(call);
    ++m_running;
    const double tokens =
        call->suffix_tokens + (access_cache(call->prefix) ? 0 : m_parameters.prefix_tokens);
    const double prefill = tokens * m_parameters.prefill_ms_per_token * m_slowness;
    const double load = static_cast<double>(m_running) / static_cast<double>(m_parameters.slots);
    const double decode = call->answer_tokens * m_parameters.decode_ms_per_token * m_slowness *
                          (decode_floor + (1 - decode_floor) * load);
    m_prefill_free_at = std::max(m_prefill_free_at, m_time.now()) + prefill;
    m_busy_ms += prefill + decode / static_cast<double>(m_parameters.slots);
    const double first = m_prefill_free_at - m_time.now();
    m_time.after(first,
                 [call]
                 {
                     if (!call->is_over)
                         call->on_first_token();
                 });
    m_time.after(first + decode,
                 [this, call]
                 {
                     if (call->is_over)
                         return;
                     call->is_over = true;
                     end(call);
                     call->on_end();
                 });
}

void engine::end(const std::shared_ptr<job>& call)
{
    call->is_running = false;
    m_started.remove(call);
    --m_running;
    start_waiting_calls();
}

bool engine::access_cache(std::uint64_t prefix)
{
    const auto found = std::find(m_cache.begin(), m_cache.end(), prefix);
    const bool is_hit = found != m_cache.end();
    if (is_hit)
        m_cache.erase(found);
    m_cache.push_front(prefix);
    if (m_cache.size() > m_parameters.cached_prefixes)
        m_cache.pop_back();
    return is_hit;
}

} // namespace snipeplank::bench
