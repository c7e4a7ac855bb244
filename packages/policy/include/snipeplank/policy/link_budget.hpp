/// @file
/// This node's part of the wide-area link to one region.

#ifndef SNIPEPLANK_POLICY_LINK_BUDGET_HPP
#define SNIPEPLANK_POLICY_LINK_BUDGET_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/token_bucket.hpp>

#include <cstddef>

namespace snipeplank::policy
{

/// @brief Byte budget of a link, shared by forwarded calls, weights and KV cache.
///
/// A node's part is the link divided by the live nodes, so no message is needed to agree on it.
/// Forwarded calls are further held to their configured share. Both buckets hold one second.
class link_budget
{
  public:
    /// @brief Sets the node's part.
    /// @param rate of the whole link
    /// @param spill_share part of the rate that forwarded calls may use
    /// @param live_nodes nodes that share the link; 0 counts as 1
    /// @param instance_share part of the node's budget that this instance may use
    void resize(core::bytes_per_second rate, double spill_share, std::size_t live_nodes,
                double instance_share);

    /// @brief Whether a forwarded call of this size fits now.
    bool has_for_spill(core::bytes size, core::time_point now);

    /// @brief Takes a forwarded call's bytes, or nothing.
    bool take_for_spill(core::bytes size, core::time_point now);

    /// @brief Takes bytes for weights or KV cache, or nothing.
    bool take_for_transfer(core::bytes size, core::time_point now);

  private:
    bool m_is_sized = false;
    token_bucket m_total;
    token_bucket m_spill;
};

} // namespace snipeplank::policy

#endif
