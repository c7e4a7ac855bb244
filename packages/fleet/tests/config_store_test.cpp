/// Guards the configuration: no version goes back, no content changes under its number, and
/// an accepted version reaches every connected node in time, also without the service.

#include <snipeplank/fleet/detail/text_delta.hpp>

#include <CppUTest/TestHarness.h>
#include <support/test_world.hpp>

#include <property.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

using namespace snipeplank;
using namespace snipeplank::fleet;
using namespace snipeplank::fleet::tests;

namespace
{

constexpr std::size_t section_count = 6;

/// Two regions; the first one has two zones.
void add_small_fleet(test_world& world)
{
    world.add_nodes("r1", "z1", 3);
    world.add_nodes("r1", "z2", 3);
    world.add_nodes("r2", "z3", 3);
}

void publish_and_start(test_world& world, std::uint64_t version)
{
    world.publish(make_publication(version, section_count, "first"));
    world.start_all();
    world.run(seconds{15});
}

bool all_have(const test_world& world, std::uint64_t version)
{
    return std::all_of(world.nodes.begin(), world.nodes.end(),
                       [version](const auto& member) {
                           return !member.running ||
                                  member.fleet->version_in_force().version.get() == version;
                       });
}

/// Whether versions only rise, so that no content under a version is replaced either.
bool versions_rise(const test_world::node& member)
{
    for (std::size_t i = 1; i < member.adopted.size(); ++i)
    {
        if (member.adopted[i].digest.version <= member.adopted[i - 1].digest.version)
            return false;
    }
    return true;
}

bool raised(const test_world::node& member, alarm_kind kind)
{
    return std::any_of(member.alarms.begin(), member.alarms.end(),
                       [kind](const fleet::alarm& a) { return a.kind == kind; });
}

} // namespace

TEST_GROUP(config_store){};

