/// Guards the account limits: the shares enforced by the nodes add up to the account's rate.

#include <snipeplank/policy/account_limit.hpp>

#include <algorithm>
#include <map>
#include <memory>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

namespace
{

settings::account_config account_of(const std::string& id, double rate, double burst)
{
    settings::account_config account;
    account.id = core::account_id{id};
    account.calls_per_second = rate;
    account.burst = burst;
    return account;
}

std::vector<core::address> node_names(std::size_t count)
{
    std::vector<core::address> names;
    for (std::size_t i = 0; i < count; ++i)
    {
        names.push_back(core::address{"127.0.0.1:" + std::to_string(1'000 + i)});
    }
    return names;
}

} // namespace

TEST_GROUP(account_limit){};

// Fails when each node admits the whole rate, or when the shares do not add up.
TEST(account_limit, shares_of_the_steered_nodes_add_up_to_the_rate)
{
    snipeplank::tests::check_property(
        "steered shares sum to the rate and all shares to at most 1.1 times it",
        []
        {
            const auto nodes = node_names(*rc::gen::inRange<std::size_t>(1, 12));
            const double rate = *rc::gen::inRange(1, 3'000);
            const settings::account_config account =
                account_of("a" + std::to_string(*rc::gen::inRange(0, 1'000)), rate, 2 * rate);
            const std::vector<core::address> order = account_order(account.id, nodes);
            const std::size_t steered = steered_count(account, nodes.size());
            double of_steered = 0;
            double of_all = 0;
            for (const core::address& name : nodes)
            {
                policy::account_limit subject;
                subject.set_nodes(name, nodes);
                const double share = subject.share(account);
                const auto place = std::find(order.begin(), order.end(), name) - order.begin();
                of_all += share;
                if (static_cast<std::size_t>(place) < steered)
                    of_steered += share;
            }
            RC_ASSERT(std::abs(of_steered - rate) < 1e-6);
            RC_ASSERT(of_all <= 1.1 * rate + 1e-6);
        });
}

// Fails when an account exceeds its rate by calling all nodes.
TEST(account_limit, a_flood_over_all_nodes_is_held_to_the_rate)
{
    constexpr std::size_t count = 6;
    const std::vector<core::address> nodes = node_names(count);
    const settings::account_config account = account_of("greedy", 300, 300);
    std::vector<std::unique_ptr<policy::account_limit>> limits;
    for (const core::address& name : nodes)
    {
        limits.push_back(std::make_unique<policy::account_limit>());
        limits.back()->set_nodes(name, nodes);
    }
    int admitted = 0;
    for (long ms = 0; ms < 10'000; ++ms)
    {
        for (const auto& limit : limits)
        {
            admitted += limit->admit(account, at(ms)) == core::milliseconds{0} ? 1 : 0;
        }
    }
    // Ten seconds at 1.1 times the rate plus the bursts.
    CHECK_TRUE(admitted >= 3'000);
    CHECK_TRUE(admitted <= 10 * 330 + 330 + static_cast<int>(count));
}

// Fails when nodes with equal member lists steer an account to different nodes.
TEST(account_limit, entry_points_name_the_steered_nodes_first_on_every_node)
{
    const std::vector<core::address> nodes = node_names(6);
    const settings::account_config account = account_of("shop", 250, 100);
    const std::vector<core::address> order = account_order(account.id, nodes);
    UNSIGNED_LONGS_EQUAL(3, steered_count(account, nodes.size()));
    core::seeded_random random{7};
    std::map<core::address, int> first;
    for (int i = 0; i < 300; ++i)
    {
        policy::account_limit subject;
        subject.set_nodes(nodes[static_cast<std::size_t>(i) % nodes.size()], nodes);
        const std::vector<core::address> given = subject.entry_points(&account, random);
        UNSIGNED_LONGS_EQUAL(nodes.size(), given.size());
        ++first[given.front()];
    }
    UNSIGNED_LONGS_EQUAL(3, first.size());
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK_TRUE(first[order[i]] > 50);
    }
}

// Fails when one account uses up the rate of another, or when a refusal has no retry time.
TEST(account_limit, accounts_are_independent_and_refusals_name_a_time)
{
    one_node node(2);
    const settings::account_config greedy = account_of("greedy", 10, 5);
    const settings::account_config other = account_of("other", 10, 5);
    std::optional<refusal> last;
    for (int i = 0; i < 50; ++i)
    {
        last = node.subject.admit_account(greedy, at(0), node.random);
    }
    CHECK_TRUE(last.has_value());
    CHECK_TRUE(last->reason == refusal_reason::account_limit);
    CHECK_TRUE(last->retry_after.count() > 0);
    CHECK_FALSE(node.subject.admit_account(other, at(0), node.random).has_value());
    CHECK_FALSE(node.subject.admit_account(greedy, at(1'000), node.random).has_value());
}

// Fails when a change of members refills the bucket.
TEST(account_limit, a_change_of_members_keeps_what_was_used)
{
    const std::vector<core::address> nodes = node_names(1);
    policy::account_limit subject;
    subject.set_nodes(nodes[0], nodes);
    const settings::account_config account = account_of("a", 1, 20);
    for (int i = 0; i < 20; ++i)
    {
        LONGS_EQUAL(0, subject.admit(account, at(0)).count());
    }
    for (std::size_t count = 1; count < 5; ++count)
    {
        subject.set_nodes(nodes[0], node_names(count));
        CHECK_TRUE(subject.admit(account, at(0)).count() > 0);
    }
}
