/// @file
/// Server side of calls without a ticket between regions.

#ifndef SNIPEPLANK_GATEWAY_PEER_SERVER_HPP
#define SNIPEPLANK_GATEWAY_PEER_SERVER_HPP

#include <snipeplank/core/rcu_cell.hpp>
#include <snipeplank/gateway/call_service.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/wire_call.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace snipeplank::gateway
{

/// @brief Runs received calls on worker threads and sends their answers back in frames.
class peer_server
{
  public:
    struct parts
    {
        node_location self;
        wire::peer_network& network;
        const config_cell& config;
        call_service& calls;
        worker_pool& workers;
        decision_log& log;
        metrics& counters;
    };

    explicit peer_server(parts with) : m_parts(std::move(with)) {}

    /// @brief Queues a call from a peer. Never blocks.
    void on_call(const wire::peer_identity& from, wire::call received);

    /// @brief Cancels a call on behalf of the peer.
    void on_cancel(const core::node_id& from, core::call_number number);

    /// @brief Cancels all calls of this peer, as their answers can no longer be delivered.
    void on_connection_lost(const core::node_id& from);

    /// @brief Number of calls being served.
    std::size_t in_flight() const;

    /// @brief Refuses all further calls as not run, unless a call is being served.
    /// @return whether none is
    bool close_if_idle();

  private:
    using cancel_flag = std::shared_ptr<std::atomic<bool>>;
    using call_id = std::pair<core::node_id, core::call_number>;

    void serve(const wire::peer_identity& from, wire::call received, const cancel_flag& cancelled);
    void send_answer(const core::node_id& to, core::call_number number, running_answer& answer,
                     const cancel_flag& cancelled);
    void refuse(const core::node_id& to, core::call_number number, policy::refusal why);

    parts m_parts;
    mutable std::mutex m_mutex;
    std::map<call_id, cancel_flag> m_calls;
    bool m_is_closed = false;
};

} // namespace snipeplank::gateway

#endif
