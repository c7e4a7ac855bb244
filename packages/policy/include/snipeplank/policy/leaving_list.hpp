/// @file
/// Upstreams that some source called leaving.

#ifndef SNIPEPLANK_POLICY_LEAVING_LIST_HPP
#define SNIPEPLANK_POLICY_LEAVING_LIST_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <unordered_map>

namespace snipeplank::policy
{

/// @brief Remembers leaving upstreams by address.
///
/// The platform's list lags and may arrive out of order, so a later list that calls the address
/// live does not end the mark; only 60 s without any source calling it leaving does.
class leaving_list
{
  public:
    static constexpr core::seconds hold{60};

    /// @brief A source calls the address leaving. O(1).
    void mark(const core::address& upstream, core::time_point now);

    /// @brief Whether the address gets no new work. O(1).
    bool is_leaving(const core::address& upstream, core::time_point now) const;

    /// @brief Forgets marks that have run out. O(marks).
    void expire(core::time_point now);

  private:
    std::unordered_map<core::address, core::time_point> m_marked;
};

} // namespace snipeplank::policy

#endif
