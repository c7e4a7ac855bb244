/// @file
/// Detects that this host was suspended, which the steady clock does not show.

#ifndef SNIPEPLANK_SERVING_SRC_SUSPENSION_WATCH_HPP
#define SNIPEPLANK_SERVING_SRC_SUSPENSION_WATCH_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/host_time.hpp>

#include <functional>
#include <utility>

namespace snipeplank::serving
{

/// @brief Compares that time between two moments. Not thread-safe.
class suspension_watch
{
  public:
    /// Two readings of unsuspended clocks differ by less.
    static constexpr core::milliseconds shortest_suspension{50};

    /// @param suspended_time returns for how long the host has been suspended
    explicit suspension_watch(std::function<core::duration()> suspended_time = host_suspended_time)
        : m_suspended_time(std::move(suspended_time)), m_seen(m_suspended_time())
    {
    }

    /// @brief Whether the host was suspended since the previous call that returned true, or since
    /// the creation of this object.
    bool take_suspension()
    {
        const core::duration suspended = m_suspended_time();
        if (suspended - m_seen < shortest_suspension)
            return false;
        m_seen = suspended;
        return true;
    }

  private:
    std::function<core::duration()> m_suspended_time;
    core::duration m_seen;
};

} // namespace snipeplank::serving

#endif
