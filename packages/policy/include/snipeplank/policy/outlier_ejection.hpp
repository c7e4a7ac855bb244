/// @file
/// Temporary ejection of slow or failing upstreams.

#ifndef SNIPEPLANK_POLICY_OUTLIER_EJECTION_HPP
#define SNIPEPLANK_POLICY_OUTLIER_EJECTION_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <span>
#include <unordered_map>
#include <vector>

namespace snipeplank::policy
{

/// @brief Ejection state of the upstreams of one service in a region.
///
/// At most half of the upstreams that take work are ejected at a time: a fault of every upstream
/// is no outlier, and ejection must not leave a region without upstreams.
class outlier_ejection
{
  public:
    /// Consecutive failures that eject an upstream.
    static constexpr unsigned failures_to_eject = 4;
    /// An upstream this many times slower than the region's median is ejected.
    static constexpr double slow_factor = 4;
    /// Added to the threshold, because small differences between short delays are noise.
    static constexpr double slow_slack_ms = 100;
    static constexpr core::seconds initial_ejection_time{5};
    static constexpr core::seconds max_ejection_time{60};

    /// @brief Records a failed attempt. O(1).
    void on_failure(const core::address& upstream, core::time_point now);

    /// @brief Records an answered attempt. O(1).
    void on_success(const core::address& upstream, core::time_point now);

    /// @brief Compares an upstream's delay with the median of the others. O(1).
    /// @return whether it was ejected by this call
    bool on_delay(const core::address& upstream, double ms, double median_ms, core::time_point now);

    /// @brief Flags the upstreams that are ejected now, at most half of them. O(n log n).
    /// @param upstreams upstreams that take work, without leaving ones
    std::vector<bool> ejected(std::span<const core::address> upstreams, core::time_point now) const;

    /// @brief Whether an ejection of this upstream ended since the last call; true once. O(1).
    bool take_reinstatement(const core::address& upstream, core::time_point now);

    /// @brief Drops the state of an upstream.
    void forget(const core::address& upstream) { m_entries.erase(upstream); }

  private:
    struct entry
    {
        unsigned failures = 0;
        unsigned ejections = 0;
        core::time_point until{};
        bool is_reinstated = true;
    };

    void eject(entry& upstream, core::time_point now);

    std::unordered_map<core::address, entry> m_entries;
};

} // namespace snipeplank::policy

#endif
