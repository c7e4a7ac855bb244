/// @file
/// Chooses the nodes that receive the next load report. Pure.
///
/// Load reports are valid for a short time only. In a region with many nodes, random selection
/// would leave some nodes without a valid report.

#ifndef SNIPEPLANK_SERVING_SRC_EXCHANGE_TURN_HPP
#define SNIPEPLANK_SERVING_SRC_EXCHANGE_TURN_HPP

#include <snipeplank/core/ids.hpp>

#include <algorithm>
#include <vector>

namespace snipeplank::serving
{

/// @brief Selects a few nodes at a time in turn, so that all are selected equally often.
class exchange_turn
{
  public:
    /// @param most nodes selected per call
    explicit exchange_turn(std::size_t most) : m_most(most) {}

    /// @brief The next nodes; each one is selected within `nodes.size() / most` calls, rounded up.
    std::vector<core::address> next(const std::vector<core::address>& nodes)
    {
        std::vector<core::address> chosen;
        for (std::size_t i = 0; i < std::min(m_most, nodes.size()); ++i)
        {
            chosen.push_back(nodes[m_next++ % nodes.size()]);
        }
        return chosen;
    }

  private:
    std::size_t m_most;
    std::size_t m_next = 0;
};

} // namespace snipeplank::serving

#endif
