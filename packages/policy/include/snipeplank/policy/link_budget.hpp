/// @file
/// This node's share of the wide-area link to another region.

#ifndef SNIPEPLANK_POLICY_LINK_BUDGET_HPP
#define SNIPEPLANK_POLICY_LINK_BUDGET_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/token_bucket.hpp>

#include <cstddef>

namespace snipeplank::policy
{

/// @brief Byte budget of a link, shared by forwarded calls, weights and KV cache.
///
/// A node's share is the link's rate divided by the number of live nodes, so the nodes need not
/// negotiate. Forwarded calls are also limited to their configured share of it. Each bucket has a
/// capacity of one second at its rate.
class link_budget
{
  public:
    /// @brief Sets the node's share.
    /// @param rate rate of the whole link
    /// @param spill_share fraction of the rate that forwarded calls may use
    /// @param live_nodes nodes that share the link; 0 counts as 1
    /// @param instance_share fraction of the node's share that this instance may use
    void resize(core::bytes_per_second rate, double spill_share, std::size_t live_nodes,
                double instance_share);

    /// @brief Whether a forwarded call of this size fits the budget now.
    bool has_for_spill(core::bytes size, core::time_point now);

    /// @brief Takes the bytes of a forwarded call if they fit.
    bool take_for_spill(core::bytes size, core::time_point now);

    /// @brief Takes bytes for weights or KV cache if they fit.
    bool take_for_transfer(core::bytes size, core::time_point now);

  private:
    bool m_is_sized = false;
    token_bucket m_total;
    token_bucket m_spill;
};

} // namespace snipeplank::policy

#endif
