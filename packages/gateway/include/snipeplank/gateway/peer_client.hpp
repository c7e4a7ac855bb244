/// @file
/// Client side of calls without a ticket between regions.

#ifndef SNIPEPLANK_GATEWAY_PEER_CLIENT_HPP
#define SNIPEPLANK_GATEWAY_PEER_CLIENT_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/gateway/call_number_generator.hpp>
#include <snipeplank/gateway/fleet_view.hpp>
#include <snipeplank/gateway/region_client.hpp>
#include <snipeplank/gateway/wire_call.hpp>
#include <snipeplank/policy/answer_assembly.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace snipeplank::gateway
{

/// @brief Sends calls to nodes of other regions and feeds their answers into streams.
///
/// The message functions run on the network's I/O thread and never block.
class peer_client final : public region_client
{
  public:
    peer_client(node_location self, wire::peer_network& network, const fleet_view_cell& view,
                call_number_generator& numbers);

    void start(const call& request, const core::region_id& region,
               const std::vector<core::zone_id>& zones,
               std::shared_ptr<answer_stream> answer) override;

    /// @name Messages of the serving peer. Each returns false when the call is unknown.
    /// @{
    bool on_head(const wire::peer_identity& from, const wire::call_head& head);
    bool on_chunk(const wire::peer_identity& from, const wire::call_chunk& chunk);
    bool on_end(const wire::peer_identity& from, const wire::call_end& end);
    bool on_refused(const wire::peer_identity& from, const wire::call_refused& refused);
    /// @}

    /// @brief Fails every call that this peer was serving; they may have been executed.
    void on_connection_lost(const core::address& peer);

    /// @brief Fails every call to this peer as not sent: no byte reached a socket.
    void on_unreachable(const core::address& peer);

  private:
    struct remote_call
    {
        core::address peer;
        core::milliseconds remaining{0};
        std::shared_ptr<answer_stream> answer;
        policy::answer_assembly assembly;
    };

    using call_map = std::unordered_map<core::call_number, std::shared_ptr<remote_call>>;

    std::shared_ptr<remote_call> find(const wire::peer_identity& from, core::call_number number);
    void remove_call(core::call_number number);
    void cancel(core::call_number number, const core::address& peer);
    void fail_calls(const core::address& peer, bool may_have_been_sent);
    core::address choose_peer(const core::region_id& region,
                              const std::vector<core::zone_id>& zones);
    void abort_call(core::call_number number, remote_call& broken, const std::string& why);

    node_location m_self;
    wire::peer_network& m_network;
    const fleet_view_cell& m_view;
    call_number_generator& m_numbers;
    std::mutex m_mutex;
    call_map m_calls;
    std::shared_ptr<offered_bytes> m_offered = std::make_shared<offered_bytes>();
    core::seeded_random m_random;
};

} // namespace snipeplank::gateway

#endif