/// Guards requirement 9 against reverts: stale service, rival contents, invalid documents, faults.
TEST(config_store, versions_never_go_down_and_contents_never_change)
{
    snipeplank::tests::check_property(
        "versions rise on every node",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            add_small_fleet(world);
            world.faults.loss_percent = *rc::gen::inRange(0U, 30U);
            world.faults.duplicate_percent = *rc::gen::inRange(0U, 20U);
            world.faults.delay_max = milliseconds{*rc::gen::inRange(1, 1'000)};
            world.publish(make_publication(10, section_count, "first"));
            world.start_all();
            const auto steps = *rc::gen::inRange(5, 15);
            for (int step = 0; step < steps; ++step)
            {
                const auto version = *rc::gen::inRange<std::uint64_t>(8, 16);
                const auto salt = *rc::gen::element<std::string>("a", "b", "c", "invalid");
                const auto node = *rc::gen::inRange<std::size_t>(0, 9);
                world.publish(make_publication(version, section_count, salt));
                world.service.up = *rc::gen::inRange(0, 4) != 0;
                if (*rc::gen::inRange(0, 3) == 0)
                    world.freeze(node, milliseconds{*rc::gen::inRange(100, 6'000)});
                world.nodes[node].service_linked = !world.nodes[node].service_linked;
                world.run(milliseconds{*rc::gen::inRange(100, 5'000)});
                for (const auto& member : world.nodes)
                    RC_ASSERT(versions_rise(member));
            }
        });
}

/// Guards the bound of 11 s against a lost push, a frozen watcher and a cut-off service.
TEST(config_store, a_version_is_in_force_on_all_connected_nodes_within_11_s)
{
    snipeplank::tests::check_property(
        "in force within 11 s",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            add_small_fleet(world);
            publish_and_start(world, 5);
            RC_ASSERT(all_have(world, 5));
            world.faults.loss_percent = *rc::gen::inRange(0U, 15U);
            world.faults.delay_max = milliseconds{*rc::gen::inRange(1, 200)};
            // One zone may have lost the service, and one node of another zone does not run.
            const auto cut = *rc::gen::element<std::string>("none", "z1", "z2");
            for (auto& member : world.nodes)
                member.service_linked = member.zone.get() != cut;
            const auto frozen = *rc::gen::inRange<std::size_t>(0, 9);
            world.freeze(frozen, seconds{30});
            world.run(milliseconds{*rc::gen::inRange(0, 4'000)});
            world.publish(make_publication(6, section_count, "second"));
            world.run(seconds{11});
            for (std::size_t i = 0; i < world.nodes.size(); ++i)
            {
                if (i != frozen)
                    RC_ASSERT(world.nodes[i].fleet->version_in_force().version.get() == 6U);
            }
        });
}

/// Guards against two contents in force when both were seen while the version settled.
TEST(config_store, rival_contents_seen_while_settling_end_with_the_lower_hash)
{
    snipeplank::tests::check_property(
        "the lower hash wins everywhere",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            add_small_fleet(world);
            publish_and_start(world, 5);
            const publication a = make_publication(6, section_count, "a");
            const publication b = make_publication(6, section_count, "b");
            world.publish(a);
            world.run(milliseconds{*rc::gen::inRange(0, 700)});
            world.publish(b);
            world.run(seconds{12});
            const std::string lower =
                std::min(core::sha256_hex(a.manifest), core::sha256_hex(b.manifest));
            for (const auto& member : world.nodes)
                RC_ASSERT(member.fleet->version_in_force().manifest_hash == lower);
        });
}

TEST(config_store, a_late_rival_is_refused_with_an_alarm)
{
    test_world world(3);
    add_small_fleet(world);
    publish_and_start(world, 5);
    const std::string before = world.nodes[0].fleet->version_in_force().manifest_hash;
    world.publish(make_publication(5, section_count, "rival"));
    world.run(seconds{10});
    std::size_t alarms = 0;
    for (const auto& member : world.nodes)
    {
        STRCMP_EQUAL(before.c_str(), member.fleet->version_in_force().manifest_hash.c_str());
        alarms += raised(member, alarm_kind::config_conflict) ? 1 : 0;
    }
    CHECK_TRUE(alarms > 0);
    world.publish(make_publication(6, section_count, "remedy"));
    world.run(seconds{11});
    CHECK_TRUE(all_have(world, 6));
}

TEST(config_store, an_invalid_document_changes_nothing_and_does_not_spread)
{
    test_world world(4);
    add_small_fleet(world);
    publish_and_start(world, 5);
    world.publish(make_publication(6, section_count, "invalid"));
    world.run(seconds{10});
    CHECK_TRUE(all_have(world, 5));
    CHECK_TRUE(std::any_of(world.nodes.begin(), world.nodes.end(),
                           [](const auto& member)
                           { return raised(member, alarm_kind::config_invalid); }));
}

/// Guards a replaced host against an old configuration while the service is down or stale.
TEST(config_store, a_replaced_node_takes_the_highest_version_from_its_peers)
{
    snipeplank::tests::check_property(
        "highest version first",
        []
        {
            test_world world(*rc::gen::arbitrary<std::uint64_t>());
            add_small_fleet(world);
            publish_and_start(world, 9);
            world.faults.loss_percent = *rc::gen::inRange(0U, 10U);
            const auto stale = *rc::gen::inRange(0, 2) == 0;
            world.service.up = stale;
            if (stale)
                world.publish(
                    make_publication(*rc::gen::inRange<std::uint64_t>(1, 9), section_count, "old"));
            const auto index = *rc::gen::inRange<std::size_t>(0, 9);
            world.restart(index);
            world.run(seconds{12});
            const auto& member = world.nodes[index];
            RC_ASSERT(!member.adopted.empty());
            RC_ASSERT(member.adopted.front().digest.version.get() == 9U);
            RC_ASSERT(member.fleet->is_ready());
        });
}

TEST(config_store, a_node_without_any_source_is_not_ready)
{
    test_world world(6);
    world.add_nodes("r1", "z1", 1);
    world.service.up = false;
    world.start_all();
    world.run(seconds{20});
    CHECK_FALSE(world.nodes[0].fleet->is_ready());
}

/// Guards against peers that answer with another text than was asked for.
TEST(config_store, a_text_that_does_not_match_its_hash_is_refused)
{
    core::seeded_random random(1);
    config_store store(test_documents(), random);
    const core::time_point now{seconds{100}};
    const publication made = make_publication(3, 0, "");
    const std::string hash = core::sha256_hex(made.manifest);
    const core::address peer{"10.0.0.1:7000"};
    store.start(now);
    store.on_digest(peer, peer_distance::same_zone, {core::config_version{3}, hash, true}, now);
    store.on_tick(now);
    store.take_actions();
    store.on_reply(peer, {hash, true, "version 4\n", {}, {}}, now);
    const action_list actions = store.take_actions();
    CHECK_TRUE(std::any_of(actions.begin(), actions.end(),
                           [](const action& next)
                           {
                               const auto* raised = std::get_if<fleet::alarm>(&next);
                               return raised != nullptr &&
                                      raised->kind == alarm_kind::config_corrupt;
                           }));
    store.on_tick(now + seconds{2});
    store.on_reply(peer, {hash, true, made.manifest, {}, {}}, now + seconds{2});
    UNSIGNED_LONGS_EQUAL(3, store.in_force().version.get());
}

/// Guards against deltas that rebuild another text; the hash would refuse it at the cost of a
/// retry.
TEST(config_store, a_delta_rebuilds_its_text)
{
    snipeplank::tests::check_property(
        "delta round trip",
        [](const std::vector<std::string>& a, const std::vector<std::string>& b)
        {
            std::string base;
            std::string target;
            for (const std::string& line : a)
                base += line + "\n";
            for (std::size_t i = 0; i < b.size(); ++i)
                target += (i % 2 == 0 && i < a.size() ? a[i] : b[i]) + "\n";
            RC_ASSERT(fleet::detail::apply_delta(base, fleet::detail::make_delta(base, target)) ==
                      target);
        });
}

TEST(config_store, a_delta_beyond_its_base_is_refused)
{
    CHECK_FALSE(fleet::detail::apply_delta("abc", {{2, 2, ""}}).has_value());
    CHECK_FALSE(fleet::detail::apply_delta("abc", {{4'294'967'295U, 2, ""}}).has_value());
}
