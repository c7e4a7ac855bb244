/// @file
/// Times in which a server is cold, and the requests that reach it meanwhile.

#ifndef SNIPEPLANK_STANDINS_SERVER_COLD_PHASE_HPP
#define SNIPEPLANK_STANDINS_SERVER_COLD_PHASE_HPP

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

} // namespace snipeplank::standins

#endif
