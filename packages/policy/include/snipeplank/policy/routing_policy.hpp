/// @file
/// Interface of the routing policies, and their view of upstreams and calls.

#ifndef SNIPEPLANK_POLICY_ROUTING_POLICY_HPP
#define SNIPEPLANK_POLICY_ROUTING_POLICY_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/call_path.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace snipeplank::policy
{

/// @brief State of one upstream, or of a service's capacity in another region, as a node sees it.
struct upstream_view
{
    core::address address; ///< empty for another region's capacity
    core::region_id region;
    core::zone_id zone;
    bool is_remote = false;      ///< in another region, reached through one of its nodes
    bool is_leaving = false;     ///< takes no new work
    bool is_ejected = false;     ///< slow or failing; used only when no other upstream is left
    unsigned in_flight = 0;      ///< calls of this node
    unsigned reported_load = 0;  ///< running and waiting, from the last report; may be out of date
    unsigned limit = 1;          ///< adaptive concurrency limit of this node
    double latency_ms = 0;       ///< smoothed time to first byte; 0 when never measured
    double one_way_delay_ms = 0; ///< network delay to it
    double cost = 1;             ///< relative cost of a call
    double predicted_ms = 0;     ///< predicted time to first byte, with queueing and network
    double warm_saving_ms = 0;   ///< part of `predicted_ms` that a warm prefix cache saves
};

/// @brief Priority of a call. Batch calls are refused before interactive ones.
enum class call_priority
{
    interactive,
    batch,
};

/// @brief Kind of an attempt. An attempt sends a call once to an upstream or to another region.
enum class attempt_kind
{
    first,
    retry, ///< allowed by `dispatcher::may_retry`
    hedge, ///< sent beside a late attempt, first answer wins; allowed by `dispatcher::take_hedge`
};

/// @brief Properties of a call that its routing depends on.
struct call_view
{
    std::uint64_t prefix_hash = 0; ///< hash of the prompt's prefix; 0 when there is none
    core::milliseconds remaining{0};
    core::service_id service;
    core::region_id home; ///< empty when unknown
    /// Home of the call's account in the newest configuration of the node; empty when that knows
    /// none.
    core::region_id newest_home;
    settings::residency residency = settings::residency::bound;
    call_priority priority = call_priority::interactive;
    bool is_idempotent = false;
    attempt_kind kind = attempt_kind::first;
    call_path path;                             ///< nodes before this one; empty at the entry node
    std::vector<core::address> tried;           ///< upstreams of earlier attempts, latest last
    std::vector<core::region_id> tried_regions; ///< regions that earlier attempts were sent to
    core::bytes size{}; ///< request body and expected answer, for the link budget
};

/// @brief Ranks upstreams for a call.
class routing_policy
{
  public:
    virtual ~routing_policy() = default;

    /// @brief Returns the indices of the upstreams, best first; leaving ones are left out.
    virtual std::vector<std::size_t> rank(const call_view& call,
                                          std::span<const upstream_view> upstreams,
                                          core::random_source& random) = 0;
};

} // namespace snipeplank::policy

#endif
