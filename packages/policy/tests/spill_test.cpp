/// Guards the spill to other regions: link budgets are kept and stale summaries get no calls.

#include <snipeplank/policy/link_budget.hpp>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

namespace
{

constexpr double megabits = 8; // 1,000,000 bytes per second

settings::published_config config_with_link(double spill_share)
{
    settings::published_config config = make_config(2);
    config.links = {{region_name(0), region_name(1), core::milliseconds{80},
                     core::from_megabits(megabits), spill_share}};
    return config;
}

std::vector<core::address> nodes(std::size_t count)
{
    std::vector<core::address> names{core::address{"127.0.0.1:1"}};
    for (std::size_t i = 1; i < count; ++i)
    {
        names.push_back(core::address{"127.0.0.1:" + std::to_string(i + 1)});
    }
    return names;
}

} // namespace

TEST_GROUP(spill){};

// Fails when forwarded calls are not counted against the link.
TEST(spill, forwarded_bytes_never_exceed_the_budget)
{
    snipeplank::tests::check_property(
        "spilled bytes <= share of the link x (elapsed time + 1 s)",
        []
        {
            const auto live = *rc::gen::inRange<std::size_t>(1, 7);
            const double spill_share = *rc::gen::inRange(1, 5) / 8.0;
            one_node node(0, config_with_link(spill_share));
            node.subject.set_nodes(nodes(live));
            long now = 0;
            double sent = 0;
            double moved = 0;
            const int steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i)
            {
                now += *rc::gen::inRange(0, 50);
                node.subject.set_regions({free_region(1)}, at(now));
                call_view call = free_call();
                call.size = {*rc::gen::inRange<std::uint64_t>(2'048, 100'000)};
                if (*rc::gen::inRange(0, 4) == 0)
                    moved += node.subject.take_link(region_name(1), call.size, at(now))
                                 ? static_cast<double>(call.size.count)
                                 : 0;
                if (sent_to_remote(node.route(call, now)) != nullptr)
                    sent += static_cast<double>(call.size.count);
            }
            const double total = 1e6 / static_cast<double>(live);
            const double seconds = static_cast<double>(now) / 1'000 + 1;
            RC_ASSERT(sent <= spill_share * total * seconds + 1);
            RC_ASSERT(sent + moved <= total * seconds + 1);
        });
}

// Fails when transfers of weights and KV cache do not share the budget of the forwarded calls.
TEST(spill, transfers_and_forwarded_calls_share_the_link)
{
    link_budget subject;
    subject.resize({1e6}, 0.5, 2, 1);
    CHECK_TRUE(subject.take_for_transfer({400'000}, at(0)));
    CHECK_FALSE(subject.take_for_spill({150'000}, at(0)));
    CHECK_TRUE(subject.take_for_spill({100'000}, at(0)));
    CHECK_FALSE(subject.take_for_transfer({1}, at(0)));
}

// Fails when calls are spilled although the region's own upstreams have free capacity.
TEST(spill, a_free_upstream_at_home_is_preferred)
{
    one_node node(2);
    node.subject.set_regions({free_region(1)}, at(0));
    for (int i = 0; i < 10; ++i)
    {
        CHECK_TRUE(node.serve(free_call(), i, 1));
    }
}

// Fails when a full region refuses a free call although another region has capacity.
TEST(spill, a_full_region_spills_free_calls_and_refuses_bound_ones)
{
    one_node node(1);
    node.subject.set_regions({free_region(1)}, at(0));
    while (sent_to_upstream(node.route(bound_call(region_name(0)), 0)) != nullptr)
    {
    }
    const decision remote = node.route(free_call(), 1);
    CHECK_TRUE(sent_to_remote(remote) != nullptr);
    CHECK_TRUE(sent_to_remote(remote)->region == region_name(1));
    CHECK_TRUE(refused(node.route(bound_call(region_name(0)), 1)) != nullptr);
}

// Fails when a region gets calls without a fresh summary or right after it refused one.
TEST(spill, an_aged_unknown_or_refusing_region_gets_nothing)
{
    one_node aged(0);
    aged.subject.set_regions({free_region(1)}, at(0));
    CHECK_TRUE(sent_to_remote(aged.route(free_call(), 29'000)) != nullptr);
    CHECK_TRUE(sent_to_remote(aged.route(free_call(), 31'000)) == nullptr);

    one_node unknown(0);
    CHECK_TRUE(sent_to_remote(unknown.route(free_call(), 0)) == nullptr);

    one_node refusing(0);
    refusing.subject.set_regions({free_region(1)}, at(0));
    const decision made = refusing.route(free_call(), 0);
    CHECK_TRUE(sent_to_remote(made) != nullptr);
    refusing.subject.on_finished(sent_to_remote(made)->attempt, attempt_outcome::refused_busy,
                                 at(10));
    CHECK_TRUE(sent_to_remote(refusing.route(free_call(), 20)) == nullptr);
    CHECK_TRUE(sent_to_remote(refusing.route(free_call(), 2'100)) != nullptr);
}

// Fails when each node uses the whole free capacity of another region.
TEST(spill, each_node_takes_its_part_of_a_regions_free_calls)
{
    one_node node(0);
    node.subject.set_nodes(nodes(4));
    node.subject.set_regions({free_region(1, 12)}, at(0));
    int sent = 0;
    while (sent_to_remote(node.route(free_call(), 0)) != nullptr)
    {
        ++sent;
    }
    LONGS_EQUAL(3, sent);
}
