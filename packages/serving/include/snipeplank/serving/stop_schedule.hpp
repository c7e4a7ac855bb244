/// @file
/// Schedule of a graceful shutdown.

#ifndef SNIPEPLANK_SERVING_STOP_SCHEDULE_HPP
#define SNIPEPLANK_SERVING_STOP_SCHEDULE_HPP

#include <snipeplank/core/units.hpp>

#include <algorithm>

namespace snipeplank::serving
{

/// @brief Decides what a stopping node still does, by the time since the stop signal. Pure.
///
/// Clients cache an answer of the directory for some seconds, so new requests are served for a
/// while. A request that is accepted too late could be cut off when the process is killed.
class stop_schedule
{
  public:
    /// New connections and requests are served at most this long after the signal.
    static constexpr core::milliseconds max_service_time{2'600};
    /// Requests in flight get their last answer this long before the process would be killed.
    static constexpr core::milliseconds max_answer_margin{1'000};
    /// The process exits this long before it would be killed. All three are shorter when the grace
    /// is.
    static constexpr core::milliseconds max_end_margin{700};

    /// @param grace from the signal until the process is killed
    explicit stop_schedule(core::milliseconds grace) : m_grace(grace) {}

    /// @brief How long new requests are served after the signal: at most a third of the grace, so
    /// that they have the rest of it.
    core::milliseconds service_time() const
    {
        constexpr int max_service_share = 3;
        return std::min(max_service_time, m_grace / max_service_share);
    }

    /// @brief Whether a new request is served; a later one is refused and referred to another node.
    bool serves_new(core::duration since_signal) const { return since_signal < service_time(); }

    /// @brief When requests in flight get their last answer, since the signal. It leaves the time
    /// to send the answers before the process exits.
    core::milliseconds last_answer_time() const
    {
        constexpr int shortest_margin_share = 7;
        return m_grace - std::min(max_answer_margin, m_grace / shortest_margin_share);
    }

    /// @brief Whether the process exits now.
    /// @param is_idle no request is in flight
    bool must_exit(core::duration since_signal, bool is_idle) const
    {
        if (since_signal >= m_grace - end_margin())
            return true;
        return is_idle && !serves_new(since_signal);
    }

    /// @brief How long the last connections are served once the process must exit.
    core::milliseconds closing_time() const { return end_margin() / end_margin_parts; }

    /// @brief How long the process waits for the reader of its log at the very end.
    core::milliseconds flush_time() const { return end_margin() / end_margin_parts; }

  private:
    /// A part each for the last connections, for the log, and two as a reserve.
    static constexpr int end_margin_parts = 4;

    core::milliseconds end_margin() const
    {
        constexpr int shortest_margin_share = 10;
        return std::min(max_end_margin, m_grace / shortest_margin_share);
    }

    core::milliseconds m_grace;
};

} // namespace snipeplank::serving

#endif
