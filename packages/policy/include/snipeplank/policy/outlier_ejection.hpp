/// @file
/// Temporary removal of slow or failing upstreams.

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
/// A fault that hits every upstream is not an outlier: at most half of the upstreams that take
/// work are ejected at a time, so an ejection never empties a region.
class outlier_ejection
{
  public:
    /// Failures in a row that eject.
    static constexpr unsigned failures_to_eject = 4;
    /// An upstream this many times slower than the region's median is ejected.
    static constexpr double slow_factor = 4;
    /// Differences below this are noise at short delays.
    static constexpr double slow_slack_ms = 100;
    static constexpr core::seconds first_time{5};
    static constexpr core::seconds longest_time{60};

    /// @brief An attempt failed. O(1).
    void on_failure(const core::address& upstream, core::time_point now);

    /// @brief An attempt was answered. O(1).
    void on_success(const core::address& upstream, core::time_point now);

    /// @brief Compares an upstream's delay with the median of the others. O(1).
    /// @return whether it was ejected by this call
    bool on_delay(const core::address& upstream, double ms, double median_ms, core::time_point now);

    /// @brief Which of these upstreams are ejected now: at most half of them. O(n log n).
    /// @param upstreams those that take work; leaving ones are not among them
    std::vector<bool> ejected(std::span<const core::address> upstreams, core::time_point now) const;

    /// @brief Whether an ejection of this upstream ended since the last call. O(1).
    bool take_return(const core::address& upstream, core::time_point now);

    /// @brief Forgets an upstream.
    void forget(const core::address& upstream) { m_entries.erase(upstream); }

  private:
    struct entry
    {
        unsigned failures = 0;
        unsigned ejections = 0;
        core::time_point until{};
        bool has_returned = true;
    };

    void eject(entry& upstream, core::time_point now);

    std::unordered_map<core::address, entry> m_entries;
};

} // namespace snipeplank::policy

#endif
