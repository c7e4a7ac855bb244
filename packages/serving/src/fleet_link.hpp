/// @file
/// Connection of this node to the other nodes: membership, load reports and call messages.

#ifndef SNIPEPLANK_SERVING_SRC_FLEET_LINK_HPP
#define SNIPEPLANK_SERVING_SRC_FLEET_LINK_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/fleet/membership.hpp>
#include <snipeplank/serving/node.hpp>
#include <snipeplank/serving/placement.hpp>
#include <snipeplank/serving/state_kind.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "entry_points.hpp"
#include "node_count_estimate.hpp"
#include "peer_reachability.hpp"
#include "round_robin_selector.hpp"

namespace snipeplank::serving
{

/// Nodes of the own region that receive each load report. A report is valid for 2 s; with 6 nodes
/// per exchange each of 39 others receives one in that time.
constexpr std::size_t local_fanout = 6;
/// Shortest time between two messages with evidence outside the load reports.
constexpr core::milliseconds min_evidence_interval{50};
/// Nodes of other regions that receive each region summary. Any node of this region reports it, so
/// fewer suffice.
constexpr std::size_t remote_fanout = 4;

/// @brief Interface of the node to its fleet link; called on the event loop.
class fleet_listener
{
  public:
    virtual ~fleet_listener() = default;

    /// @brief The members, or how they share bounds, have changed.
    virtual void on_members_changed() = 0;
    virtual void on_call_message(const wire::peer_identity& from, const wire::message& what) = 0;

    /// @brief A connection was lost, and with it the calls on it.
    virtual void on_connection_lost(wire::connection_number lost) = 0;

    /// @brief No connection to the node is left.
    virtual void on_peer_lost(const core::address& peer) = 0;

    virtual void on_call_sent(core::call_number number, wire::connection_number by) = 0;
    virtual void on_call_dropped(const core::address& peer, core::call_number number,
                                 wire::drop_cause cause) = 0;
    virtual void on_peer_loads(const fleet::gossip& received) = 0;
    virtual void on_evidence(const fleet::gossip& received) = 0;

    /// @brief Another node tells, or asks for, the origins of streams.
    virtual void on_stream_origins(const fleet::gossip& received) = 0;

    virtual std::vector<fleet::upstream_load> own_loads() = 0;

    /// @brief Adds what this node knows of requests that crash upstreams, and of what upstreams say
    /// of themselves.
    /// @return whether there was anything
    virtual bool add_evidence(fleet::gossip& message) = 0;

    virtual fleet::region_summary own_region() = 0;

    /// @brief Version of the configuration in force; 0 while there is none.
    virtual core::config_version version_in_force() const = 0;

    /// @brief The newest change of a kind of published state that this node knows.
    virtual fleet::state_change newest_change(state_kind kind) const = 0;

    /// @brief Another node has named the newest changes that it knows.
    virtual void on_state_told(const fleet::gossip& received) = 0;
};

/// @brief Member of the one membership group of all nodes of all regions.
///
/// The cost of the membership protocol per node is independent of the size of the group.
class fleet_link final : public wire::peer_handler
{
  public:
    /// @param network connections to the other nodes, not started
    fleet_link(boost::asio::io_context& loop, const node_options& options,
               core::random_source& random, fleet_listener& listener,
               std::unique_ptr<wire::peer_network> network);
    ~fleet_link() override;
    fleet_link(const fleet_link&) = delete;
    fleet_link& operator=(const fleet_link&) = delete;

    core::result<void> start();

    /// @brief Replaces the seed addresses.
    void set_seeds(std::vector<core::address> seeds);

    /// @brief Announces to all nodes that this one can serve.
    void announce_ready();

    /// @brief Announces to all nodes that this one is stopping.
    void begin_leaving();

    /// @brief Tells a few nodes of each kind at once, ahead of the next load report, what
    /// `fleet_listener::add_evidence` adds; at most once in `min_evidence_interval`.
    void send_evidence();

