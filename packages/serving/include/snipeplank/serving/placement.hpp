/// @file
/// Where a request goes: an upstream of this region, another region, or a refusal. Pure: no
/// network, no clock.
///
/// It answers these load patterns: peaks that rotate between regions of unequal size (spill by
/// predicted time), prompts that share parts (affinity bounded by load), upstreams that come back
/// cold (a part of their bound for each possible sender), and overload (refusal at once).

#ifndef SNIPEPLANK_SERVING_PLACEMENT_HPP
#define SNIPEPLANK_SERVING_PLACEMENT_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/cold_start_limit.hpp>
#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/prefix_cache_model.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/retry_window.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::serving
{

/// @brief Bounds that all nodes keep together.
struct placement_bounds
{
    policy::retry_bound retries;
    double cold_overshoot = 1;
    double cold_slack = 0;
    core::milliseconds heartbeat{1'200}; ///< interval at which upstreams renew what they say
};

/// @brief One attempt of a request that needs a place.
struct placement_request
{
    const route* chosen = nullptr;
    core::service_id service;
    const caller_request* caller = nullptr;
    core::milliseconds remaining{0};
    std::vector<upstream_id> tried;
    std::vector<core::region_id> tried_regions;
    bool may_leave_region = true; ///< false for a call that came from another region
    bool is_repeat = false;       ///< an earlier attempt reached an upstream
};

/// @brief What one region could do for one service, as its nodes say.
struct region_load
{
    unsigned upstreams = 0;
    double running = 0; ///< requests at the upstreams
    double waiting = 0; ///< of these, without a first byte
};

/// @brief What is known of another region.
struct other_region
{
    std::map<core::service_id, region_load> services;
    core::time_point heard{};
    bool is_reachable = false; ///< a node there answers
};

/// @brief Load of one upstream as another node of the region causes it.
struct peer_load
{
    double running = 0;
    double waiting = 0;
};

/// @brief Send the request to this upstream.
struct to_upstream
{
    upstream target;
    double predicted_ms = 0;
    double cost_ms = 0;     ///< with what the request costs the streams beside it
    bool was_tried = false; ///< by an earlier attempt of the request
};

/// @brief Send the request to a node of this region.
struct to_region
{
    core::region_id region;
    double predicted_ms = 0;
    double cost_ms = 0; ///< with what the request costs the streams beside it
};

using placement_decision = std::variant<to_upstream, to_region, policy::refusal>;

/// @brief How a placed request ended.
enum class attempt_end
{
    answered,
    failed, ///< the upstream's failure
    unreachable,
    rejected, ///< proven not run
    abandoned,
};

/// @brief Decides placements and follows the load that they cause. Not thread-safe.
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

    /// @brief Numbers of nodes: the largest that may be running here and everywhere, for bounds
    /// that must hold, and those that are known in the region, for fair shares.
    void set_node_counts(std::size_t in_region, std::size_t everywhere, std::size_t known_here);

    void set_region(const core::region_id& region, const other_region& known);

    /// @brief What another node of this region has at the upstreams, by hashed address.
    void set_peer_loads(std::uint64_t peer, std::map<std::uint64_t, peer_load> loads,
                        core::time_point now);

    /// @brief A request was received from a caller, not from another region.
    void on_request(const core::service_id& service, core::time_point now);

    /// @brief Decides one attempt. O(upstreams of the service).
    placement_decision decide(const placement_request& request, core::time_point now);

    /// @brief Whether the upstream may be sent a request at this moment: it is known under this
    /// name, not leaving and not in an evacuated availability zone.
    bool may_send(const upstream_id& target) const;

    /// @brief Whether nothing at all has come from the upstream for long, though it has requests of
    /// this node: it is dark or cut off, rather than busy.
    bool is_silent(const upstream_id& target, core::time_point now) const;

    /// @brief How many upstreams of the service are in which state, and which other regions could
    /// be used, for the log line of a refusal. O(upstreams + regions).
    std::string describe(const placement_request& request, core::time_point now) const;

    /// @brief Whether a repeat may be sent; takes it from the budget.
    bool take_repeat(const core::service_id& service, core::time_point now);

    /// @brief An attempt was sent.
    /// @return its number, for the calls below
    std::uint64_t on_sent(const placement_request& request, const upstream_id& target,
                          core::time_point now);
    std::uint64_t on_sent(const placement_request& request, const core::region_id& target,
                          core::time_point now);
    void on_first_byte(std::uint64_t attempt, core::time_point now);
    /// @brief Time between two events of a stream.
    void on_pause(std::uint64_t attempt, double ms, core::time_point now);
    void on_ended(std::uint64_t attempt, attempt_end how, core::time_point now);

    /// @brief Own load of each upstream, by hashed address, for the other nodes of the region.
    std::map<std::uint64_t, peer_load> own_loads() const;

    /// @brief Load of this region by service, for other regions.
    std::map<core::service_id, region_load> region_loads(core::time_point now) const;

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace snipeplank::serving

#endif
