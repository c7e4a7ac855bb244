/// @file
/// What a stopping node still does, by the time since it was told to stop.

#ifndef SNIPEPLANK_SERVING_STOP_SCHEDULE_HPP
#define SNIPEPLANK_SERVING_STOP_SCHEDULE_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::serving
{

/// @brief Steps of a graceful shutdown. Pure.
///
/// Clients keep an answer of the directory for some seconds, so new requests are served for a
/// while; a request that is taken too late could be cut when the process is ended.
class stop_schedule
{
  public:
    /// New connections and requests are served this long.
    static constexpr core::milliseconds service_time{2'600};
    /// The process ends itself this long before it would be killed.
    static constexpr core::milliseconds end_margin{700};

    /// @param grace from the signal until the process is killed
    explicit stop_schedule(core::milliseconds grace) : m_grace(grace) {}

    /// @brief Whether a new request is served; a later one is refused with a hint to go elsewhere.
    bool serves_new(core::duration since_signal) const { return since_signal < service_time; }

    /// @brief Whether the process ends now.
    /// @param is_idle nothing is in flight
    bool ends(core::duration since_signal, bool is_idle) const
    {
        if (since_signal >= m_grace - end_margin)
            return true;
        return is_idle && !serves_new(since_signal);
    }

  private:
    core::milliseconds m_grace;
};

} // namespace snipeplank::serving

#endif
