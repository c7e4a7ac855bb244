/// @file
/// Facade of the request decisions: admission, routing, limits, retries, hedges and spill.

#ifndef SNIPEPLANK_POLICY_DISPATCHER_HPP
#define SNIPEPLANK_POLICY_DISPATCHER_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/call_path.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/retry_reason.hpp>
#include <snipeplank/policy/routing_policy.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::policy
{

/// Number of an attempt within one dispatcher; never reused.
using attempt_id = core::strong_type<std::uint64_t, struct attempt_id_tag>;

/// @brief One upstream of a service as the platform's list or a peer describes it.
struct upstream_status
{
    core::address address;
    core::region_id region;
    core::zone_id zone;
    bool is_leaving = false;
    double cost = 1;             ///< relative cost of a call
    double one_way_delay_ms = 0; ///< from this node's availability zone
};

/// @brief Capacity of one service in another region.
struct region_capacity
{
    double free_calls = 0; ///< calls that the region can start now
    double latency_ms = 0; ///< time to first byte; 0 when unknown
    double cost = 1;       ///< relative cost of a call there
};

/// @brief Status of another region. A region that is not listed gets no spill.
struct region_status
{
    core::region_id region;
    std::vector<core::zone_id> zones; ///< zones with live nodes
    double one_way_delay_ms = 0;
    std::map<core::service_id, region_capacity> services;
};

/// @brief How an attempt ended.
enum class attempt_outcome
{
    answered,
    failed,         ///< connection error, broken answer or server error
    timed_out,      ///< no answer within the deadline
    refused_busy,   ///< the upstream or region refused for load before execution
    caller_at_fault ///< a client error; not counted against the upstream
};

/// @brief Action: send the call to this upstream.
struct use_upstream
{
    attempt_id attempt;
    core::address address;
    core::zone_id zone;
};

/// @brief Action: spill, that is, forward the call to a node of another region, which serves or
/// refuses it.
struct send_to_region
{
    attempt_id attempt;
    core::region_id region;
    std::vector<core::zone_id> zones; ///< zones the call may enter; never empty
};

/// @brief One upstream or region that the decision considered.
struct candidate
{
    core::address address; ///< empty for a region
    core::region_id region;
    double score = 0; ///< lower is better
    double predicted_ms = 0;
    unsigned in_flight = 0;
    unsigned limit = 0;
    std::string passed_over; ///< why it was not usable; empty when usable
};

/// @brief Routing decision for one attempt, with the data that explains it.
struct decision
{
    std::variant<use_upstream, send_to_region, refusal> action;
    std::vector<candidate> candidates;   ///< usable ones, best first, then the unusable ones
    std::vector<std::string> limits_met; ///< such as `concurrency`, `link_budget`, `deadline`
};

/// @brief Identity of the node that decides.
struct dispatcher_self
{
    core::address node;
    core::region_id region;
    core::zone_id zone;
};

/// @brief Attempts since the start by kind, for metrics.
struct extra_work
{
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
};

/// @brief Routes, limits and refuses calls. Does no I/O and has no threads or clock of its own.
///
/// Not thread-safe; the owner holds one mutex per instance. Services are independent of each
/// other, but the link budgets and account limits are shared by all services of an instance. An
/// owner with one instance per service sets the share of the links for each with `set_link_share`
/// and calls `admit_account` on one of them only.
///
/// Each `use_upstream` or `send_to_region` opens an attempt. The owner ends every attempt exactly
/// once, with `on_finished` or `on_abandoned`; the losing attempt of a hedge is abandoned.
/// @code
/// decision chosen = dispatcher.route(call, now, random);
/// if (const auto* target = std::get_if<use_upstream>(&chosen.action))
///     start(target->attempt, target->address);
/// @endcode
class dispatcher
{
  public:
    explicit dispatcher(dispatcher_self self);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// @brief Applies a configuration. O(services + links).
    void set_config(const settings::published_config& config);

    /// @brief Sets the live entry nodes of the own region, this one included. The account and link
    /// shares follow from their number.
    void set_nodes(std::vector<core::address> live_nodes);

    /// @brief Sets the share of this node's link budgets that this instance may use, in (0, 1].
    void set_link_share(double share);

    /// @brief Replaces the upstreams of a service. Upstreams of other regions are ignored. An
    /// upstream that was reported as leaving stays so for 60 s even if the list says otherwise.
    void set_upstreams(const core::service_id& service,
                       const std::vector<upstream_status>& upstreams, core::time_point now);

    /// @brief Replaces the status of the other regions.
    void set_regions(const std::vector<region_status>& regions, core::time_point now);

    /// @brief Handles a load report of an upstream. Unknown addresses are ignored.
    /// @param kv_use used fraction of the KV cache, in [0, 1]
    void on_load_report(const core::address& upstream, unsigned running, unsigned waiting,
                        double kv_use, core::time_point now);

    /// @brief Marks an upstream as leaving, whether it is listed or not: no new work for 60 s.
    void on_leaving(const core::address& upstream, core::time_point now);

    /// @brief Routes one attempt of a call or refuses it. O(upstreams of the service in the
    /// region).
    decision route(const call_view& call, core::time_point now, core::random_source& random);

    /// @brief Records that the first byte of the answer arrived.
    void on_first_byte(attempt_id attempt, core::time_point now);

    /// @brief Ends an attempt with an outcome. Unknown attempts are ignored.
    void on_finished(attempt_id attempt, attempt_outcome outcome, core::time_point now);

    /// @brief Ends an attempt without an outcome: cancelled, or another attempt answered first.
    void on_abandoned(attempt_id attempt, core::time_point now);

    /// @brief Whether the call may be retried. When true, one attempt has been taken from the
    /// extra-attempt budget, so route the retry with `attempt_kind::retry`.
    bool may_retry(const call_view& call, retry_reason reason, core::time_point now);

    /// @brief Time since the attempt's start after which one hedge may be sent, if any.
    /// @param call with the running attempt's upstream as the last of `tried`
    std::optional<core::milliseconds> hedge_delay(const call_view& call, core::time_point now);

    /// @brief Takes one hedge from the extra-attempt budget. Call it right before routing the hedge
    /// with `attempt_kind::hedge`.
    bool take_hedge(core::time_point now);

    /// @brief Takes one call from this node's share of the account's rate.
    /// @return the refusal, or nothing when admitted
    std::optional<refusal> admit_account(const settings::account_config& account,
                                         core::time_point now, core::random_source& random);

    /// @brief Entry points for an account in the own region: the nodes that it is steered to, in
    /// random order, then the others as fallbacks.
    /// @param account null when accounts are not configured
    std::vector<core::address> entry_points(const settings::account_config* account,
                                            core::random_source& random) const;

    /// @brief Takes bytes for weights or KV cache from this node's share of a link.
    /// @return whether the transfer may start now
    bool take_link(const core::region_id& region, core::bytes size, core::time_point now);

    /// @brief Calls of a service that the own region can start now, for the region summary.
    double free_calls(const core::service_id& service, core::time_point now) const;

    /// @brief Median time to first byte of a service in this region, in ms; 0 without samples.
    double latency_ms(const core::service_id& service) const;

    /// @brief Attempts so far by kind.
    extra_work work() const;

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace snipeplank::policy

#endif
