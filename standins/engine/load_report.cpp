#include <standins/engine/load_report.hpp>

#include <sstream>

namespace snipeplank::standins
{

void load_report::add(const load_sample& sample)
{
    const std::lock_guard lock(m_mutex);
    m_samples.push_back(sample);
    // Bounds the queue when nobody reads: of the samples older than the lag, only the newest is
    // kept.
    while (m_samples.size() > 1 && m_samples[1].at + m_lag <= sample.at)
    {
        m_samples.pop_front();
    }
}

std::string load_report::text(bool frozen)
{
    const std::lock_guard lock(m_mutex);
    const auto newest = std::chrono::steady_clock::now() - m_lag;
    while (!frozen && !m_samples.empty() && m_samples.front().at <= newest)
    {
        m_shown = m_samples.front();
        m_samples.pop_front();
    }
    std::ostringstream out;
    out << "# TYPE vllm:num_requests_running gauge\n"
        << "vllm:num_requests_running " << m_shown.running << "\n"
        << "# TYPE vllm:num_requests_waiting gauge\n"
        << "vllm:num_requests_waiting " << m_shown.waiting << "\n"
        << "# TYPE vllm:gpu_cache_usage_perc gauge\n"
        << "vllm:gpu_cache_usage_perc " << m_shown.cache_usage << "\n";
    return out.str();
}

} // namespace snipeplank::standins
