/// @file
/// End of a stopping node's calls.

#ifndef SNIPEPLANK_SERVING_SRC_SERVING_END_HPP
#define SNIPEPLANK_SERVING_SRC_SERVING_END_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <optional>
#include <set>

namespace snipeplank::serving
{

/// @brief When the calls in flight on a stopping node get their last answer, so that it is sent
/// before the process ends. Used on the event loop only.
class serving_end
{
  public:
    /// @brief A call in flight, which is told when the node begins to stop.
    class listener
    {
      public:
        virtual ~listener() = default;

        virtual void on_serving_end(core::time_point at) = 0;
    };

    /// @brief Time of the last answers; none while the node is not stopping.
    std::optional<core::time_point> at() const { return m_at; }

    /// @brief Sets the time and tells it to all calls in flight.
    void set(core::time_point at)
    {
        m_at = at;
        for (listener* each : m_listeners)
        {
            each->on_serving_end(at);
        }
    }

    void add(listener& call) { m_listeners.insert(&call); }
    void remove(listener& call) { m_listeners.erase(&call); }

  private:
    std::optional<core::time_point> m_at;
    std::set<listener*> m_listeners;
};

/// @brief The refusal of a request that a stopping node has not sent to any upstream.
inline policy::refusal stopping_refusal()
{
    constexpr core::milliseconds retry_after{50};
    return {policy::refusal_reason::draining, policy::execution::no,
            "send the request to another node", retry_after, false};
}

} // namespace snipeplank::serving

#endif
