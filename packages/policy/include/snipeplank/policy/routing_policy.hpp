/// @file
/// Choice of an upstream for one call.

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

/// @brief What a node knows of one upstream, or of another region's capacity for a service.
struct upstream_view
{
    core::address address; ///< empty for another region's capacity
    core::region_id region;
    core::zone_id zone;
    bool is_away = false;        ///< in another region, reached through one of its nodes
    bool is_leaving = false;     ///< takes no new work
    bool is_ejected = false;     ///< slow or failing; used only when nothing else is left
    unsigned in_flight = 0;      ///< own calls
    unsigned reported_load = 0;  ///< running and waiting, from the last report; lags
    unsigned limit = 1;          ///< adaptive concurrency limit of this node
    double latency_ms = 0;       ///< smoothed time to first byte; 0 when never measured
    double one_way_delay_ms = 0; ///< of the path to it
    double cost = 1;             ///< relative cost of a call
    double predicted_ms = 0;     ///< predicted time to first byte, queueing and path included
    double warm_saving_ms = 0;   ///< what a warm prefix cache saves of it
};

/// @brief Batch work is refused before interactive work.
enum class call_priority
{
    interactive,
    batch,
};

/// @brief Why an attempt is made.
enum class attempt_kind
{
    first,
    retry, ///< allowed by `dispatcher::may_retry`
    hedge, ///< allowed by `dispatcher::take_hedge`
};

/// @brief What matters of a call for its routing.
struct call_view
{
    std::uint64_t prefix_hash = 0; ///< of the prompt's prefix; 0 when there is none
    core::milliseconds remaining{0};
    core::service_id service;
    core::region_id home; ///< empty when unknown
    settings::residency residency = settings::residency::bound;
    call_priority priority = call_priority::interactive;
    bool is_idempotent = false;
    attempt_kind kind = attempt_kind::first;
    call_path path;                             ///< nodes before this one; empty at the entry node
    std::vector<core::address> tried;           ///< upstreams of earlier attempts, latest last
    std::vector<core::region_id> tried_regions; ///< regions that earlier attempts were sent to
    core::bytes size{};                         ///< body and expected answer, for the link budget
};

/// @brief Ranks upstreams for a call.
class routing_policy
{
  public:
    virtual ~routing_policy() = default;

    /// @brief Indices of usable upstreams, best first; leaving ones are never named.
    virtual std::vector<std::size_t> rank(const call_view& call,
                                          std::span<const upstream_view> upstreams,
                                          core::random_source& random) = 0;
};

} // namespace snipeplank::policy

#endif
