/// @file
/// Routes, services and caller limits of a configuration.

#ifndef SNIPEPLANK_SERVING_ROUTING_TABLE_HPP
#define SNIPEPLANK_SERVING_ROUTING_TABLE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/server.hpp>
#include <snipeplank/serving/client_accounts.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::serving
{

/// @brief Kinds of request; the kind decides whether a request may run more than once.
enum class request_kind
{
    idempotent,
    non_idempotent, ///< runs at most once
    streaming,      ///< a series of events; runs at most once unless it is resumable
};

/// @brief A service of a route, with its share of the route's requests.
struct weighted_service
{
    core::service_id service;
    double weight = 1;
};

/// @brief Maps requests of a host and path prefix to services.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    core::milliseconds timeout{30'000};  ///< longest time until the answer
    core::milliseconds objective{1'000}; ///< time to the answer, or to the first event of a stream
    unsigned priority = 5;               ///< 0 is the most urgent
    unsigned max_attempts = 1;           ///< upstreams to which one request may be sent
    bool is_resumable = false;
    bool is_public = false; ///< served without a key, also where the configuration lists accounts
    std::vector<weighted_service> services;
    std::vector<core::region_id> allowed_regions; ///< empty: every region

    /// @brief Whether a request may run more than once.
    bool may_retry() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && is_resumable);
    }

    bool may_be_served_in(const core::region_id& region) const;
};

/// @brief Capacity of a model server.
struct engine_size
{
    unsigned slots = 0;      ///< requests that run at once
    double cache_tokens = 0; ///< KV cache for running requests and cached prefixes
};

/// @brief Properties shared by the upstreams of a service.
struct service
{
    core::service_id name;
    std::string health_path;
    unsigned max_connections = 0;      ///< of one upstream, from all callers; 0: no limit
    core::milliseconds warmup{0};      ///< how long an upstream is cold after its start
    double warmup_rate = 0;            ///< requests/s that a cold upstream can handle; 0: no limit
    std::optional<engine_size> engine; ///< set for model servers
};

/// @brief How long requests of a service may wait for those before them.
struct queue_bound
{
    core::milliseconds shortest_objective{0}; ///< of the routes of the service
};

/// @brief One published configuration. Immutable once it is in force.
struct routing_table
{
    core::config_version version;
    std::vector<route> routes;
    std::map<core::service_id, service> services;
    http::server_limits limits;
    /// Nothing: requests need no key. An empty table is not the same: no account is left.
    std::optional<account_table> accounts;
    std::map<core::service_id, queue_bound> queue_bounds;

    /// @brief The route of the host with the longest prefix that matches the path, or null.
    const route* find(std::string_view host, std::string_view path) const;

    const service* find_service(const core::service_id& name) const;

    /// @brief How long requests may queue at the service; nothing where their deadlines alone bound
    /// the wait.
    std::optional<queue_bound> queue_bound_of(const core::service_id& name) const;

    /// @brief Bounds the queues of model servers whose room accounts share. Called once, when
    /// routes, services and accounts are known. O(routes).
    void bound_queues();
};

/// @brief Chooses one of the route's services by weight.
/// @param draw uniform in [0, 1), the same for all attempts of one request
const core::service_id& choose_service(const route& chosen, double draw);

} // namespace snipeplank::serving

#endif
