/// @file
/// How long a node may take its configuration for the current one. Pure.

#ifndef SNIPEPLANK_SERVING_CONFIGURATION_LEASE_HPP
#define SNIPEPLANK_SERVING_CONFIGURATION_LEASE_HPP

#include <snipeplank/core/units.hpp>

#include <algorithm>
#include <optional>

namespace snipeplank::serving
{

/// @brief When the state of a kind was last confirmed to be the newest one.
///
/// A read of the store reflects every change that was confirmed before it was sent, so the answer
/// confirms the state as of the moment of asking. Another node that follows the store may
/// vouch: it tells how old its own confirmation is, and the age counts back from the moment at
/// which it was asked. All times are those of `host_time`.
class state_confirmation
{
  public:
    /// @brief Records that the store answered a read, and that the answer has been applied.
    void on_read(core::time_point asked_at) { confirm(asked_at); }

    /// @brief Records that another node's state has been applied.
    /// @param age of that node's confirmation; nothing if it has none
    void on_copied(core::time_point asked_at, std::optional<core::milliseconds> age)
    {
        if (age)
            confirm(asked_at - *age);
    }

    /// @brief Time since the state was confirmed; nothing if it never was.
    std::optional<core::milliseconds> age(core::time_point now) const
    {
        if (!m_at)
            return std::nullopt;
        // Rounded up: the age must not be too low at another node.
        return std::chrono::ceil<core::milliseconds>(std::max(now, *m_at) - *m_at);
    }

  private:
    void confirm(core::time_point at)
    {
        if (!m_at || *m_at < at)
            m_at = at;
    }

    std::optional<core::time_point> m_at;
};

/// @brief How long after its confirmation a configuration counts as the newest one.
struct lease_terms
{
    /// Nodes differ in the rate of their clocks, and a request takes time from its client.
    static constexpr core::milliseconds margin{100};

    bool is_strict = false;      ///< whether a confirmed configuration is needed at all
    core::milliseconds limit{0}; ///< from the confirmation of a change until it binds everywhere

    /// @brief Whether a configuration that was confirmed this long ago counts.
    bool allow(std::optional<core::milliseconds> age) const
    {
        return !is_strict || (age && *age + margin <= limit);
    }
};

} // namespace snipeplank::serving

#endif
