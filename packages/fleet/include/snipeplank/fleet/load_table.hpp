/// @file
/// Load of the region's upstreams, and which of them are leaving.
///
/// A report is valid for 10 s after its reading. That an upstream leaves is a fact that holds for
/// 60 s after any source last said so, whatever other sources say: the platform's list lags and
/// may be reversed.

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

/// @brief What a prober read from one upstream.
struct load_reading
{
    std::uint32_t running = 0; ///< requests
    std::uint32_t waiting = 0; ///< requests
    double cache_used = 0;     ///< part of the KV cache, 0 to 1

    friend bool operator==(const load_reading&, const load_reading&) = default;
};

/// @brief Table of reports and leaving facts by upstream key. Not thread-safe.
class load_table
{
  public:
    /// @brief Takes a reading made by this node. O(1).
    void report(std::uint64_t upstream, std::uint32_t prober, const load_reading& reading,
                core::time_point now);

    /// @brief Takes a report of another node; an older one than known is ignored. O(1).
    void merge(const upstream_load& received, core::time_point now);

    /// @brief A source says that the upstream is leaving.
    /// @return whether this is news
    bool report_leaving(std::uint64_t upstream, core::time_point now);

    /// @brief Takes a leaving fact of another node.
    /// @return whether this is news
    bool merge_leaving(const upstream_leaving& received, core::time_point now);

    /// @brief Drops reports and facts whose time is over. O(entries).
    void expire(core::time_point now);

    /// @brief The valid report of an upstream, or nothing. O(1).
    std::optional<load_reading> load_of(std::uint64_t upstream, core::time_point now) const;

    /// @brief When the valid report of an upstream was read, on this node's clock, or nothing.
    /// O(1).
    std::optional<core::time_point> read_at(std::uint64_t upstream, core::time_point now) const;

    /// @brief Whether the upstream gets no new work. O(1).
    bool is_leaving(std::uint64_t upstream, core::time_point now) const;

    std::vector<std::uint64_t> leaving(core::time_point now) const;

    /// @brief Number of valid reports. O(entries).
    std::size_t valid_reports(core::time_point now) const;

    /// @brief Reports to send in at most `budget` bytes: least sent first, then newest.
    std::vector<upstream_load> take_loads(std::size_t budget, core::time_point now);

    /// @brief Leaving facts to send in at most `budget` bytes, in the same order.
    std::vector<upstream_leaving> take_leaving(std::size_t budget, core::time_point now);

  private:
    struct load_entry
    {
        upstream_load report;
        core::time_point read_at;
        upstream_load spread; ///< what gossip carries; a prober's own readings are newer
        core::time_point spread_read_at;
        unsigned sent = 0;
    };

    struct leaving_entry
    {
        core::time_point said_at;
        unsigned sent = 0;
    };

    std::unordered_map<std::uint64_t, load_entry> m_loads;
    std::unordered_map<std::uint64_t, leaving_entry> m_leaving;
    std::uint32_t m_sequence = 0;
};

} // namespace snipeplank::fleet

#endif
