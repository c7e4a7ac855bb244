/// @file
/// Load report of the stand-in engine, delayed by a configurable lag.

#ifndef SNIPEPLANK_STANDINS_ENGINE_LOAD_REPORT_HPP
#define SNIPEPLANK_STANDINS_ENGINE_LOAD_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace snipeplank::standins
{

/// @brief Load at one point in time.
struct load_sample
{
    std::chrono::steady_clock::time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
    double cache_usage = 0;
};

/// @brief Queues load samples and reports the newest one that is at least `lag` old.
class load_report
{
  public:
    explicit load_report(std::chrono::milliseconds lag) : m_lag(lag) {}

    /// @brief Adds a sample; called on every change of load.
    void add(const load_sample& sample);

    /// @brief Prometheus text with the metric names of vLLM.
    /// @param frozen whether to repeat the previously reported sample
    std::string text(bool frozen);

  private:
    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::deque<load_sample> m_samples;
    load_sample m_shown;
};

} // namespace snipeplank::standins

#endif
