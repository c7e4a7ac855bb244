/// @file
/// Fleet of nodes on machines of the users' platform, with stand-ins for its store and servers.

#ifndef SNIPEPLANK_TESTS_SUPPORT_MACHINE_FLEET_HPP
#define SNIPEPLANK_TESTS_SUPPORT_MACHINE_FLEET_HPP

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "http_exchange.hpp"
#include "standin.hpp"

namespace snipeplank::tests
{

/// @brief One node and its listen addresses.
struct machine_node
{
    std::string name;
    std::string region;
    std::string callers;
    std::string readiness;
    std::string directory;
    std::string admin;
    std::string peer;
    std::string settings_path;
    std::unique_ptr<child_process> program;
};

/// @brief Whether the nodes reach the store through a relay that can inject faults.
enum class store_path
{
    direct,
    relayed,
};

/// @brief What a published configuration says.
struct fleet_configuration
{
    int version = 3;
    std::string bound_region; ///< home of the route `/read/`; empty for none
    std::chrono::milliseconds route_timeout{8'000};
    std::chrono::milliseconds idle_timeout{0}; ///< of a client's connection; 0 for the default
    int max_attempts = 2;
    std::string stream_service = "model";
    std::string book_service = "shop";
    std::string read_service = "shop";
    std::string health_path;             ///< of all services; empty for none
    std::chrono::milliseconds warmup{0}; ///< after the start of a server of any service
    double warmup_rate = 0;              ///< requests/s that a cold server tolerates; 0: any number
    std::string tenants;                 ///< JSON list of client accounts; empty for none
    int more_routes = 0;                 ///< that no test calls, about 200 bytes each
};

/// @brief Requests in one second that the rules allow a cold server.
std::size_t cold_bound(const fleet_configuration& config);

/// @brief What the entry of a server says.
struct server_entry
{
    std::string id;
    std::string service;
    std::string region;
    std::string address;
    std::string state = "ready";
    std::string version = "v1"; ///< of its software
    std::chrono::milliseconds cold_for{0};
    long born_ms = 0; ///< Unix time of its start; 0 for an entry without it
    int sequence = 1;
};

/// Memory of the machine of each node: the smallest one of the users' deployments.
constexpr int machine_memory_mb = 120;

/// @brief Bound on the retries of all nodes. A node that has just started has no part of the slack,
/// so tests that need retries let its requests earn them.
struct retry_settings
{
    static constexpr double ample_ratio = 10;
    static constexpr double usual_ratio = 0.2;

    double ratio = ample_ratio; ///< of the requests
    int slack = 100;            ///< additional retries of all nodes in a window
};

/// @brief A store, servers and nodes in regions of one availability zone each.
class machine_fleet
{
  public:
    /// @param regions one node for each entry
    /// @param retries by default enough to retry each request of a test
    explicit machine_fleet(const std::vector<std::string>& regions,
                           store_path path = store_path::direct, retry_settings retries = {});
    ~machine_fleet();
    machine_fleet(const machine_fleet&) = delete;
    machine_fleet& operator=(const machine_fleet&) = delete;

    /// @brief Starts a server without an entry in the store.
    /// @param work_ms execution time of each request
    /// @param more further arguments of `standin_server`
    standin& start_server(const std::string& id, int work_ms = 0,
                          const std::vector<std::string>& more = {});

    /// @brief Ends a server and starts its next run, with its id and address. Its entry stays.
    /// @param pause from the end to the start
    /// @param more arguments of the next run
    void restart_server(standin& server, const std::string& id, std::chrono::milliseconds pause,
                        const std::vector<std::string>& more);

    /// @brief Writes the entry of a server.
    void publish_server(const server_entry& entry) const;
    void publish_server(const std::string& id, const std::string& service,
                        const std::string& region, const std::string& address,
                        const std::string& state) const;

    /// @brief Starts a server of a service and publishes its entry.
    standin& add_server(const std::string& id, const std::string& service,
                        const std::string& region);

    /// @brief Publishes a configuration with the routes `/stream/`, `/book/` and `/read/`.
    /// @param bound_region home of the route `/read/`; empty for none
    void publish_configuration(int version, const std::string& bound_region = "");
    void publish_configuration(const fleet_configuration& config) const;

    /// @param key may hold any text
    void put(const std::string& key, const std::string& value) const;
    void remove(const std::string& key) const;
    standin& store() { return *m_store; }

    /// @brief Posts to the stand-in of the store.
    void tell_store(const std::string& path, const std::string& body) const;

    /// @brief Starts nodes that read another store from now on.
    void use_store(const std::string& address);

    /// @brief The relay in front of the store; only with `store_path::relayed`.
    standin& store_relay() { return *m_store_relay; }

    /// @brief Starts nodes without any retry budget from now on.
    void forbid_retries();

    /// @brief Starts nodes with further bounds from now on.
    /// @param bounds JSON object
    void set_bounds(const std::string& bounds);

    /// @brief Starts nodes on machines with further limits from now on.
    /// @param limits JSON object
    void set_limits(const std::string& limits);

    /// @brief Starts nodes with this time from SIGTERM to SIGKILL from now on.
    void set_grace(std::chrono::seconds grace);

    void start_node(std::size_t index);
    void start_nodes();
    machine_node& node(std::size_t index) { return m_nodes.at(index); }
    std::size_t node_count() const { return m_nodes.size(); }

    /// @brief Waits until every node takes its share of the bounds that apply to all nodes.
    void wait_until_sharing();

    /// @brief Waits until the node answers `path` with status 200.
    void wait_until_served(std::size_t index, const std::string& path);

    /// @brief A request with all headers of the platform.
    static http_request request(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms = 5'000);

    /// @brief Requests that a server reports as received, executed and cancelled.
    static nlohmann::json seen(const standin& server);
    static void set_fault(const standin& server, const std::string& fault);

    /// @brief The server adds this header to all answers from now on.
    static void say(const standin& server, const std::string& header, const std::string& value);

    /// @brief Most requests that the server got in any time of this length since `say`.
    /// @param skipped time after the first request since then that does not count
    static std::size_t most_arrivals(const standin& server, std::chrono::milliseconds window,
                                     std::chrono::milliseconds skipped);

    /// @brief The server goes on as it is, but sends nothing for a while.
    static void silence(const standin& server, std::chrono::milliseconds duration);

  private:
    std::string store_address() const;
    void write_settings(const machine_node& node) const;
    void write_all_settings() const;

    retry_settings m_retries;
    std::string m_directory;
    bool m_allows_retries = true;
    std::chrono::seconds m_grace{8};
    std::string m_bounds = "{}"; ///< further ones, as JSON
    std::string m_limits = "{}"; ///< of the machines besides their memory, as JSON
    std::string m_other_store;   ///< address of a store besides the stand-in
    std::unique_ptr<standin> m_store;
    std::unique_ptr<standin> m_store_relay;
    std::vector<std::unique_ptr<standin>> m_servers;
    std::vector<machine_node> m_nodes;
};

} // namespace snipeplank::tests

#endif
