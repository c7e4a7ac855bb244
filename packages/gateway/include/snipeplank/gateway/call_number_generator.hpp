/// @file
/// Numbers of the calls that this incarnation sends to peers.

#ifndef SNIPEPLANK_GATEWAY_CALL_NUMBER_GENERATOR_HPP
#define SNIPEPLANK_GATEWAY_CALL_NUMBER_GENERATOR_HPP

#include <snipeplank/core/ids.hpp>

#include <atomic>
#include <string>

namespace snipeplank::gateway
{

/// @brief Numbers that are never used twice within one incarnation. Thread-safe.
class call_numbers
{
  public:
    /// @brief The next number.
    core::call_number next()
    {
        return core::call_number{m_last.fetch_add(1, std::memory_order_relaxed) + 1};
    }

    /// @brief A request id that names the node and its incarnation.
    /// @param node the node where the caller sent the request, with its admin or caller address
    std::string next_request_id(const core::node_id& node);

  private:
    std::atomic<std::uint64_t> m_last{0};
};

} // namespace snipeplank::gateway

#endif
