/// @file
/// The nodes that a call has passed, for loop prevention.

#ifndef SNIPEPLANK_POLICY_CALL_PATH_HPP
#define SNIPEPLANK_POLICY_CALL_PATH_HPP

#include <snipeplank/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::policy
{

/// @brief One node that a call has passed.
struct path_hop
{
    core::region_id region;
    core::zone_id zone;
    core::address node;

    friend bool operator==(const path_hop&, const path_hop&) = default;
};

/// @brief Hops of a call in order, entry node first.
///
/// A well-formed path leaves its region at most once and never returns to an availability zone or
/// node it left. Text form: `region/zone/node` joined by `>`.
/// @code
/// call_path path = received.with(self);
/// bool allowed = path.may_enter(target_region, target_zone);
/// @endcode
class call_path
{
  public:
    /// A call crosses at most one region border and a few zones, so a longer path is not genuine.
    static constexpr std::size_t max_hops = 8;

    call_path() = default;

    /// @brief Parses the text form. Empty text is the empty path.
    /// @return nothing when the text is malformed or describes a path that breaks the rules
    static std::optional<call_path> parse(std::string_view text);

    /// @brief The text form.
    std::string to_string() const;

    /// @brief Returns a copy with one more hop, which must satisfy `may_add`.
    call_path with(const path_hop& hop) const;

    /// @brief Whether adding this hop keeps the path well-formed. O(hops).
    bool may_add(const path_hop& hop) const;

    /// @brief Whether the call may be forwarded to a zone of a region. O(hops).
    bool may_enter(const core::region_id& region, const core::zone_id& zone) const;

    /// @brief Whether the call has crossed a region border.
    bool has_left_region() const;

    /// @brief Whether the call may still be forwarded to another region.
    bool may_leave_region() const { return !has_left_region() && m_hops.size() < max_hops; }

    const std::vector<path_hop>& hops() const { return m_hops; }
    bool empty() const { return m_hops.empty(); }

    friend bool operator==(const call_path&, const call_path&) = default;

  private:
    std::vector<path_hop> m_hops;
};

/// @brief Whether a path received from a peer is consistent with its sender and this node.
/// @param path the received path
/// @param sender the authenticated peer; the path must end with it
/// @param self this node; adding it must keep the path well-formed
bool is_plausible(const call_path& path, const path_hop& sender, const path_hop& self);

} // namespace snipeplank::policy

#endif
