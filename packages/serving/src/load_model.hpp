/// @file
/// Load of upstreams and regions as known to a node, and the predictions based on it. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_LOAD_MODEL_HPP
#define SNIPEPLANK_SERVING_SRC_LOAD_MODEL_HPP

#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/prefix_cache_model.hpp>
#include <snipeplank/policy/process_proof.hpp>
#include <snipeplank/policy/retry_window.hpp>
#include <snipeplank/policy/upstream_run_key.hpp>
#include <snipeplank/policy/warmup_tracker.hpp>
#include <snipeplank/serving/placement.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace snipeplank::serving
{

/// Round-trip time to another region until one was measured.
constexpr double initial_round_trip_ms = 200;
/// Estimates used until answers were measured.
constexpr double initial_base_ms = 20;
constexpr double initial_ms_per_token = 0.01;
constexpr double initial_duration_ms = 300;
constexpr double initial_work_ms = 20;

/// @brief Load that this node causes at one upstream or in one region.
struct own_load
{
    double running = 0;
    double waiting = 0;
    double prefill_tokens = 0;  ///< prompt tokens of waiting requests that are not prefilled yet
    double kv_cache_tokens = 0; ///< KV cache of all running requests
};

/// @brief State of one upstream of this region.
struct upstream_state
{
    upstream info;
    std::uint64_t key = 0; ///< hash of the address, used in load reports
    policy::upstream_run_key run;
    policy::software_version_key version;
    core::time_point avoid_until{};
    unsigned failed_connections = 0;     ///< consecutive
    core::time_point last_received_at{}; ///< time of the last byte of any answer
    core::time_point busy_since{};       ///< since when it has had requests of this node
    own_load own;
    double pause_ms = 0; ///< smoothed time between two events of a stream
    core::time_point pause_measured_at{};
    policy::prefix_cache_model prefixes;
    policy::cold_start_limit cold;
    policy::warmup_tracker warmup;
    policy::process_proof proof;
};

/// @brief Speeds of one service, learned from its answers.
struct service_state
{
    explicit service_state(policy::retry_bound bound) : retries(bound) {}

    policy::retry_window retries;
    policy::outlier_ejection ejection;
    double base_ms = initial_base_ms;
    double ms_per_token = initial_ms_per_token;
    double duration_ms = initial_duration_ms;
    double work_ms = initial_work_ms;
    double baseline_pause_ms = 0; ///< time between two events under low load
    double prefill_tokens = 0;    ///< mean per request
    double kv_cache_tokens = 0;   ///< mean per request
};

/// @brief State of another region and the load that this node sends there.
struct region_state
{
    remote_region known;
    double round_trip_ms = initial_round_trip_ms;
    std::map<core::service_id, own_load> own;
};

/// @brief Last load report of another node of this region.
struct peer_report
{
    std::map<std::uint64_t, peer_load> loads;
    core::time_point at{};
};

/// @brief An attempt that has not ended.
struct open_attempt
{
    core::service_id service;
    upstream_id target;     ///< empty for another region
    core::region_id region; ///< empty for an upstream
    core::time_point sent{};
    bool has_first_byte = false;
    bool is_engine = false;
    double prefill_tokens_before = 0; ///< to prefill before its first event, its own included
    double running_before = 0;
    double prefill_tokens = 0;
    double kv_cache_tokens = 0;
};

/// @brief Holds loads and learned speeds and predicts the costs that placement compares.
class load_model
{
  public:
    explicit load_model(policy::retry_bound retries) : m_retries(retries) {}

    core::duration silence(const upstream_state& known, core::time_point now) const;

    const engine_size* engine_of(const core::service_id& name) const;

    /// Load that all nodes of the region together cause at one upstream.
    peer_load total(const upstream_state& known) const;

    double total_prefill_tokens(const upstream_state& known, const service_state& learned) const;

    /// Prompt tokens that the upstream has to prefill. A prefix counts as cached if this node sent
    /// it there, or if the upstream is the rendezvous owner of the prompt: the other nodes choose
    /// the same owner.
    double prefill_tokens(const upstream_state& known, const caller_request& caller) const;

    /// Fraction of the upstream's KV cache that all running requests and this one take.
    double kv_cache_usage(const upstream_state& known, const placement_request& request);

    /// Predicted time in ms to the first event, or to the answer of a plain service.
    double predict(const upstream_state& known, const placement_request& request);

    /// Part of the predicted time in ms that the request itself takes to be prefilled.
    double own_ms(const upstream_state& known, const placement_request& request);
    /// The same in another region, where nothing is known of its prompt.
    double own_ms(const placement_request& request);

    /// Delay in ms that the request causes to concurrent streams. Long prompts are concentrated at
    /// one upstream, which short prompts avoid while others have free capacity.
    double interference(const upstream_state& known, const placement_request& request,
                        const upstream_id& long_prompt_upstream);

    /// Silence in ms beyond the time that is normal for a busy upstream.
    double silence_excess(const upstream_state& known, core::time_point now) const;

    /// Time between events in ms beyond that of an upstream under low load; decays without samples.
    double pause_excess(const upstream_state& known, const core::service_id& name,
                        core::time_point now);

    /// Delay in ms that a request causes to the streams of a region, from the mean upstream load.
    double region_interference(const region_load& load, const placement_request& request);

    double predict(const region_state& known, const region_load& load,
                   const placement_request& request);

    void learn_first_byte(const open_attempt& attempt, double ms);

    void learn_end(const open_attempt& attempt, service_state& learned, double ms);

    service_state& service_of(const core::service_id& name);

    void learn_pause(upstream_state& known, const core::service_id& name, double ms,
                     core::time_point now);

  protected:
    std::shared_ptr<const routing_table> m_table;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::map<core::service_id, service_state> m_services;
    std::map<core::region_id, region_state> m_regions;
    std::map<std::uint64_t, peer_report> m_peers;
    upstream_id m_affinity_owner; ///< rendezvous owner of the prompt that is being placed

  private:
    policy::retry_bound m_retries;
};

} // namespace snipeplank::serving

#endif
