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

/// Time after a disturbance until a node knows what the others know.
inline constexpr std::chrono::seconds contact_time{6};

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
    std::string stream{};  ///< id of the attempt that brought the first event of this stream
    int after = 0;         ///< last event that the caller has from before
    bool is_left = false;  ///< the caller closed the connection
};

/// @brief Time in which something outside a server made it slow, silent or absent.
struct disturbed_time
{
    soak_time from{};
    soak_time to{};
};

/// @brief One server and the requests that it reports as run.
struct server_record
{
    std::string name;
    std::string region;
    std::map<std::string, int> runs{}; ///< number of runs by request id
    std::string ended_by{};            ///< path of the request that ended it; empty for none
    soak_time ended{};
    std::string service{};
    std::string version{}; ///< of its software
    soak_time started{};
    std::map<std::string, soak_time> cancelled{}; ///< when it stopped work, by request id
    std::vector<soak_time> cold_arrivals{};       ///< of the requests that it got while it was cold
    std::vector<disturbed_time> disturbed{};
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
    std::vector<soak_time> store_disturbances; ///< begins and ends of faults of the store's path
    std::size_t allowed_while_cold = 0;        ///< requests in one second at a cold server
    std::string stream_service{};              ///< of the route of all streams
};

/// @brief Violated guarantees, one line each; empty when there are none.
std::vector<std::string> find_violations(const soak_record& record);

/// @brief Streams that callers took up, or began, while nothing disturbed their nodes or servers.
struct stream_counts
{
    std::size_t taken_up = 0; ///< while two servers of their version served
    std::size_t gone_on = 0;
    std::size_t sent_new = 0;
    std::size_t begun = 0;
};

stream_counts count_streams(const soak_record& record);

/// @brief Whether the soak disturbed the call's node in the last seconds before it was sent.
bool was_node_disturbed(const soak_record& record, const call_record& call);

/// @brief Violations that concern cold servers and software versions.
std::vector<std::string> find_release_violations(const soak_record& record);

/// @brief Path of a request of this kind.
std::string path_of(call_kind kind, const std::string& id);

/// @brief Path of this request.
std::string path_of(const call_record& call);

} // namespace snipeplank::tests

#endif
