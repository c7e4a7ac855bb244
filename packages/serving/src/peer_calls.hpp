/// @file
/// Calls between nodes of different regions, on the event loop.

#ifndef SNIPEPLANK_SERVING_SRC_PEER_CALLS_HPP
#define SNIPEPLANK_SERVING_SRC_PEER_CALLS_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/answer_assembly.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "call.hpp"
#include "held_answers.hpp"

namespace snipeplank::serving
{

/// @brief A node that accepts calls for its region.
struct region_node
{
    core::address peer;
    core::region_id region;
};

class peer_attempt;

/// @brief What calls between regions may hold of the memory of a node.
struct peer_call_limits
{
    std::shared_ptr<held_answers> answers = std::make_shared<held_answers>();
    core::bytes served_bodies{67'108'864}; ///< of all calls of other nodes that are served
};

/// @brief Sends calls to nodes of other regions and serves theirs. Used on the event loop only.
class peer_calls final : public region_caller
{
  public:
    /// @param network outlives the object
    /// @param self this node
    peer_calls(boost::asio::io_context& loop, wire::peer_network& network, wire::hop self,
               core::random_source& random, peer_call_limits limits = {});
    ~peer_calls() override;

    /// @brief Serves a request of another node; owns the exchange.
    using server_function =
        std::function<void(std::unique_ptr<http::exchange>, forwarded_from from)>;
    void set_server(server_function server) { m_server = std::move(server); }

    /// @brief Sets the nodes that answer, of all regions.
    void set_nodes(std::vector<region_node> nodes) { m_nodes = std::move(nodes); }

    std::unique_ptr<attempt> call(const core::region_id& region, const http::request_head& request,
                                  const std::string& body,
                                  const forwarding_options& options) override;

    /// @brief Handles a message of another node; messages that belong to no call are ignored.
    void on_message(const wire::peer_identity& from, const wire::message& received);

    /// @brief Records the connection that carries a pending call and its answer.
    void on_call_sent(core::call_number number, wire::connection_number by);

    /// @brief Fails the pending calls on a lost connection, and cancels the served ones that came
    /// by it.
    void on_connection_lost(wire::connection_number lost);

    /// @brief Fails a pending call as not sent: its message was dropped before any byte of it
    /// reached a socket.
    void on_call_dropped(const core::address& peer, core::call_number number,
                         wire::drop_cause cause);

    /// @brief Number of calls of other nodes that are being served.
    std::size_t served() const { return m_served.size(); }

  private:
    friend class peer_attempt;
    class served_exchange;

    void serve(const wire::peer_identity& from, const wire::call& received);
    void forget_served(const policy::call_key& key) { m_served.erase(key); }
    bool has_room_for(std::size_t body) const;

    boost::asio::io_context& m_loop;
    wire::peer_network& m_network;
    wire::hop m_self;
    core::random_source& m_random;
    peer_call_limits m_limits;
    std::size_t m_served_body_bytes = 0;
    std::vector<region_node> m_nodes;
    std::map<core::call_number, peer_attempt*> m_pending;
    std::map<policy::call_key, served_exchange*> m_served;
    server_function m_server;
    std::uint64_t m_last_number = 0;
};

} // namespace snipeplank::serving

#endif
