/// @file
/// Summaries of the other regions; they expire after 30 s.

#ifndef SNIPEPLANK_FLEET_REGION_TABLE_HPP
#define SNIPEPLANK_FLEET_REGION_TABLE_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/fleet/timing.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace snipeplank::fleet
{

/// @brief Newest known summary of each region. Not thread-safe.
///
/// A region without a valid summary counts as unknown and gets no calls.
class region_table
{
  public:
    /// @brief Stores a summary unless a newer one is known. O(log regions).
    void merge(const region_summary& received, core::time_point now);

    /// @brief Removes expired summaries. O(regions).
    void expire(core::time_point now);

    /// @brief The valid summary of `region` with its age, if any.
    std::optional<region_summary> summary_of(const core::region_id& region,
                                             core::time_point now) const;

    /// @brief Valid summaries with their ages. O(regions).
    std::vector<region_summary> summaries(core::time_point now) const;

    /// @brief Summaries to gossip within the region: least sent first, then newest.
    /// @param budget estimated bytes for all of them
    /// @param first_budget estimated bytes for the first one where that is more than `budget`, so
    /// that a large summary is never left out
    std::vector<region_summary> take(std::size_t budget, std::size_t first_budget,
                                     core::time_point now);

    /// @brief Summaries for a relay of another region, without a limit on repeated sends.
    /// @param except the receiver's region, which has newer data about itself
    std::vector<region_summary> take_for_exchange(std::size_t budget, const core::region_id& except,
                                                  core::time_point now);

  private:
    struct entry
    {
        region_summary summary;
        core::time_point computed_at;
        unsigned sent = 0;
        unsigned exchanged = 0;
    };

    static region_summary with_current_age(const entry& held, core::time_point now);
    static std::vector<region_summary> pick(std::vector<entry*> from, unsigned entry::*count,
                                            std::size_t budget, std::size_t first_budget,
                                            core::time_point now);

    std::map<core::region_id, entry> m_entries;
};

} // namespace snipeplank::fleet

#endif
