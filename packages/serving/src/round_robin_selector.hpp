/// @file
/// Chooses the nodes that receive the next load report. Pure.
///
/// Load reports are valid for a short time only. In a region with many nodes, random selection
/// would leave some nodes without a valid report.

#ifndef SNIPEPLANK_SERVING_SRC_ROUND_ROBIN_SELECTOR_HPP
#define SNIPEPLANK_SERVING_SRC_ROUND_ROBIN_SELECTOR_HPP

#include <snipeplank/core/ids.hpp>

#include <algorithm>
#include <vector>

namespace snipeplank::serving
{

/// @brief Selects a few nodes at a time in turn, so that all are selected equally often.
class round_robin_selector
{
  public:
    /// @param max_nodes nodes selected per call
    explicit round_robin_selector(std::size_t max_nodes) : m_max_nodes(max_nodes) {}

    /// @brief The next nodes; each is selected within ceil(nodes.size() / max_nodes) calls.
    std::vector<core::address> next(const std::vector<core::address>& nodes)
    {
        std::vector<core::address> chosen;
        for (std::size_t i = 0; i < std::min(m_max_nodes, nodes.size()); ++i)
        {
            chosen.push_back(nodes[m_next++ % nodes.size()]);
        }
        return chosen;
    }

  private:
    std::size_t m_max_nodes;
    std::size_t m_next = 0;
};

} // namespace snipeplank::serving

#endif
