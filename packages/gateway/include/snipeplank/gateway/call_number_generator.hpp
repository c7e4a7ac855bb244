/// @file
/// Generator of call numbers and request ids.

#ifndef SNIPEPLANK_GATEWAY_CALL_NUMBER_GENERATOR_HPP
#define SNIPEPLANK_GATEWAY_CALL_NUMBER_GENERATOR_HPP

#include <snipeplank/core/ids.hpp>

#include <atomic>
#include <string>

namespace snipeplank::gateway
{

/// @brief Generates numbers that are unique within one incarnation. Thread-safe.
class call_number_generator
{
  public:
    /// @brief Returns the next number.
    core::call_number next()
    {
        return core::call_number{m_last.fetch_add(1, std::memory_order_relaxed) + 1};
    }

    /// @brief Returns a request id that contains the node and its incarnation.
    /// @param node the node that received the request, with its admin or caller address
    std::string next_request_id(const core::node_id& node);

  private:
    std::atomic<std::uint64_t> m_last{0};
};

} // namespace snipeplank::gateway

#endif
