/// @file
/// Whether a node reaches most of the fleet, so that it would hear of a newer configuration. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_FLEET_CONTACT_HPP
#define SNIPEPLANK_SERVING_SRC_FLEET_CONTACT_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/pause_watch.hpp>

#include <cstddef>

namespace snipeplank::serving
{

/// @brief Contact of one node with the others. All times are those of `host_time`, which goes on
/// while the host is suspended. Not thread-safe.
class fleet_contact
{
  public:
    /// A node that is lost is noticed within this time: its pings fail, or its connection is idle.
    static constexpr core::milliseconds detection_time{8'000};

    /// @brief Sets how many nodes there are.
    /// @param live nodes that answer, this one included
    /// @param known nodes that may be running, this one included; 0: not known yet
    void set_nodes(std::size_t live, std::size_t known)
    {
        m_live = live;
        m_known = known;
    }

    /// @brief Records that the node runs; called every `policy::pause_watch::tick_interval`.
    void on_tick(core::time_point now) { m_pauses.on_tick(now); }

    /// @brief Whether this node reaches most of the fleet, and has not stood still so shortly
    /// before that it may not have noticed the loss of others.
    bool reaches_most(core::time_point now) const
    {
        policy::pause_watch pauses = m_pauses;
        pauses.check(now);
        const bool is_settled = pauses.resumed_at() == core::time_point{} ||
                                now - pauses.resumed_at() >= detection_time;
        return is_settled && m_known > 0 && 2 * m_live > m_known;
    }

  private:
    std::size_t m_live = 0;
    std::size_t m_known = 0;
    policy::pause_watch m_pauses;
};

} // namespace snipeplank::serving

#endif