    /// @brief Tells a few nodes of each kind at once which changes of the published state this one
    /// knows, so that they need not wait for their turn to read it.
    void announce_state();

    /// @brief Sends origins of streams, and questions for them, to a node.
    void send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                      std::vector<fleet::stream_origin> wanted);

    void stop();

    /// @brief Nodes that answer, have a configuration and are not stopping; this one included.
    std::vector<live_node> live_nodes() const;

    /// @brief Whether this node has just started and knows no other node of the region, in any
    /// state.
    bool may_not_know(const core::region_id& region) const;

    /// @brief Caller addresses of a region's nodes that began to stop at most `age` ago.
    std::vector<core::address> stopping_nodes(const core::region_id& region,
                                              core::milliseconds age) const;

    /// @brief The newest version of the configuration that another node has named.
    core::config_version newest_told() const { return m_newest_told; }

    /// @brief Nodes that share bounds with this one. O(nodes).
    sharing_nodes sharing() const;

    wire::peer_network& network() { return *m_network; }
    core::incarnation incarnation() const { return m_self.incarnation; }

    void on_message(const wire::peer_identity& from, wire::message received) override;
    void on_messages(const wire::peer_identity& from, std::vector<wire::message> received) override;
    void on_connection_lost(const wire::peer_identity& peer) override;
    void on_peer_lost(const wire::peer_identity& peer) override;
    void on_call_sent(const wire::peer_identity& to, core::call_number number) override;
    void on_unreachable(const core::address& peer) override;
    void on_call_dropped(const core::address& to, core::call_number number,
                         wire::drop_cause cause) override;

  private:
    /// Addresses of other nodes that can serve.
    struct node_addresses
    {
        std::vector<core::address> local; ///< of the own region
        std::vector<core::address> remote;
    };

    void tick();
    void schedule_tick();
    void handle_gossip(const fleet::gossip& received);
    void handle_message(const wire::peer_identity& from, const wire::message& received);
    void record_readiness(const fleet::gossip& received);
    void probe_unreachable(core::time_point now);
    void record_received(const core::address& peer);
    void send_probes();
    void send_members(const core::address& to);
    void send_to_few(const fleet::gossip& body);
    void announce_to_members();
    void exchange_loads();
    node_addresses live_peers() const;
    void send_gossip(const core::address& to, fleet::gossip body);
    fleet::gossip compose(fleet::gossip_kind kind) const;
    void record_members(core::time_point now);
    void publish_soon();
    void publish_members(core::time_point now);
    bool has_changed_share(core::time_point now) const;
    std::vector<core::address> senders() const;
    policy::node_share share_of_quotas(core::time_point now) const;
    core::region_id region_of(const core::zone_id& zone) const;

    boost::asio::io_context& m_loop;
    const node_options& m_options;
    fleet_listener& m_listener;
    core::node_id m_self;
    fleet::membership m_members;
    std::unique_ptr<wire::peer_network> m_network;
    boost::asio::steady_timer m_timer;
    std::vector<core::address> m_seeds;
    peer_reachability m_reachability;
    std::set<core::address> m_unready; ///< reported that they have no configuration
    core::config_version m_newest_told;
    std::set<core::node_id> m_announced_to;
    node_count_estimate m_node_count;
    core::time_point m_next_record{};
    core::time_point m_published_at{};
    bool m_has_unpublished = false;
    policy::node_share m_published_fleet_share;
    policy::node_share m_published_region_share;
    policy::node_share m_published_quota_share;
    std::size_t m_published_in_region = 0;
    std::map<core::node_id, core::time_point> m_stopping_since;
    core::time_point m_next_exchange{};
    round_robin_selector m_local_selector{local_fanout};
    round_robin_selector m_remote_selector{remote_fanout};
    round_robin_selector m_local_evidence_selector{local_fanout};
    round_robin_selector m_remote_evidence_selector{remote_fanout};
    core::time_point m_evidence_sent{};
    core::time_point m_leaving_since{};
    core::time_point m_last_tick{};
    bool m_is_leaving = false;
};

} // namespace snipeplank::serving

#endif
