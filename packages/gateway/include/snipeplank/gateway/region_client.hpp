/// @file
/// Interface for calls to other regions.

#ifndef SNIPEPLANK_GATEWAY_REGION_CLIENT_HPP
#define SNIPEPLANK_GATEWAY_REGION_CLIENT_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/gateway/answer_stream.hpp>
#include <snipeplank/gateway/call.hpp>

#include <memory>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Sends calls to nodes of other regions.
class region_client
{
  public:
    virtual ~region_client() = default;

    /// @brief Starts the call at a node of `region` in one of `zones` and returns at once.
    ///
    /// `answer` receives the answer, a refusal or a failure; cancelling it sends a cancellation to
    /// the peer.
    virtual void start(const call& request, const core::region_id& region,
                       const std::vector<core::zone_id>& zones,
                       std::shared_ptr<answer_stream> answer) = 0;
};

} // namespace snipeplank::gateway

#endif
