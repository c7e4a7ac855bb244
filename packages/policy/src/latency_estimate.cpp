#include <snipeplank/policy/latency_estimate.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipeplank::policy
{

void latency_estimate::add(double ms, core::time_point now)
{
    const double mean = value(now);
    const double weight = stall_factor * ms < mean ? weight_after_stall : weight_of_sample;
    m_mean = m_samples == 0 ? ms : mean + weight * (ms - mean);
    ++m_samples;
    m_last = std::max(m_last, now);
}

double latency_estimate::value(core::time_point now) const
{
    if (m_samples == 0)
        return 0;
    if (now <= m_last + half_life)
        return m_mean;
    const double silence = std::chrono::duration<double>(now - m_last).count();
    return m_mean * std::exp2(-silence / std::chrono::duration<double>(half_life).count());
}

void latency_window::add(double ms)
{
    m_samples[m_next] = ms;
    m_next = (m_next + 1) % window;
    m_size = std::min(m_size + 1, window);
}

double latency_window::quantile(double fraction) const
{
    if (m_size == 0)
        return 0;
    std::array<double, window> sorted = m_samples;
    const auto rank =
        std::min(static_cast<std::size_t>(fraction * static_cast<double>(m_size)), m_size - 1);
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), nth, sorted.begin() + static_cast<std::ptrdiff_t>(m_size));
    return *nth;
}

} // namespace snipeplank::policy
