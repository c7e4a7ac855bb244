#include <standins/server/cold_phase.hpp>

#include <algorithm>

namespace snipeplank::standins
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void cold_phase::begin(milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_until = clock::now() + duration;
    m_arrivals.clear();
    m_most = 0;
}

milliseconds cold_phase::remaining() const
{
    const std::lock_guard lock(m_mutex);
    return std::max(milliseconds{0}, duration_cast<milliseconds>(m_until - clock::now()));
}

std::size_t cold_phase::on_arrival()
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

std::size_t cold_phase::most() const
{
    const std::lock_guard lock(m_mutex);
    return m_most;
}

std::vector<long> cold_phase::arrivals_ms() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<long> times;
    for (const clock::time_point each : m_arrivals)
    {
        times.push_back(duration_cast<milliseconds>(each.time_since_epoch()).count());
    }
    return times;
}

} // namespace snipeplank::standins
