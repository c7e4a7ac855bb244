/// @file
/// Regions of nodes with their upstreams and platform, as processes on loopback.

#ifndef SNIPEPLANK_TESTS_SUPPORT_TEST_FLEET_HPP
#define SNIPEPLANK_TESTS_SUPPORT_TEST_FLEET_HPP

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "fail_test.hpp"
#include "http_exchange.hpp"
#include "published_files.hpp"
#include "standin.hpp"

namespace snipeplank::tests
{

/// @brief One entry node.
struct test_node
{
    std::string region;
    std::string caller_address;
    std::string peer_address; ///< address of the relay, if there is one
    std::string peer_listen;
    std::string admin_address;
    std::string state = "live"; ///< as published in the host list
    std::unique_ptr<child_process> process;
    std::unique_ptr<standin> relay; ///< forwards all peer connections to this node
};

/// @brief One upstream and the service it belongs to.
struct test_upstream
{
    std::string region;
    std::string service;
    std::string state = "live";
    std::unique_ptr<standin> program;
};

/// @brief Number and properties of the processes of a fleet.
struct fleet_topology
{
    std::vector<std::string> regions{"salzkammer", "ennstal"};
    std::size_t nodes_per_region = 2;
    std::size_t engines_per_region = 1;
    std::size_t services_per_region = 1;
    std::string model_residency = "free";
    bool has_relays = false;    ///< put a relay in front of each node's peer address
    bool engine_resumes = true; ///< value of `resumes_streams` in the published configuration
    std::vector<std::string> engine_arguments;
};

/// @brief Starts a fleet; the destructor ends it.
///
/// The model service is `drafting`, the plain one `booking`; POST to `booking` is not idempotent.
class test_fleet
{
  public:
    /// @brief Starts everything and waits until each node is ready.
    explicit test_fleet(fleet_topology topology = {});

    /// @brief The `index`th node of a region.
    test_node& node(const std::string& region, std::size_t index);

    /// @brief The `index`th upstream of a service in a region.
    test_upstream& upstream(const std::string& region, const std::string& service,
                            std::size_t index = 0);

    /// @brief The platform stand-in.
    standin& platform() { return *m_platform; }

    /// @brief Kills a node and starts a new process at its addresses, as a replaced host would.
    void restart(test_node& former);

    /// @brief Starts an additional node and lists it.
    test_node& add_node(const std::string& region);

    /// @brief Starts an additional upstream and lists it.
    test_upstream& add_upstream(const std::string& region, const std::string& service);

    /// @brief Publishes all nodes and upstreams with their states in the platform's host list.
    void publish_hosts();

    /// @brief Publishes the next configuration version.
    std::uint64_t publish_config();

    /// @brief Waits until the node reports that it is ready.
    static void wait_ready(const test_node& node);

    /// @brief The node's decision record of an answer, for messages of failed checks.
    static std::string explain(const test_node& node, const http_answer& answer);

    /// @brief Requests a ticket for `booking` from a node.
    ///
    /// Fails the test when it is refused.
    static std::string take_ticket(const test_node& node);

    /// @brief Request that books a slot.
    static http_request booking(const std::string& ticket, const std::string& booking_id,
                                std::size_t answer_bytes = 0);

    /// @brief Request to the model service.
    static http_request drafting(const std::string& text, std::size_t tokens, bool streamed = true);

    /// @brief Expected bytes of the answer to `drafting(...)`.
    static std::string expected_draft(const http_request& request);

    /// @brief Executions of a booking id, summed over all upstreams of `booking`; paused ones must
    ///        be resumed first.
    std::size_t executions(const std::string& booking_id) const;

  private:
    void write_settings(const test_node& node) const;
    void start(test_node& node) const;
    test_node& create_node(const std::string& region);
    std::map<std::string, std::string> sections() const;

    fleet_topology m_topology;
    temporary_directory m_directory;
    std::uint64_t m_version = 0;
    std::unique_ptr<standin> m_platform;
    std::list<test_upstream> m_upstreams;
    std::list<test_node> m_nodes;
};

} // namespace snipeplank::tests

#endif
