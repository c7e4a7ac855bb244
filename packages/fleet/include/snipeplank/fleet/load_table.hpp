/// @file
/// Load reports of the region's upstreams, and which upstreams are leaving.
///
/// A report is valid for 10 s after it was sampled. An upstream counts as leaving for 60 s after
/// any source last reported it, whatever other sources report: the platform's list lags and may be
/// reversed.

#ifndef SNIPEPLANK_FLEET_LOAD_TABLE_HPP
#define SNIPEPLANK_FLEET_LOAD_TABLE_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/fleet/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace snipeplank::fleet
{

/// @brief Load that a prober read from one upstream.
struct load_sample
{
    std::uint32_t running = 0; ///< requests
    std::uint32_t waiting = 0; ///< requests
    double cache_used = 0;     ///< used fraction of the KV cache, 0 to 1

    friend bool operator==(const load_sample&, const load_sample&) = default;
};

/// @brief Load reports and leaving facts by upstream key. Not thread-safe.
class load_table
{
  public:
    /// @brief Stores a sample that this node has taken. O(1).
    void report(std::uint64_t upstream, std::uint32_t prober, const load_sample& sample,
                core::time_point now);

    /// @brief Stores a report of another node unless a newer one is known. O(1).
    void merge(const upstream_load& received, core::time_point now);

    /// @brief Records that a source reports the upstream as leaving.
    /// @return whether this was not known before
    bool report_leaving(std::uint64_t upstream, core::time_point now);

    /// @brief Stores a leaving fact of another node.
    /// @return whether this was not known before
    bool merge_leaving(const upstream_leaving& received, core::time_point now);

    /// @brief Removes expired reports and facts. O(entries).
    void expire(core::time_point now);

    /// @brief The valid report of an upstream, if any. O(1).
    std::optional<load_sample> load_of(std::uint64_t upstream, core::time_point now) const;

    /// @brief When the valid report of an upstream was sampled, on this node's clock, if there is
    /// one. O(1).
    std::optional<core::time_point> sampled_at(std::uint64_t upstream, core::time_point now) const;

    /// @brief Whether the upstream is leaving and gets no new work. O(1).
    bool is_leaving(std::uint64_t upstream, core::time_point now) const;

    std::vector<std::uint64_t> leaving(core::time_point now) const;

    /// @brief Number of valid reports. O(entries).
    std::size_t valid_reports(core::time_point now) const;

    /// @brief Reports to gossip, at most `budget` bytes: least sent first, then newest.
    std::vector<upstream_load> take_loads(std::size_t budget, core::time_point now);

    /// @brief Leaving facts to gossip, at most `budget` bytes, in the same order.
    std::vector<upstream_leaving> take_leaving(std::size_t budget, core::time_point now);

  private:
    struct load_entry
    {
        upstream_load report;
        core::time_point sampled_at;
        upstream_load gossiped; ///< report sent by gossip; a prober's own samples are newer
        core::time_point gossiped_sampled_at;
        unsigned sent = 0;
    };

    struct leaving_entry
    {
        core::time_point reported_at;
        unsigned sent = 0;
    };

    std::unordered_map<std::uint64_t, load_entry> m_loads;
    std::unordered_map<std::uint64_t, leaving_entry> m_leaving;
    std::uint32_t m_sequence = 0;
};

} // namespace snipeplank::fleet

#endif
