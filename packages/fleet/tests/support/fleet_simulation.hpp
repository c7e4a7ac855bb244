/// @file
/// Simulation of several node_fleet objects, in virtual time, with an in-memory network and faults.

#ifndef SNIPEPLANK_FLEET_TESTS_FLEET_SIMULATION_HPP
#define SNIPEPLANK_FLEET_TESTS_FLEET_SIMULATION_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/fleet/node_fleet.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::fleet::tests
{

using core::milliseconds;
using core::seconds;

/// @brief Documents of the tests: `version N`, then lines of `name hash`; a section that contains
/// "invalid" makes the whole document invalid.
config_documents test_documents();

/// @brief A manifest text with its sections by hash.
struct publication
{
    std::string manifest;
    std::map<std::string, std::string> sections;
};

/// @brief A publication whose `count` sections have contents derived from `salt`.
publication make_publication(std::uint64_t version, std::size_t count, const std::string& salt);

/// @brief Simulated configuration service: one value with an index; counts reads.
struct test_service
{
    publication current;
    std::uint64_t index = 1;
    bool up = true;
    std::map<std::int64_t, std::size_t> reads_in_second; ///< by second of virtual time
};

/// @brief Faults of the simulated network.
struct network_faults
{
    unsigned loss_percent = 0;
    unsigned duplicate_percent = 0;
    /// Upper bound of the random delay of each message, which reorders messages.
    milliseconds delay_max{5};
};

/// @brief Simulates the nodes, their network and the platform in virtual time.
class fleet_simulation
{
  public:
    struct node
    {
        core::address address;
        core::address caller;
        core::region_id region;
        core::zone_id zone;
        std::unique_ptr<core::seeded_random> random;
        std::unique_ptr<node_fleet> fleet;
        std::vector<config_in_force> adopted;
        std::vector<alarm> alarms;
        std::vector<incarnation_renewed> renewals;
        std::set<core::node_id> final_ids; ///< seen as leaving or removed by this node
        std::set<core::node_id> present_ids;
        core::time_point resume_at; ///< end of the current pause
        std::uint64_t seen_index = 0;
        unsigned generation = 0; ///< number of starts and crashes; invalidates older events
        bool running = false;
        bool linked = true; ///< false: no message in or out
        bool service_linked = true;
    };

    explicit fleet_simulation(std::uint64_t seed) : m_random(seed) {}

    /// @brief Adds `count` nodes in `zone`, not started.
    void add_nodes(const std::string& region, const std::string& zone, std::size_t count);
    void add_upstreams(const std::string& region, std::size_t count);

    void start(std::size_t index);
    void start_all();
    void crash(std::size_t index);
    void restart(std::size_t index);
    void pause(std::size_t index, core::duration time);
    void leave(std::size_t index);
    void publish(publication next);

    /// @brief Runs until `time` after the current virtual time.
    void run(core::duration time);

    /// @brief Calls `action` at `time` after the current virtual time.
    void at(core::duration time, std::function<void()> action);

    /// @brief Whether each running node sees exactly the other running nodes of its region as live
    /// and suspects none.
    bool agrees() const;

    std::size_t running_count() const;

    core::time_point now() const { return m_now; }

    std::vector<node> nodes;
    test_service service;
    network_faults faults;
    milliseconds tick{100};
    /// Whether two nodes can reach each other, in addition to `linked`.
    std::function<bool(const node&, const node&)> connected = [](const node&, const node&)
    { return true; };
    /// Called after each event of a node.
    std::function<void(node&)> observe;
    host_list listed;
    /// Messages sent and their estimated size.
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
    /// Messages stored for replay while `record` is set.
    bool record = false;
    std::vector<std::pair<core::address, send_message>> recorded;

    /// @brief Delivers a recorded message again.
    void replay(std::size_t recorded_index);

  private:
    using event = std::function<void()>;

    void schedule(core::time_point time, event next);
    void tick_node(std::size_t index, unsigned generation);
    void deliver_host_list(std::size_t index, unsigned generation);
    void deliver(const core::address& from, std::size_t to, message body);
    void perform(std::size_t index, action_list actions);
    void send(std::size_t index, const send_message& sent);
    void read(std::size_t index, const read_manifest& request);
    void read(std::size_t index, const read_section& request);
    void answer_watch(std::size_t index, unsigned generation, core::time_point until);
    void count_read();
    bool is_responsive(const node& target) const
    {
        return target.running && m_now >= target.resume_at;
    }
    /// Runs `next` on the node now, or after its pause; skipped if it was restarted meanwhile.
    void run_on_node(std::size_t index, unsigned generation,
                     std::function<action_list(node&)> next);

    core::seeded_random m_random;
    core::time_point m_now{seconds{100'000}};
    std::multimap<core::time_point, event> m_events;
    std::map<core::address, std::size_t> m_index;
};

} // namespace snipeplank::fleet::tests

#endif
