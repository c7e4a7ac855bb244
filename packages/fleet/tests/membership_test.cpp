/// Guards membership against views that stay split, false evictions and returning incarnations.

#include <CppUTest/TestHarness.h>
#include <support/test_world.hpp>

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

/// Remembers which incarnations each node has seen leave its view, or leaving.
void track_final(test_world::node& viewer)
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

std::size_t returned_ids(const test_world::node& viewer)
{
    return static_cast<std::size_t>(
        std::count_if(viewer.present_ids.begin(), viewer.present_ids.end(),
                      [&](const core::node_id& id) { return viewer.final_ids.contains(id); }));
}

void schedule_fault(test_world& world, const fault& next)
{
    const core::duration start = milliseconds{next.start_ms};
    const core::duration end = start + milliseconds{next.length_ms};
    const std::size_t index = next.node;
    switch (next.kind)
    {
    case 0:
        world.at(start,
                 [&world, index, next] { world.freeze(index, milliseconds{next.length_ms}); });
        break;
    case 1:
        world.at(start, [&world, index] { world.restart(index); });
        break;
    case 2:
        world.at(start, [&world, index] { world.crash(index); });
        world.at(end,
                 [&world, index]
                 {
                     if (!world.nodes[index].running)
                         world.start(index);
                 });
        break;
    case 3:
        world.at(start, [&world, index] { world.nodes[index].linked = false; });
        world.at(end, [&world, index] { world.nodes[index].linked = true; });
        break;
    case 4:
        world.at(start,
                 [&world, index]
                 {
                     world.connected = [index](const auto& a, const auto& b)
                     {
                         const core::address border{"10.0.0." + std::to_string(index) + ":7000"};
                         return (a.address < border) == (b.address < border);
                     };
                 });
        world.at(end,
                 [&world] { world.connected = [](const auto&, const auto&) { return true; }; });
        break;
    default:
        world.at(start, [&world, index] { world.leave(index); });
        world.at(end, [&world, index] { world.restart(index); });
        break;
    }
}

void heal(test_world& world)
{
    world.faults = {};
    world.connected = [](const auto&, const auto&) { return true; };
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
    {
        world.nodes[i].linked = true;
        if (!world.nodes[i].running)
            world.start(i);
    }
}

} // namespace

TEST_GROUP(membership){};

TEST(membership, members_find_each_other_from_the_host_list)
{
    test_world world(1);
    world.add_nodes("r1", "z1", 4);
    world.add_nodes("r1", "z2", 4);
    world.start_all();
    world.run(seconds{15});
    CHECK_TRUE(world.agrees());
}

/// Guards against views that stay split once the network works again.
TEST(membership, views_agree_after_healing)
{
    snipeplank::tests::check_property("agreement within 40 s of the end of all faults",
                                      []
                                      {
                                          test_world world(*rc::gen::arbitrary<std::uint64_t>());
                                          world.add_nodes("r1", "z1", 4);
                                          world.add_nodes("r1", "z2", member_count - 4);
                                          world.start_all();
                                          world.run(seconds{12});
                                          world.faults = generate_network();
                                          for (const fault& next : generate_faults())
                                              schedule_fault(world, next);
                                          world.run(seconds{55});
                                          heal(world);
                                          world.run(seconds{40});
                                          RC_ASSERT(world.agrees());
                                      });
}

/// Guards against a returning host that brings back an incarnation that left or was evicted.
TEST(membership, a_final_incarnation_never_returns)
{
    snipeplank::tests::check_property("leaving and dead are final under replayed messages",
                                      []
                                      {
                                          const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                                          test_world world(seed);
                                          core::seeded_random replays(seed);
                                          world.add_nodes("r1", "z1", member_count);
                                          world.record = true;
                                          world.observe = track_final;
                                          world.start_all();
                                          world.run(seconds{12});
                                          world.faults = generate_network();
                                          for (const fault& next : generate_faults())
                                              schedule_fault(world, next);
                                          for (int i = 0; i < 60; ++i)
                                          {
                                              world.run(seconds{1});
                                              for (int copy = 0; copy < 10; ++copy)
                                                  world.replay(
                                                      replays.below(world.recorded.size()));
                                              for (const auto& viewer : world.nodes)
                                                  RC_ASSERT(returned_ids(viewer) == 0U);
                                          }
                                      });
}

/// Guards against a node with a bad link that takes the rest of its region for dead.
TEST(membership, a_node_with_a_bad_link_evicts_no_live_majority)
{
    snipeplank::tests::check_property(
        "cut off nodes keep the majority",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            world.add_nodes("r1", "z1", member_count);
            world.start_all();
            world.run(seconds{12});
            world.faults.loss_percent = *rc::gen::inRange(0U, 15U);
            const auto cut = *rc::gen::inRange<std::size_t>(1, 4);
            const auto length = *rc::gen::inRange(2, 60);
            std::vector<std::size_t> before(member_count);
            for (std::size_t i = 0; i < member_count; ++i)
                before[i] = world.nodes[i].renewals.size();
            for (std::size_t i = 0; i < cut; ++i)
                world.nodes[i].linked = false;
            world.run(seconds{length});
            for (std::size_t i = 0; i < cut; ++i)
                RC_ASSERT(2 * (1 + world.nodes[i].fleet->members().size()) > member_count);
            for (std::size_t i = 0; i < cut; ++i)
                world.nodes[i].linked = true;
            world.run(seconds{30});
            for (std::size_t i = cut; i < member_count; ++i)
                RC_ASSERT(world.nodes[i].renewals.size() == before[i]);
        });
}

/// Guards against a thawed process that acts on its old view.
TEST(membership, a_frozen_node_holds_no_role_until_it_has_probed_again)
{
    test_world world(5);
    world.add_nodes("r1", "z1", 5);
    world.add_upstreams("r1", 10);
    world.start_all();
    world.run(seconds{15});
    world.freeze(0, seconds{6});
    world.run(milliseconds{6'050});
    CHECK_FALSE(world.nodes[0].fleet->roles().watcher);
    CHECK_FALSE(world.nodes[0].fleet->roles().relay);
    CHECK_EQUAL(0U, world.nodes[0].fleet->roles().probes.size());
    CHECK_EQUAL(0U, world.nodes[0].fleet->roles().orders.size());
    world.run(seconds{20});
    CHECK_TRUE(world.agrees());
}

/// Guards against an upstream, relay or zone that nobody serves after a host is lost.
TEST(membership, roles_of_lost_nodes_are_taken_over_within_9_s)
{
    snipeplank::tests::check_property(
        "takeover bound",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            world.add_nodes("r1", "z1", member_count);
            world.add_upstreams("r1", 20);
            world.start_all();
            world.run(seconds{15});
            const auto first = *rc::gen::inRange<std::size_t>(0, member_count);
            const auto second = *rc::gen::inRange<std::size_t>(0, member_count);
            world.crash(first);
            if (second != first)
                world.crash(second);
            world.run(seconds{9});
            std::multiset<core::address> probed;
            std::multiset<core::address> ordered;
            std::size_t watchers = 0;
            std::size_t relays = 0;
            for (const auto& member : world.nodes)
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
