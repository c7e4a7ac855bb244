/// @file
/// Times in which a server is cold, and the requests that reach it meanwhile.

#ifndef SNIPEPLANK_STANDINS_SERVER_COLD_PHASE_HPP
#define SNIPEPLANK_STANDINS_SERVER_COLD_PHASE_HPP

#include <algorithm>
#include <chrono>
#include <mutex>
#include <vector>

namespace snipeplank::standins
{

/// @brief Counts the requests that arrive while a server is cold. Thread-safe.
class cold_phase
{
  public:
    using clock = std::chrono::steady_clock;

    /// @brief The server is cold from now on for this time; it forgets earlier arrivals.
    void begin(std::chrono::milliseconds duration);

    /// @brief Time for which the server stays cold; zero when it is warm.
    std::chrono::milliseconds remaining() const;

    /// @brief Records a request that it runs.
    /// @return requests of the last second, this one included, as long as it is cold; otherwise 0
    std::size_t on_arrival();

    /// @brief Most requests in any one second while it was cold.
    std::size_t most() const;

    /// @brief Times of the requests while it was cold, in milliseconds of the steady clock.
    std::vector<long> arrivals_ms() const;

  private:
    mutable std::mutex m_mutex;
    clock::time_point m_until{};
    std::vector<clock::time_point> m_arrivals;
    std::size_t m_most = 0;
};

inline void cold_phase::begin(std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_until = clock::now() + duration;
    m_arrivals.clear();
    m_most = 0;
}

inline std::chrono::milliseconds cold_phase::remaining() const
{
    const std::lock_guard lock(m_mutex);
    return std::max(std::chrono::milliseconds{0},
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_until - clock::now()));
}

inline std::size_t cold_phase::on_arrival()
{
    const std::lock_guard lock(m_mutex);
    const clock::time_point now = clock::now();
    if (now >= m_until)
        return 0;
    m_arrivals.push_back(now);
    const auto begin =
        std::upper_bound(m_arrivals.begin(), m_arrivals.end(), now - std::chrono::seconds(1));
    const auto count = static_cast<std::size_t>(m_arrivals.end() - begin);
    m_most = std::max(m_most, count);
    return count;
}

inline std::size_t cold_phase::most() const
{
    const std::lock_guard lock(m_mutex);
    return m_most;
}

inline std::vector<long> cold_phase::arrivals_ms() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<long> times;
    for (const clock::time_point each : m_arrivals)
    {
        times.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(each.time_since_epoch()).count());
    }
    return times;
}

} // namespace snipeplank::standins

#endif
