/// Tests of membership: agreement of views, false evictions and returning incarnations.

#include <CppUTest/TestHarness.h>
#include <support/fleet_simulation.hpp>

#include <property.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace snipeplank;
using namespace snipeplank::fleet;
using namespace snipeplank::fleet::tests;

namespace
{

constexpr std::size_t member_count = 7;
constexpr unsigned fault_kinds = 6;

/// One fault of a generated schedule; fields are reduced to valid ranges where they are used.
struct fault
{
    unsigned kind = 0;
    unsigned node = 0;
    unsigned start_ms = 0;
    unsigned length_ms = 0;
};

std::vector<fault> generate_faults()
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    std::vector<fault> faults;
    for (std::size_t i = 0; i < count; ++i)
    {
        fault next;
        next.kind = *rc::gen::inRange(0U, fault_kinds);
        next.node = *rc::gen::inRange(0U, static_cast<unsigned>(member_count));
        next.start_ms = *rc::gen::inRange(0U, 30'000U);
        next.length_ms = *rc::gen::inRange(100U, 20'000U);
        faults.push_back(next);
    }
    return faults;
}

network_faults generate_network()
{
    network_faults network;
    network.loss_percent = *rc::gen::inRange(0U, 30U);
    network.duplicate_percent = *rc::gen::inRange(0U, 20U);
    network.delay_max = milliseconds{*rc::gen::inRange(1, 300)};
    return network;
}

/// Records the incarnations that the node has seen as leaving or that it has removed.
void track_final(fleet_simulation::node& viewer)
{
    std::set<core::node_id> present;
    for (const member_update& member : viewer.fleet->members())
    {
        if (member.state == member_state::leaving)
            viewer.final_ids.insert(member.id);
        else
            present.insert(member.id);
    }
    for (const core::node_id& id : viewer.present_ids)
    {
        if (!present.contains(id))
            viewer.final_ids.insert(id);
    }
    viewer.present_ids = std::move(present);
}

std::size_t returned_ids(const fleet_simulation::node& viewer)
{
    return static_cast<std::size_t>(
        std::count_if(viewer.present_ids.begin(), viewer.present_ids.end(),
                      [&](const core::node_id& id) { return viewer.final_ids.contains(id); }));
}

void schedule_fault(fleet_simulation& simulation, const fault& next)
{
    const core::duration start = milliseconds{next.start_ms};
    const core::duration end = start + milliseconds{next.length_ms};
    const std::size_t index = next.node;
    switch (next.kind)
    {
    case 0:
        simulation.at(start, [&simulation, index, next]
                      { simulation.pause(index, milliseconds{next.length_ms}); });
        break;
    case 1:
        simulation.at(start, [&simulation, index] { simulation.restart(index); });
        break;
    case 2:
        simulation.at(start, [&simulation, index] { simulation.crash(index); });
        simulation.at(end,
                      [&simulation, index]
                      {
                          if (!simulation.nodes[index].running)
                              simulation.start(index);
                      });
        break;
    case 3:
        simulation.at(start, [&simulation, index] { simulation.nodes[index].linked = false; });
        simulation.at(end, [&simulation, index] { simulation.nodes[index].linked = true; });
        break;
    case 4:
        simulation.at(start,
                      [&simulation, index]
                      {
                          simulation.connected = [index](const auto& a, const auto& b)
                          {
                              const core::address border{"10.0.0." + std::to_string(index) +
                                                         ":7000"};
                              return (a.address < border) == (b.address < border);
                          };
                      });
        simulation.at(end, [&simulation]
                      { simulation.connected = [](const auto&, const auto&) { return true; }; });
        break;
    default:
        simulation.at(start, [&simulation, index] { simulation.leave(index); });
        simulation.at(end, [&simulation, index] { simulation.restart(index); });
        break;
    }
}

void heal(fleet_simulation& simulation)
{
    simulation.faults = {};
    simulation.connected = [](const auto&, const auto&) { return true; };
    for (std::size_t i = 0; i < simulation.nodes.size(); ++i)
    {
        simulation.nodes[i].linked = true;
        if (!simulation.nodes[i].running)
            simulation.start(i);
    }
}

} // namespace

TEST_GROUP(membership){};

/// Guards against a start from which some members never learn of each other.
TEST(membership, members_find_each_other_from_the_host_list)
{
    fleet_simulation simulation(1);
    simulation.add_nodes("r1", "z1", 4);
    simulation.add_nodes("r1", "z2", 4);
    simulation.start_all();
    simulation.run(seconds{15});
    CHECK_TRUE(simulation.agrees());
}

/// Guards against views that still differ after the network has recovered.
TEST(membership, views_agree_after_healing)
{
    snipeplank::tests::check_property("agreement within 40 s of the end of all faults",
                                      []
                                      {
                                          fleet_simulation simulation(
                                              *rc::gen::arbitrary<std::uint64_t>());
                                          simulation.add_nodes("r1", "z1", 4);
                                          simulation.add_nodes("r1", "z2", member_count - 4);
                                          simulation.start_all();
                                          simulation.run(seconds{12});
                                          simulation.faults = generate_network();
                                          for (const fault& next : generate_faults())
                                              schedule_fault(simulation, next);
                                          simulation.run(seconds{55});
                                          heal(simulation);
                                          simulation.run(seconds{40});
                                          RC_ASSERT(simulation.agrees());
                                      });
}

/// Guards against late messages that bring back an incarnation that has left or was evicted.
TEST(membership, a_final_incarnation_never_returns)
{
    snipeplank::tests::check_property("leaving and dead are final under replayed messages",
                                      []
                                      {
                                          const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                                          fleet_simulation simulation(seed);
                                          core::seeded_random replays(seed);
                                          simulation.add_nodes("r1", "z1", member_count);
                                          simulation.record = true;
                                          simulation.observe = track_final;
                                          simulation.start_all();
                                          simulation.run(seconds{12});
                                          simulation.faults = generate_network();
                                          for (const fault& next : generate_faults())
                                              schedule_fault(simulation, next);
                                          for (int i = 0; i < 60; ++i)
                                          {
                                              simulation.run(seconds{1});
                                              for (int copy = 0; copy < 10; ++copy)
                                                  simulation.replay(
                                                      replays.below(simulation.recorded.size()));
                                              for (const auto& viewer : simulation.nodes)
                                                  RC_ASSERT(returned_ids(viewer) == 0U);
                                          }
                                      });
}

/// Guards against a node that loses its own link and declares the rest of its region dead.
TEST(membership, a_node_with_a_bad_link_evicts_no_live_majority)
{
    snipeplank::tests::check_property(
        "cut off nodes keep the majority",
        []
        {
            fleet_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
            simulation.add_nodes("r1", "z1", member_count);
            simulation.start_all();
            simulation.run(seconds{12});
            simulation.faults.loss_percent = *rc::gen::inRange(0U, 15U);
            const auto cut = *rc::gen::inRange<std::size_t>(1, 4);
            const auto length = *rc::gen::inRange(2, 60);
            std::vector<std::size_t> before(member_count);
            for (std::size_t i = 0; i < member_count; ++i)
                before[i] = simulation.nodes[i].renewals.size();
            for (std::size_t i = 0; i < cut; ++i)
                simulation.nodes[i].linked = false;
            simulation.run(seconds{length});
            for (std::size_t i = 0; i < cut; ++i)
                RC_ASSERT(2 * (1 + simulation.nodes[i].fleet->members().size()) > member_count);
            for (std::size_t i = 0; i < cut; ++i)
                simulation.nodes[i].linked = true;
            simulation.run(seconds{30});
            for (std::size_t i = cut; i < member_count; ++i)
                RC_ASSERT(simulation.nodes[i].renewals.size() == before[i]);
        });
}

/// Guards against a process that acts on its stale view after a pause.
TEST(membership, a_paused_node_holds_no_role_until_it_has_probed_again)
{
    fleet_simulation simulation(5);
    simulation.add_nodes("r1", "z1", 5);
    simulation.add_upstreams("r1", 10);
    simulation.start_all();
    simulation.run(seconds{15});
    simulation.pause(0, seconds{6});
    simulation.run(milliseconds{6'050});
    CHECK_FALSE(simulation.nodes[0].fleet->roles().watcher);
    CHECK_FALSE(simulation.nodes[0].fleet->roles().relay);
    CHECK_EQUAL(0U, simulation.nodes[0].fleet->roles().probes.size());
    CHECK_EQUAL(0U, simulation.nodes[0].fleet->roles().orders.size());
    simulation.run(seconds{20});
    CHECK_TRUE(simulation.agrees());
}

/// Guards against upstreams without a prober or order issuer, and missing relays or watchers, after
/// hosts are lost.
TEST(membership, roles_of_lost_nodes_are_taken_over_within_9_s)
{
    snipeplank::tests::check_property(
        "takeover bound",
        []
        {
            fleet_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
            simulation.add_nodes("r1", "z1", member_count);
            simulation.add_upstreams("r1", 20);
            simulation.start_all();
            simulation.run(seconds{15});
            const auto first = *rc::gen::inRange<std::size_t>(0, member_count);
            const auto second = *rc::gen::inRange<std::size_t>(0, member_count);
            simulation.crash(first);
            if (second != first)
                simulation.crash(second);
            simulation.run(seconds{9});
            std::multiset<core::address> probed;
            std::multiset<core::address> ordered;
            std::size_t watchers = 0;
            std::size_t relays = 0;
            for (const auto& member : simulation.nodes)
            {
                if (!member.running)
                    continue;
                const role_set& held = member.fleet->roles();
                probed.insert(held.probes.begin(), held.probes.end());
                ordered.insert(held.orders.begin(), held.orders.end());
                watchers += held.watcher ? 1 : 0;
                relays += held.relay ? 1 : 0;
            }
            RC_ASSERT(watchers == watchers_per_zone);
            RC_ASSERT(relays == relays_per_region);
            RC_ASSERT(probed.size() == 20U);
            RC_ASSERT(ordered.size() == 20U);
        });
}
