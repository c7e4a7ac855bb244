/// @file
/// How long streams take, by route.

#ifndef SNIPEPLANK_SERVING_SRC_STREAM_DURATIONS_HPP
#define SNIPEPLANK_SERVING_SRC_STREAM_DURATIONS_HPP

#include <snipeplank/core/units.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace snipeplank::serving
{

/// @brief Moving average of the time from a request to the end of its stream, for each route. Used
/// on the event loop only.
class stream_durations
{
  public:
    /// @brief Adds a stream that has ended as a whole.
    void add(const std::string& route, core::duration took)
    {
        const double ms = std::chrono::duration<double, std::milli>(took).count();
        average& known = m_averages[route];
        ++known.count;
        const double weight = known.count < window ? 1.0 / known.count : 1.0 / window;
        known.ms += (ms - known.ms) * weight;
    }

    /// @return nothing for a route of which too few streams have ended
    std::optional<core::milliseconds> expected(const std::string& route) const
    {
        const auto found = m_averages.find(route);
        if (found == m_averages.end() || found->second.count < least_count)
            return std::nullopt;
        return core::milliseconds{static_cast<long>(found->second.ms)};
    }

    /// @brief Forgets the routes that `is_kept` does not name.
    template <typename Predicate>
    void keep(const Predicate& is_kept)
    {
        std::erase_if(m_averages, [&](const auto& each) { return !is_kept(each.first); });
    }

  private:
    static constexpr unsigned window = 16; ///< streams
    static constexpr unsigned least_count = 4;

    struct average
    {
        unsigned count = 0;
        double ms = 0;
    };

    std::map<std::string, average> m_averages;
};

} // namespace snipeplank::serving

#endif
