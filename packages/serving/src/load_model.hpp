/// @file
/// What a node knows of the load of upstreams and regions, and what it predicts from it. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_LOAD_MODEL_HPP
#define SNIPEPLANK_SERVING_SRC_LOAD_MODEL_HPP

#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/prefix_cache_model.hpp>
#include <snipeplank/policy/retry_window.hpp>
#include <snipeplank/serving/placement.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace snipeplank::serving
{

/// Time to another region and back until one was measured.
constexpr double first_hop_ms = 200;
/// First guesses until answers were measured.
constexpr double first_base_ms = 20;
constexpr double first_ms_per_token = 0.01;
constexpr double first_duration_ms = 300;
constexpr double first_work_ms = 20;

/// What this node has at one upstream or in one region.
struct own_load
{
    double running = 0;
    double waiting = 0;
    double unread_tokens = 0; ///< prompt tokens of waiting requests that have to be read
    double memory_tokens = 0; ///< of all running requests
};

struct upstream_state
{
    upstream info;
    std::uint64_t key = 0; ///< hash of the address, as peers name it
    core::time_point cold_until{};
    core::time_point avoid_until{};
    unsigned failed_connections = 0;  ///< in a row
    core::time_point last_heard{};    ///< last byte of any answer
    core::time_point waiting_since{}; ///< when requests began to be there without a break
    own_load own;
    double pause_ms = 0; ///< between two events of a stream, smoothed
    core::time_point paused_at{};
    policy::prefix_cache_model prefixes;
    policy::cold_start_limit cold;
};

/// What was learned of one service from its answers.
struct service_state
{
    explicit service_state(policy::retry_bound bound) : retries(bound) {}

    policy::retry_window retries;
    policy::outlier_ejection ejection;
    double base_ms = first_base_ms;
    double ms_per_token = first_ms_per_token;
    double duration_ms = first_duration_ms;
    double work_ms = first_work_ms;
    double calm_pause_ms = 0; ///< between two events when little runs
    double unread_tokens = 0; ///< mean of a request
    double memory_tokens = 0; ///< mean of a request
};

struct region_state
{
    other_region known;
    double hop_ms = first_hop_ms;
    std::map<core::service_id, own_load> own;
};

struct peer_report
{
    std::map<std::uint64_t, peer_load> loads;
    core::time_point at{};
};

struct open_attempt
{
    core::service_id service;
    upstream_id target;     ///< empty for another region
    core::region_id region; ///< empty for an upstream
    core::time_point sent{};
    bool has_first_byte = false;
    bool is_engine = false;
    double unread_before = 0; ///< tokens to be read before the first event, own ones included
    double running_before = 0;
    double unread_tokens = 0;
    double memory_tokens = 0;
};

/// @brief Load and learned speeds, with the predictions that placement compares.
class load_model
{
  public:
    explicit load_model(policy::retry_bound retries) : m_retries(retries) {}

    core::duration silence(const upstream_state& known, core::time_point now) const;

    const engine_size* engine_of(const core::service_id& name) const;

    /// Load of all nodes of the region at one upstream.
    peer_load total(const upstream_state& known) const;

    double total_unread(const upstream_state& known, const service_state& learned) const;

    /// Prompt tokens that the upstream has to read. It keeps a part if this node sent it there, or
    /// if the other nodes, which order the upstreams of a prompt alike, will have done so.
    double unread_tokens(const upstream_state& known, const caller_request& caller) const;

    /// Part of the upstream's memory that all running requests and this one take.
    double memory_part(const upstream_state& known, const placement_request& request);

    double predict(const upstream_state& known, const placement_request& request);

    /// Cost of a prompt for the streams beside it, and of a stream beside long prompts: long ones
    /// gather at one upstream, which short ones avoid while others are free.
    double disturbance(const upstream_state& known, const placement_request& request,
                       const upstream_id& lane);

    double quiet_excess(const upstream_state& known, core::time_point now) const;

    /// Pauses above those of a calm upstream; old measurements fade.
    double pause_excess(const upstream_state& known, const core::service_id& name,
                        core::time_point now);

    /// What a request costs the streams of a region, from the mean load of its upstreams.
    double crowding(const region_load& load, const placement_request& request);

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
    upstream_id m_affinity_owner; ///< of the prompt that is being placed

  private:
    policy::retry_bound m_retries;
};

} // namespace snipeplank::serving

#endif
