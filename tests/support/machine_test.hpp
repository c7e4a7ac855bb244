/// @file
/// Fixture of the tests with nodes on machines of the users' platform.

#ifndef SNIPEPLANK_TESTS_SUPPORT_MACHINE_TEST_HPP
#define SNIPEPLANK_TESTS_SUPPORT_MACHINE_TEST_HPP

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "machine_fleet.hpp"

namespace snipeplank::tests
{

/// @brief A fleet that each test sets up, and calls to its nodes.
class machine_test : public Utest
{
  public:
    void teardown() override { fleet.reset(); }

  protected:
    inline static const std::string home = "salzkammer";
    inline static const std::string remote = "ennstal";

    /// @param regions one node for each entry
    void set_up(const std::vector<std::string>& regions)
    {
        fleet = std::make_unique<machine_fleet>(regions);
        fleet->publish_configuration(3);
    }

    /// Starts one node and one server, and waits until the node serves `path`.
    standin& start_with(const std::string& server, const std::string& service,
                        const std::string& path)
    {
        set_up({home});
        standin& started = fleet->add_server(server, service, home);
        fleet->start_nodes();
        fleet->wait_until_served(0, path);
        return started;
    }

    http_answer call(const std::string& method, const std::string& path, const std::string& id,
                     int deadline_ms = 5'000, std::size_t index = 0) const
    {
        return http_call(fleet->node(index).callers,
                         machine_fleet::request(method, path, id, deadline_ms));
    }

    std::unique_ptr<machine_fleet> fleet;
};

} // namespace snipeplank::tests

#endif
