/// @file
/// Upstreams that were reported as leaving.

#ifndef SNIPEPLANK_POLICY_LEAVING_LIST_HPP
#define SNIPEPLANK_POLICY_LEAVING_LIST_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <unordered_map>

namespace snipeplank::policy
{

/// @brief Marks of leaving upstreams by address.
///
/// The platform's list is delayed and may arrive out of order, so a later list in which the address
/// is live does not end its mark. The mark ends after 60 s without a report of leaving.
class leaving_list
{
  public:
    static constexpr core::seconds mark_lifetime{60};

    /// @brief Marks an address as leaving. O(1).
    void mark(const core::address& upstream, core::time_point now);

    /// @brief Whether the address is marked, so that it gets no new work. O(1).
    bool is_leaving(const core::address& upstream, core::time_point now) const;

    /// @brief Removes marks that have ended. O(marks).
    void expire(core::time_point now);

  private:
    std::unordered_map<core::address, core::time_point> m_marked;
};

} // namespace snipeplank::policy

#endif
