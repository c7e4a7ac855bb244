/// @file
/// Regions in which a request may be served: the homes of its route and of its client account.
/// Pure.

#ifndef SNIPEPLANK_SERVING_HOME_REGIONS_HPP
#define SNIPEPLANK_SERVING_HOME_REGIONS_HPP

#include <snipeplank/core/ids.hpp>

#include <optional>
#include <set>
#include <vector>

namespace snipeplank::serving
{

struct route;
struct client_account;

/// @brief A set of regions: all of them, until it is restricted.
class home_regions
{
  public:
    /// @brief Every region.
    home_regions() = default;

    /// @brief The homes of a request.
    /// @param account null: none
    home_regions(const route& chosen, const client_account* account);

    /// @brief Keeps only the regions that are listed too; an empty list restricts nothing.
    void restrict_to(const std::vector<core::region_id>& listed);

    /// @brief Keeps only the regions that another set has too.
    void restrict_to(const home_regions& other);

    /// @brief Whether the set has a region. O(log regions).
    bool contains(const core::region_id& region) const;

    /// @brief Whether some regions are excluded by name.
    bool is_restricted() const { return m_regions.has_value(); }

    /// @brief The regions of a restricted set, which may be none; nothing: every region.
    const std::optional<std::set<core::region_id>>& regions() const { return m_regions; }

  private:
    std::optional<std::set<core::region_id>> m_regions;
};

} // namespace snipeplank::serving

#endif
