/// @file
/// Checks the guarantees against the requests that callers and servers of a soak recorded.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_VERDICT_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_VERDICT_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http_exchange.hpp"

namespace snipeplank::tests
{

using soak_time = std::chrono::steady_clock::time_point;

/// @brief Kinds of request that the soak sends, by their route.
enum class call_kind
{
    book,   ///< runs at most once
    read,   ///< bound to the home region
    stream, ///< may be resumed
};

/// @brief Path of the requests without a prompt that end each server that runs one.
inline const std::string fatal_path = "/read/fatal";

/// @brief One request and the answer that its caller received.
struct call_record
{
    std::string id;
    call_kind kind = call_kind::book;
    soak_time sent{};
    http_answer answer;
    soak_time ended{};
    std::chrono::milliseconds deadline{0}; ///< that the caller sent with it
    std::size_t node = 0;                  ///< index of the node that it was sent to
    /// Since the former answer on the same connection; none on a new connection.
    std::optional<std::chrono::milliseconds> idle;
    bool is_fatal = false; ///< sent with `fatal_path`
};

/// @brief One server and the requests that it reports as run.
struct server_record
{
    std::string name;
    std::string region;
    std::map<std::string, int> runs{}; ///< number of runs by request id
    std::string ended_by{};            ///< path of the request that ended it; empty for none
    soak_time ended{};
};

/// @brief Period in which a server must not run newly sent requests.
struct exclusion_period
{
    std::string server; ///< its name
    soak_time from{};
    soak_time to{};
};

/// @brief A limit of the nodes from a version of the configuration on.
struct limit_change
{
    soak_time published{};
    std::chrono::milliseconds limit{0};
};

/// @brief A node was told to stop.
struct node_stop
{
    std::size_t node = 0; ///< its index
    soak_time at{};
    soak_time gone{}; ///< when its process had ended
};

/// @brief The soak ended, started, froze or resumed a node.
struct node_disturbance
{
    std::size_t node = 0; ///< its index
    soak_time at{};
};

/// @brief Everything recorded in one soak.
struct soak_record
{
    std::vector<call_record> calls;
    std::vector<server_record> servers;
    std::string home;        ///< region of the bound route
    bool is_planned = false; ///< only planned operations took place
    std::vector<exclusion_period> exclusions;
    int events = 5;                        ///< number of events in a complete streamed answer
    std::vector<limit_change> timeouts;    ///< of all routes
    std::vector<limit_change> idle_limits; ///< of connections without a request
    std::vector<node_stop> stops;
    std::vector<node_disturbance> disturbances;
};

/// @brief Violated guarantees, one line each; empty when there are none.
std::vector<std::string> find_violations(const soak_record& record);

/// @brief Path of a request of this kind.
std::string path_of(call_kind kind, const std::string& id);

/// @brief Path of this request.
std::string path_of(const call_record& call);

} // namespace snipeplank::tests

#endif
