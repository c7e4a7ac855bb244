/// @file
/// Facade over membership, load, region summaries, configuration and roles of one node.
///
/// A driver passes events with the time at which it handles them and performs the returned actions
/// in order. It calls `on_tick` at least every `tick_interval`. A gap between two events that is
/// longer than `pause_threshold` means that the process was paused.

#ifndef SNIPEPLANK_FLEET_NODE_FLEET_HPP
#define SNIPEPLANK_FLEET_NODE_FLEET_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/fleet/actions.hpp>
#include <snipeplank/fleet/config_store.hpp>
#include <snipeplank/fleet/host_list.hpp>
#include <snipeplank/fleet/load_table.hpp>
#include <snipeplank/fleet/membership.hpp>
#include <snipeplank/fleet/region_table.hpp>
#include <snipeplank/fleet/roles.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeplank::fleet
{

/// @brief Number of entry points in a summary, for a fleet with this many other regions.
///
/// A summary of a large fleet has one entry point, a random one each time, to limit the bytes per
/// second; that of a small fleet has more, so that a caller can choose.
std::size_t summary_entry_points(std::size_t other_regions);

/// @brief Identity and location of this node.
struct node_fleet_settings
{
    core::node_id self; ///< peer address and incarnation
    core::address caller_address;
    core::region_id region;
    core::zone_id zone;
};

/// @brief Membership, loads, summaries, configuration and roles of one node. Not thread-safe.
///
/// @code
/// node_fleet fleet{settings, documents, random};
/// perform(fleet.start(now));
/// perform(fleet.on_message(from, message, now));
/// @endcode
class node_fleet
{
  public:
    /// @param random must outlive the object
    node_fleet(node_fleet_settings settings, config_documents documents,
               core::random_source& random);

    action_list start(core::time_point now);
    action_list on_tick(core::time_point now);

    /// @param from peer address of the sender, as authenticated by the connection
    action_list on_message(const core::address& from, const message& received,
                           core::time_point now);

    action_list on_host_list(const host_list& list, core::time_point now);
    action_list on_service_manifest(const std::string& text, core::time_point now);

    /// @brief A manifest read failed or timed out.
    action_list on_service_failure(core::time_point now);

    action_list on_section(const std::string& text, core::time_point now);

    /// @brief Handles a load sample of an upstream that this node probes.
    action_list report_load(const core::address& upstream, const load_sample& sample,
                            core::time_point now);

    /// @brief Handles the report of any source that an upstream is leaving.
    action_list report_upstream_leaving(const core::address& upstream, core::time_point now);

    /// @brief Marks this incarnation as leaving, which is final; it answers peers until the process
    /// ends.
    action_list begin_leaving(core::time_point now);

    /// @brief This node's own entry; the incarnation changes after a renewal.
    const member_update& self() const { return m_members.self(); }

    /// @brief Known members without this node: alive, suspected and leaving.
    std::vector<member_update> members() const { return m_members.members(); }
    std::vector<member_update> live_members() const;
    std::vector<member_update> suspected_members() const;

    /// @brief Whether most members are silent, so that this node suspects its own link.
    bool link_suspected() const { return m_members.link_suspected(); }

    const role_set& roles() const { return m_roles; }

    /// @brief The digest in force; version 0 when none is.
    const config_digest& version_in_force() const { return m_config.in_force(); }
    std::shared_ptr<const settings::published_config> config() const { return m_config.config(); }

    /// @brief Caller addresses of the region's nodes that accept requests, this node first.
    std::vector<core::address> entry_points() const;

    bool is_upstream_leaving(const core::address& upstream, core::time_point now) const;
    std::vector<core::address> leaving_upstreams(core::time_point now) const;
    std::optional<load_sample> load_of(const core::address& upstream, core::time_point now) const;

    /// @brief When the upstream's valid report was sampled, if there is one.
    std::optional<core::time_point> load_sampled_at(const core::address& upstream,
                                                    core::time_point now) const;

    /// @brief Valid summaries of the other regions.
    std::vector<region_summary> region_summaries(core::time_point now) const;

    /// @brief Whether this node accepts requests: it has a configuration and is not leaving.
    bool is_ready() const;

  private:
    struct upstream_info
    {
        core::address address;
        core::service_id service;
    };

    void detect_pause(core::time_point now);
    action_list collect_actions(core::time_point now);
    void on_gossip(const core::address& from, const gossip& received, core::time_point now);
    void merge_items(const gossip& received, core::time_point now);
    void send_members(const core::address& to);
    void send_probes(core::time_point now);
    void push_urgent(core::time_point now);
    gossip compose(gossip_kind kind) const;
    void add_items(gossip& body, core::time_point now);
    void add_urgent_items(gossip& body, std::size_t& budget, core::time_point now);
    void update_roles();
    void raise_alarms();
    void exchange_summaries(core::time_point now);
    void send_summary(const core::region_id& region, core::time_point now);
    region_summary own_summary(core::time_point now);
    std::vector<service_load> service_loads(core::time_point now) const;
    core::address contact_in(const core::region_id& region, core::time_point now);
    std::vector<core::region_id> other_regions() const;

    node_fleet_settings m_settings;
    core::random_source& m_random;
    membership m_members;
    load_table m_loads;
    region_table m_regions;
    config_store m_config;
    role_set m_roles;
    std::vector<core::address> m_other_watchers;
    std::vector<upstream_info> m_upstreams; ///< of the local region
    std::vector<core::address> m_upstream_addresses;
    std::map<core::region_id, std::vector<core::address>> m_listed_entry_hosts;
    action_list m_actions;
    core::time_point m_last_event;
    core::time_point m_next_exchange;
    core::time_point m_next_push;
    std::uint32_t m_summary_sequence = 0;
    unsigned m_exchange_slot = 0;
    bool m_started = false;
    bool m_push_wanted = false;
    bool m_config_push = false;
    bool m_roles_stale = false;
    bool m_link_alarm_raised = false;
};

} // namespace snipeplank::fleet

#endif
