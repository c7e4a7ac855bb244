/// @file
/// Decides where a request goes: an upstream of this region, another region, or a refusal. Pure:
/// no network, no clock.
///
/// Handles these load patterns: peaks that rotate between regions of unequal size (spill by
/// predicted time), prompts that share prefixes (affinity bounded by load), upstreams that restart
/// cold (each possible sender gets a share of their rate limit), and overload (immediate refusal).

#ifndef SNIPEPLANK_SERVING_PLACEMENT_HPP
#define SNIPEPLANK_SERVING_PLACEMENT_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/cold_start_limit.hpp>
#include <snipeplank/policy/node_share.hpp>
#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/prefix_cache_model.hpp>
#include <snipeplank/policy/process_proof.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/retry_window.hpp>
#include <snipeplank/policy/software_version_key.hpp>
#include <snipeplank/policy/upstream_feedback.hpp>
#include <snipeplank/serving/home_regions.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::serving
{

/// @brief Limits that apply to all nodes together.
struct placement_bounds
{
    policy::retry_bound retries;
    double cold_overshoot = 1;
    double cold_slack = 0;
};

/// @brief Nodes that share the bounds that apply to several nodes, as this one knows them.
struct sharing_nodes
{
    policy::node_share fleet;  ///< of bounds of the whole fleet
    policy::node_share region; ///< of bounds of the nodes of this region
    policy::node_share quotas; ///< of the quotas of client accounts
    /// Nodes of this region that are known, for fair shares of connection limits. An upstream
    /// refuses a connection too many, so a number that is too low for a moment is tolerated.
    std::size_t known_in_region = 1;
    /// Nodes of this region that may be running, this one included, of which a few send to an
    /// upstream that names a limit; empty while some may not be known.
    std::vector<core::address> senders;
    core::address self;
};

/// @brief One attempt of a request, to be placed.
struct placement_request
{
    const route* chosen = nullptr;
    const client_account* account = nullptr; ///< null: none
    core::service_id service;
    const caller_request* caller = nullptr;
    core::milliseconds remaining{0};
    std::vector<upstream_id> tried;
    std::vector<upstream_id> turned_away_by; ///< upstreams that took the request and did not run it
    std::vector<core::region_id> tried_regions;
    bool may_leave_region = true; ///< false for a call forwarded by another region
    bool is_retry = false;        ///< an earlier attempt reached an upstream
    /// The only one at which the stream may go on; 0: any.
    policy::software_version_key software_version;
    /// Whether the stream may begin at a version while upstreams of another one can take it; not
    /// set: at any.
    std::function<bool(policy::software_version_key)> may_begin_at;
    home_regions homes; ///< where it may be served
};

/// @brief Load of one service in one region, as reported by the region's nodes.
struct region_load
{
    unsigned upstreams = 0;
    double running = 0; ///< requests at the upstreams, waiting ones included
    double waiting = 0; ///< requests without a first byte yet
};

/// @brief Last reported state of another region.
struct remote_region
{
    std::map<core::service_id, region_load> services;
    core::time_point last_received{};
    bool is_reachable = false; ///< at least one node there answers
};

/// @brief Load that one node causes at one upstream.
struct peer_load
{
    double running = 0;
    double waiting = 0;
};

/// @brief Decision to send the request to this upstream.
struct to_upstream
{
    upstream target;
    double predicted_ms = 0;
    double wait_ms = 0;     ///< predicted, for the requests before it
    double cost_ms = 0;     ///< predicted time plus the delay caused to concurrent streams
    bool was_tried = false; ///< by an earlier attempt of the request
};

/// @brief Decision to send the request to a node of another region.
struct to_region
{
    core::region_id region;
    double predicted_ms = 0;
    double wait_ms = 0; ///< predicted, for the requests before it
    double cost_ms = 0; ///< predicted time plus the delay caused to concurrent streams
};

using placement_decision = std::variant<to_upstream, to_region, policy::refusal>;

/// @brief How an attempt ended.
enum class attempt_end
{
    answered,
    failed, ///< by the upstream's fault
    unreachable,
    closed,   ///< refused the connection: the upstream's process does not run
    rejected, ///< proven not run
    abandoned,
};

/// @brief Whether a request may be sent to the upstream that was chosen for it.
enum class admission
{
    granted,
    out_of_service, ///< unknown, leaving or evacuated
    throttled,      ///< it takes none now by its own word
    cold,           ///< its rate limit while cold is used up
    unverified,     ///< its process may be cold, and the rate limit for that is used up
};

/// @brief Decides placements and tracks the load that they cause. Not thread-safe.
class placement
{
  public:
    /// @param random outlives the object
    placement(core::region_id region, placement_bounds bounds, core::random_source& random);
    ~placement();
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;

    void set_table(std::shared_ptr<const routing_table> table);
    void set_upstreams(const upstream_map& upstreams, core::time_point now);
    void set_evacuations(const zone_set& zones, core::time_point now);

    /// @brief Sets the nodes that share every bound that applies to several nodes.
    void set_sharing_nodes(sharing_nodes nodes, core::time_point now);

    void set_region(const core::region_id& region, const remote_region& known);

    /// @brief Sets the load that another node of this region causes, by hashed upstream address.
    void set_peer_loads(std::uint64_t peer, std::map<std::uint64_t, peer_load> loads,
                        core::time_point now);

    /// @brief Counts a request received from a caller, not from another region.
    void on_request(const core::service_id& service, core::time_point now);

    /// @brief Places one attempt. O(upstreams of the service).
    placement_decision decide(const placement_request& request, core::time_point now);

    /// @brief Whether the upstream may be sent a request now: it is known under this id, not
    /// leaving, not in an evacuated availability zone, and takes one by its own word and, while
    /// cold, by its rate limit. Counts the request against both limits. Called on an open
    /// connection, right before the first byte: what was known when the upstream was chosen may
    /// have changed while the connection was being opened.
    /// @param over the connection; becomes proven when what is known of the upstream proves it
    admission admit(const upstream_id& target, policy::connection_record& over,
                    core::time_point now);

    /// @brief Records that bytes have just been read on a connection.
    /// @param arrived_after a time after which they arrived
    void on_received(const upstream_id& target, const policy::connection_record& over,
                     core::time_point arrived_after, core::time_point now);

    /// @brief Records that the node runs; called every `policy::pause_watch::tick_interval`. What
    /// it knew before a pause proves nothing of upstreams any more.
    void on_tick(core::time_point now);

    /// @brief Records that the host was suspended, which the times of ticks do not show.
    void on_resumed(core::time_point now);

    /// @brief Begins to ask the upstream's process which one it is. Ends with one of the following.
    policy::verification_turn begin_verification(const upstream_id& target, core::time_point now);

    /// @brief Records that the process behind a connection said that it is this upstream.
    /// @param cold_for how long it stays cold
    void on_verified(const upstream_id& target, core::milliseconds cold_for,
                     core::time_point asked_at, policy::connection_record& over,
                     core::time_point now);

    /// @brief Records that a process was asked in vain.
    /// @param was_answered it gave an answer that says nothing
    void on_unverified(const upstream_id& target, bool was_answered, core::time_point now);

    /// @brief Records that a process was not given its time to answer.
    void on_verification_cancelled(const upstream_id& target);

    /// @brief Number of upstreams that were asked in vain a moment ago. O(upstreams).
    std::size_t unverified_upstreams(core::time_point now) const;

    /// @brief The software version of an upstream of this region; 0 if it is not known.
    policy::software_version_key version_of(const upstream_id& target) const;

    /// @brief Whether an upstream of the request's software version is listed where it may be
    /// served, whatever its state. O(upstreams).
    bool is_version_listed(const placement_request& request) const;

    /// @brief Records that the upstream has crashed: it may come back cold under the same id.
    void on_crashed(const upstream_id& target);

    /// @brief Number of upstreams that count as cold. O(upstreams).
    std::size_t cold_upstreams(core::time_point now) const;

    /// @brief Records what an upstream said of itself in an answer.
    /// @return whether it said something new
    bool on_statement(const upstream_id& target, const policy::upstream_statement& said,
                      core::time_point now);

    /// @brief Records what upstreams said of themselves to another node.
    void on_told(const policy::told_feedback& told, core::time_point now);

    /// @brief What upstreams said of themselves, to tell the other nodes of the region.
    policy::told_feedback to_tell(std::size_t max_items, core::time_point now) const;

    /// @brief Whether the upstream has sent nothing for longer than the silence timeout while it
    /// has requests of this node. A busy upstream sends data; a silent one pauses, is down or cut
    /// off.
    /// @param since earlier silence does not count
    bool is_silent(const upstream_id& target, core::time_point since, core::time_point now) const;

    /// @brief Number of the service's upstreams in each state and the state of each other region,
    /// for the log line of a refusal. O(upstreams + regions).
    std::string describe(const placement_request& request, core::time_point now) const;

    /// @brief Whether the retry budget allows a retry; consumes it from the budget.
    bool take_retry(const core::service_id& service, core::time_point now);

    /// @brief Retries of each service that this node took in the latest window, for metrics.
    std::map<core::service_id, double> retries_taken(core::time_point now) const;

    /// @brief Retries in a window that this node may take besides those that its requests earn.
    double retry_slack_share() const;

    /// @brief Records that an attempt was sent.
    /// @return its number, to pass to the functions below
    std::uint64_t on_sent(const placement_request& request, const upstream_id& target,
                          core::time_point now);
    std::uint64_t on_sent(const placement_request& request, const core::region_id& target,
                          core::time_point now);
    /// @brief Records that an attempt was sent this much later, while its upstream's process was
    /// asked which one it is.
    void add_delay(std::uint64_t attempt, core::duration spent);
    void on_first_byte(std::uint64_t attempt, core::time_point now);
    /// @brief Records the time between two events of a stream.
    void on_pause(std::uint64_t attempt, double ms, core::time_point now);
    void on_ended(std::uint64_t attempt, attempt_end how, core::time_point now);

    /// @brief Load that this node causes at each upstream, by hashed address, to report to the
    /// other nodes of the region.
    std::map<std::uint64_t, peer_load> own_loads() const;

    /// @brief Load of this region by service, to report to other regions.
    std::map<core::service_id, region_load> region_loads(core::time_point now) const;

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace snipeplank::serving

#endif
