/// @file
/// A node's share of a bound that applies to all nodes together.

#ifndef SNIPEPLANK_POLICY_NODE_SHARE_HPP
#define SNIPEPLANK_POLICY_NODE_SHARE_HPP

#include <algorithm>
#include <cstddef>

namespace snipeplank::policy
{

/// @brief How many nodes share a bound, as one of them knows it.
///
/// A node that may not know all others takes no share. The shares of the others add up to at most
/// the bound without it, and when all nodes have just started, none of them knows how small its
/// share is.
class node_share
{
  public:
    /// @brief No share.
    node_share() = default;

    /// @param nodes upper bound of the nodes that may be running, this one included
    explicit node_share(std::size_t nodes) : m_nodes(std::max<std::size_t>(1, nodes)) {}

    bool is_known() const { return m_nodes > 0; }

    /// @brief Number of nodes that share; 0 while it is not known.
    std::size_t nodes() const { return m_nodes; }

    /// @brief This node's part of the bound.
    double of(double bound) const { return is_known() ? bound / static_cast<double>(m_nodes) : 0; }

    friend bool operator==(const node_share&, const node_share&) = default;

  private:
    std::size_t m_nodes = 0;
};

} // namespace snipeplank::policy

#endif
