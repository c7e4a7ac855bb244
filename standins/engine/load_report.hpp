/// @file
/// Load report of the stand-in engine, which shows the past.

#ifndef SNIPEPLANK_STANDINS_ENGINE_LOAD_REPORT_HPP
#define SNIPEPLANK_STANDINS_ENGINE_LOAD_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace snipeplank::standins
{

/// @brief Load at one moment.
struct load_sample
{
    std::chrono::steady_clock::time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
    double cache_usage = 0;
};

/// @brief Keeps samples and reports the newest one that is old enough.
class load_report
{
  public:
    explicit load_report(std::chrono::milliseconds lag) : m_lag(lag) {}

    /// @brief Adds a sample; called on every change of load.
    void add(const load_sample& sample);

    /// @brief Prometheus text under the names that vLLM uses.
    /// @param frozen repeats the former text
    std::string text(bool frozen);

  private:
    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::deque<load_sample> m_samples;
    load_sample m_shown;
};

} // namespace snipeplank::standins

#endif
