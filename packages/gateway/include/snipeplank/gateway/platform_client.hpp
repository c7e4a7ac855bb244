/// @file
/// Client of the platform: configuration service, host list and load of upstreams.

#ifndef SNIPEPLANK_GATEWAY_PLATFORM_CLIENT_HPP
#define SNIPEPLANK_GATEWAY_PLATFORM_CLIENT_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

/// @brief A value with the index to pass to a blocking read of its next change.
struct watched_value
{
    std::string text;
    std::uint64_t index = 0;
};

/// @brief One entry of the platform's list of hosts.
struct listed_host
{
    core::address address;    ///< of an entry host: where other nodes reach it
    core::service_id service; ///< of an upstream
    core::region_id region;
    core::zone_id zone;
    bool is_entry = false;
    bool is_leaving = false;
    double cost = 1;
};

/// @brief Contents of the platform's host list.
struct host_listing
{
    std::uint64_t index = 0;
    std::vector<listed_host> hosts;
};

/// @brief Load reported by one upstream.
struct upstream_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    double cache_use = 0; ///< used fraction of the KV cache, in [0, 1]
};

/// @brief Blocking reads on the calling thread. `interrupt` ends a read that waits.
class platform_client
{
  public:
    virtual ~platform_client() = default;

    /// @brief Reads a key of the configuration service.
    /// @param index index of the last read; with a wait above zero, the read returns when the value
    /// has changed since
    /// @param wait maximum wait
    virtual core::result<watched_value> read_key(const std::string& key, std::uint64_t index,
                                                 core::milliseconds wait) = 0;

    /// @brief Reads the host list, waiting for a change since `index`.
    virtual core::result<host_listing> read_hosts(std::uint64_t index, core::milliseconds wait) = 0;

    /// @brief Reads an upstream's load report.
    virtual core::result<upstream_report> read_load(const core::address& upstream) = 0;

    /// @brief Aborts a waiting read and makes later reads fail immediately.
    virtual void interrupt() = 0;
};

/// @brief Creates an HTTP client of the platform.
/// @param config_service replicas, tried in order
std::unique_ptr<platform_client> make_platform_client(std::vector<core::address> config_service,
                                                      core::address host_list);

/// @brief Parses the host list; incomplete entries are skipped.
core::result<host_listing> parse_host_listing(const std::string& text);

/// @brief Parses running, waiting and cache use from a Prometheus page with vLLM metric names.
upstream_report parse_load_report(const std::string& text);

} // namespace snipeplank::gateway

#endif
