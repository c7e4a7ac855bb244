/// @file
/// Whose turn it is to be told of loads. Pure.
///
/// It answers this load pattern: regions with many nodes, whose loads are used for a short time
/// only. Random choices would leave some nodes out for longer than that.

#ifndef SNIPEPLANK_SERVING_SRC_EXCHANGE_TURN_HPP
#define SNIPEPLANK_SERVING_SRC_EXCHANGE_TURN_HPP

#include <snipeplank/core/ids.hpp>

#include <algorithm>
#include <vector>

namespace snipeplank::serving
{

/// @brief Chooses some of many nodes at a time, each as often as any other.
class exchange_turn
{
  public:
    /// @param most nodes that are told at a time
    explicit exchange_turn(std::size_t most) : m_most(most) {}

    /// @brief The next nodes; all of them come up within `nodes.size() / most` calls, rounded up.
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
