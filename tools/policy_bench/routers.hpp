/// @file
/// Common interface of the compared routers: the dispatcher and the baselines.

#ifndef SNIPEPLANK_TOOLS_POLICY_BENCH_ROUTERS_HPP
#define SNIPEPLANK_TOOLS_POLICY_BENCH_ROUTERS_HPP

#include <snipeplank/policy/dispatcher.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeplank::bench
{

core::time_point to_time(double ms);
core::region_id region_name(std::size_t region);
core::address engine_name(std::size_t engine);
core::address node_name(std::size_t node);
std::size_t engine_index(const core::address& name);
std::size_t region_index(const core::region_id& name);

inline const core::service_id service_name{"model"};

/// @brief Target of an attempt, or the reason of its refusal.
struct routing_decision
{
    std::optional<std::size_t> engine;
    std::optional<std::size_t> region; ///< set when a node of another region selects the engine
    std::string refusal;               ///< reason; empty when the attempt is sent
    policy::attempt_id attempt{0};
};

/// @brief Size of the simulated fleet and delay between its regions.
struct fleet_topology
{
    std::size_t regions = 3;
    std::size_t engines_per_region = 6;
    std::size_t nodes_per_region = 2;
    double one_way_ms = 80;
};

/// @brief Routing decisions of one entry node.
class router
{
  public:
    virtual ~router() = default;
    virtual routing_decision route(const policy::call_view& call, double now) = 0;
    virtual void on_first_byte(policy::attempt_id, double) {}
    virtual void on_finished(policy::attempt_id attempt, policy::attempt_outcome outcome,
                             double now) = 0;
    virtual void on_abandoned(policy::attempt_id attempt, double now) = 0;
    virtual bool may_retry(const policy::call_view& call, policy::retry_reason reason,
                           double now) = 0;
    virtual std::optional<double> hedge_delay(const policy::call_view&, double)
    {
        return std::nullopt;
    }
    virtual bool take_hedge(double) { return false; }
    virtual void set_engines(const std::vector<bool>& alive, double now) = 0;
    virtual void on_load_report(std::size_t, unsigned, unsigned, double, double) {}
    virtual void set_regions(const std::vector<policy::region_status>&, double) {}
    virtual double free_calls(double) const { return 0; }
    virtual double latency_ms() const { return 0; }
};

/// @brief Creates the router of a node.
/// @param kind `adaptive`, `round_robin`, `least_outstanding`, `random_of_two` or
/// `least_outstanding_across` (regions)
std::unique_ptr<router> make_router(const std::string& kind, std::size_t region, std::size_t node,
                                    const fleet_topology& topology,
                                    const settings::routing_weights& weights);

} // namespace snipeplank::bench

#endif
