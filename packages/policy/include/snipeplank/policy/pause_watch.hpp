/// @file
/// Detects that this node stood still. Pure.

#ifndef SNIPEPLANK_POLICY_PAUSE_WATCH_HPP
#define SNIPEPLANK_POLICY_PAUSE_WATCH_HPP

#include <snipeplank/core/units.hpp>

#include <optional>

namespace snipeplank::policy
{

/// @brief Tells from regular ticks when the node last stood still. Not thread-safe.
///
/// After a pause everything that came in meanwhile is handled in any order, so each user checks
/// the time itself and does not rely on the tick to come first.
class pause_watch
{
  public:
    /// Ticks come this often.
    static constexpr core::milliseconds tick_interval{100};
    /// A tick that is older means that the node stood still.
    static constexpr core::milliseconds longest_gap{300};

    /// @brief Records that the node runs.
    void on_tick(core::time_point now)
    {
        check(now);
        m_last_tick = now;
    }

    /// @brief Records the end of a pause if the last tick is too old.
    void check(core::time_point now)
    {
        if (m_last_tick && now - *m_last_tick > longest_gap)
            on_resumed(now);
    }

    /// @brief Records the end of a pause that the ticks do not show: the clock stood still, too.
    void on_resumed(core::time_point now)
    {
        m_resumed_at = now;
        m_last_tick = now;
    }

    /// @brief End of the latest pause; long ago if there was none.
    core::time_point resumed_at() const { return m_resumed_at; }

  private:
    std::optional<core::time_point> m_last_tick;
    core::time_point m_resumed_at{};
};

} // namespace snipeplank::policy

#endif
