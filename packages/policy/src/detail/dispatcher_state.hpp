/// @file
/// State and implementation of the dispatcher.

#ifndef SNIPEPLANK_POLICY_DETAIL_DISPATCHER_STATE_HPP
#define SNIPEPLANK_POLICY_DETAIL_DISPATCHER_STATE_HPP

#include <snipeplank/policy/account_limit.hpp>
#include <snipeplank/policy/concurrency_limit.hpp>
#include <snipeplank/policy/dispatcher.hpp>
#include <snipeplank/policy/extra_attempt_budget.hpp>
#include <snipeplank/policy/latency_estimate.hpp>
#include <snipeplank/policy/leaving_list.hpp>
#include <snipeplank/policy/link_budget.hpp>
#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/slow_start.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipeplank::policy::detail
{

/// @brief Status, limits and measurements of one upstream.
struct upstream_state
{
    upstream_status status;
    concurrency_limit limit;
    slow_start ramp;
    latency_estimate base;      ///< time to first byte without the predicted queueing
    latency_estimate streaming; ///< from the first byte to the end
    unsigned in_flight = 0;
    bool is_listed = true; ///< an unlisted upstream is removed after its last attempt
    bool has_report = false;
    std::map<std::uint64_t, core::time_point> waiting; ///< attempts without a first byte
};

/// @brief Spill of one service to one region.
struct spill_state
{
    unsigned sent_since_summary = 0;
    core::time_point refused_until{};
};

/// @brief Upstreams and measurements of one service.
struct service_state
{
    settings::service_config config;
    bool is_configured = false;
    bool has_list = false;
    std::map<core::address, upstream_state> upstreams;
    outlier_ejection ejection;
    latency_window first_bytes;
    latency_window unqueued_first_bytes; ///< times to first byte without the predicted queueing
    double median_unqueued_ms = 0;       ///< median of `unqueued_first_bytes`
    double cold_ms = 0; ///< high quantile of `unqueued_first_bytes`: a call with a cold cache
    latency_estimate base;
    latency_estimate streaming;
    std::map<core::region_id, spill_state> spill;
};

/// @brief One attempt between its start and its end.
struct attempt_state
{
    core::service_id service;
    core::address upstream; ///< empty when sent to a region
    core::region_id region;
    core::time_point start;
    double predicted_ms = 0;
    double wait_ms = 0;
    std::optional<core::time_point> first_byte;
};

/// @brief Prediction for one more call at an upstream.
struct prediction
{
    double wait_ms = 0;      ///< queueing
    double total_ms = 0;     ///< to the first byte, queueing included
    double streaming_ms = 0; ///< from the first byte to the end
};

/// @brief A candidate during one routing decision.
struct option
{
    upstream_view view;
    prediction expected;
    std::vector<core::zone_id> zones;      ///< zones of a remote region that the call may enter
    std::string_view skip_reason;          ///< why it is not usable; empty when usable
    const region_status* remote = nullptr; ///< set for a remote region
    bool is_probe = false; ///< idle without a recent sample: its prediction is not used to refuse
};

} // namespace snipeplank::policy::detail

namespace snipeplank::policy
{

class dispatcher::state
{
  public:
    explicit state(dispatcher_self identity) : self(std::move(identity)) {}

    // Decisions (dispatcher_route.cpp).
    decision route(const call_view& call, core::time_point now, core::random_source& random);

    // Queries (dispatcher_predict.cpp).
    bool has_alternative(const detail::service_state& service, const call_view& call,
                         core::time_point now, bool needs_spare_capacity) const;

    /// Whether another region could take the call now.
    bool has_remote_alternative(detail::service_state& service, const call_view& call,
                                core::time_point now);
    detail::prediction predict(const detail::service_state& service,
                               const detail::upstream_state& upstream, core::time_point now) const;
    bool is_leaving(const detail::upstream_state& upstream, core::time_point now) const;
    bool came_from_other_region(const call_view& call) const;
    core::region_id home_of(const call_view& call) const;

    /// Whether a region may serve the call: by the residency and home with which the call began,
    /// and by the newest ones of its service and account.
    bool may_serve(const detail::service_state& service, const call_view& call,
                   const core::region_id& region) const;

    // Events (dispatcher_events.cpp).
    void set_upstreams(const core::service_id& name, const std::vector<upstream_status>& upstreams,
                       core::time_point now);
    void on_load_report(const core::address& address, unsigned running, unsigned waiting,
                        double kv_use, core::time_point now);
    void on_first_byte(attempt_id id, core::time_point now);
    void on_finished(attempt_id id, attempt_outcome outcome, core::time_point now);
    void on_abandoned(attempt_id id, core::time_point now);
    void resize_links();

    dispatcher_self self;
    bool has_config = false;
    settings::routing_weights weights;
    std::unique_ptr<routing_policy> policy;
    std::vector<core::address> nodes;
    double link_share = 1;
    std::map<core::service_id, detail::service_state> services;
    std::map<core::region_id, settings::link_config> links;
    std::map<core::region_id, link_budget> budgets;
    std::vector<region_status> regions;
    core::time_point regions_updated_at{};
    leaving_list leaving;
    extra_attempt_budget extra;
    extra_work counts;
    account_limit accounts;
    std::uint64_t next_attempt = 1;
    std::unordered_map<std::uint64_t, detail::attempt_state> attempts;

  private:
    using options = std::vector<detail::option>;

    std::optional<refusal> refuse_before_ranking(const call_view& call,
                                                 core::random_source& random) const;
    options local_options(detail::service_state& service, const call_view& call,
                          core::time_point now) const;
    void add_remote_options(detail::service_state& service, const call_view& call,
                            core::time_point now, options& found);
    static void reserve_for_prefix_owner(const call_view& call, options& found);
    void mark_ejected(detail::service_state& service, core::time_point now, options& found) const;
    std::string_view local_skip_reason(const call_view& call,
                                       const detail::option& candidate) const;
    std::string_view region_skip_reason(const detail::service_state& service, const call_view& call,
                                        const detail::option& candidate, core::time_point now);
    void open_attempt(detail::service_state& service, const call_view& call,
                      const detail::option& chosen, core::time_point now, decision& result);
    refusal refuse_all(const detail::service_state& service, const options& found,
                       core::random_source& random) const;
    detail::upstream_state* find_upstream(const detail::attempt_state& attempt);
    void close_attempt(attempt_id id);
    void check_delay(detail::service_state& service, detail::upstream_state& upstream,
                     core::time_point now);
};

} // namespace snipeplank::policy

#endif
