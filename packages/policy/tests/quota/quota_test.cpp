#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

#include "property.hpp"
#include "quota_fleet.hpp"

namespace snipeplank::policy::tests
{

using snipeplank::tests::check_property;

namespace
{

constexpr double long_request = 12'000;
constexpr double short_request = 900;

/// What happens to the nodes while callers ask for several times the limit.
enum class quota_history
{
    calm,
    single_kills, ///< processes that start again and know their share late
    mass_restart, ///< all at once
    cut_regions,  ///< no message between regions
    cut_nodes,    ///< a part of the nodes reaches nobody
    frozen_nodes, ///< a part of the nodes stands still for seconds, several times
    last_kind = frozen_nodes,
};

/// Requests of several sizes at all nodes, or at a few.
void ask(quota_fleet& fleet, double per_second, std::size_t nodes)
{
    constexpr std::array<double, 4> sizes{short_request, short_request, long_request, 50'000};
    const double seconds = std::chrono::duration<double>(quota_fleet::step).count();
    for (double left = per_second * seconds; left > 0;)
    {
        const double size = sizes[fleet.random().below(sizes.size())];
        // The last request of a step is drawn with the chance that fits what is left.
        if (left < size && fleet.random().unit() * size > left)
            return;
        fleet.request(fleet.random().below(nodes), size);
        left -= size;
    }
}

void disturb(quota_fleet& fleet, quota_history kind, unsigned step)
{
    constexpr unsigned steps_per_second = 20;
    const std::size_t node = fleet.random().below(fleet.size());
    const bool is_second = step % steps_per_second == 0;
    switch (kind)
    {
    case quota_history::calm:
        break;
    case quota_history::single_kills:
        if (fleet.random().unit() < 0.2)
            fleet.start(node, false);
        else if (fleet.random().unit() < 0.2)
            fleet.learn_share(node);
        break;
    case quota_history::mass_restart:
        if (step == 4 * steps_per_second)
        {
            for (std::size_t i = 0; i < fleet.size(); ++i)
            {
                fleet.start(i, false);
            }
        }
        if (step > 6 * steps_per_second)
            fleet.learn_share(node);
        break;
    case quota_history::cut_regions:
        if (step == 2 * steps_per_second)
        {
            for (std::size_t i = 0; i < fleet.size(); ++i)
            {
                fleet.set_side(i, static_cast<unsigned>(i % fleet.shape().regions));
            }
        }
        break;
    case quota_history::cut_nodes:
        if (is_second)
            fleet.set_side(node, fleet.random().unit() < 0.7 ? 1 + step : 0);
        break;
    case quota_history::frozen_nodes:
        if (fleet.random().unit() < 0.3)
            fleet.freeze(node, milliseconds{500 + static_cast<long>(fleet.random().below(5'000))});
        break;
    }
}

quota_shape any_shape()
{
    constexpr std::array<std::size_t, 6> sizes{1, 2, 6, 18, 70, 300};
    quota_shape shape;
    const auto pick = *rc::gen::inRange<unsigned>(0, 100);
    shape.nodes = pick < 2 ? sizes[5] : sizes[pick % 5];
    shape.regions = std::min<std::size_t>(shape.nodes, *rc::gen::inRange<std::size_t>(1, 4));
    shape.limit.per_second = *rc::gen::inRange<int>(1, 3'000) * 1'000.0;
    // Without any excess allowed, units that are used late show.
    shape.limit.burst = *rc::gen::element(0.0, 1.0) * shape.limit.per_second;
    shape.bound.overshoot = *rc::gen::element(0.0, 0.25);
    shape.bound.slack = *rc::gen::element(0.0, 140'000.0);
    return shape;
}

} // namespace

TEST_GROUP(quota){};

/// Guards against units that are used twice or too late: at a node that was killed, cut off or
/// frozen, or after they went from node to node.
TEST(quota, all_nodes_together_keep_the_bound_whatever_happens_to_them)
{
    check_property("no window exceeds the bound",
                   []
                   {
                       const quota_shape shape = any_shape();
                       const auto kind = static_cast<quota_history>(*rc::gen::inRange<int>(
                           0, static_cast<int>(quota_history::last_kind) + 1));
                       quota_fleet fleet(shape, *rc::gen::arbitrary<std::uint64_t>());
                       fleet.longest_transit = max_charge_age;
                       const double pressure = *rc::gen::inRange<int>(1, 9);
                       const std::size_t asked_nodes =
                           *rc::gen::inRange<std::size_t>(1, shape.nodes + 1);
                       constexpr unsigned steps = 400;
                       // Nodes fill while nobody asks; then all of it is asked for.
                       const unsigned quiet_steps = *rc::gen::inRange<unsigned>(0, 200);
                       for (unsigned step = 0; step < steps; ++step)
                       {
                           disturb(fleet, kind, step);
                           if (step >= quiet_steps)
                               ask(fleet, shape.limit.per_second * pressure, asked_nodes);
                           fleet.advance();
                       }
                       RC_ASSERT(fleet.most_in_a_window() <= shape.bound.of(shape.limit) * 1.0001);
                   });
}

namespace
{

/// Part of the limit that is used in the last 16 s of 20, by callers that ask for a little more.
double used_part(quota_fleet& fleet, const std::vector<std::size_t>& nodes)
{
    constexpr unsigned steps = 400;
    constexpr unsigned warm_up = 80;
    core::time_point since{};
    for (unsigned step = 0; step < steps; ++step)
    {
        if (step == warm_up)
            since = fleet.now();
        const double seconds = std::chrono::duration<double>(quota_fleet::step).count();
        double left = fleet.shape().limit.per_second * 1.3 * seconds;
        while (left > 0)
        {
            const double size = fleet.random().below(2) == 0 ? short_request : long_request;
            if (left < size && fleet.random().unit() * size > left)
                break;
            fleet.request(nodes[fleet.random().below(nodes.size())], size);
            left -= size;
        }
        fleet.advance();
    }
    const double seconds = std::chrono::duration<double>(fleet.now() - since).count();
    return fleet.used_since(since) / (fleet.shape().limit.per_second * seconds);
}

struct usage_row
{
    const char* name;
    std::size_t nodes;
    std::vector<std::size_t> asked;
    double per_second;
};

} // namespace

/// Guards against equal shares that are of no use where the callers are.
TEST(quota, in_calm_nearly_the_whole_limit_can_be_used_whatever_nodes_are_asked)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < 70; ++i)
    {
        all.push_back(i);
    }
    const std::vector<usage_row> rows{
        {"all nodes of seventy", 70, all, 500'000},
        {"two nodes of one region", 70, {0, 3}, 500'000},
        {"two nodes of two regions", 70, {0, 1}, 500'000},
        {"one node", 70, {5}, 500'000},
        {"two nodes, a large limit", 70, {0, 3}, 3'000'000},
        {"two nodes, a small limit", 70, {0, 3}, 100'000},
        {"all nodes, a small limit", 70, all, 100'000},
        {"six nodes", 6, {0, 1}, 500'000},
        {"a single node", 1, {0}, 500'000},
    };
    for (const usage_row& row : rows)
    {
        quota_shape shape;
        shape.nodes = row.nodes;
        shape.regions = std::min<std::size_t>(3, row.nodes);
        shape.limit.per_second = row.per_second;
        shape.limit.burst = row.per_second;
        quota_fleet fleet(shape, 7);
        const double part = used_part(fleet, row.asked);
        CHECK_TEXT(part >= 0.9, (std::string(row.name) + ": " + std::to_string(part)).c_str());
    }
}

/// Guards against requests that are refused for their size: many small ones would take all units.
TEST(quota, large_requests_are_granted_about_as_often_as_small_ones)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < 70; ++i)
    {
        all.push_back(i);
    }
    quota_fleet fleet(quota_shape{}, 11);
    constexpr unsigned steps = 400;
    for (unsigned step = 0; step < steps; ++step)
    {
        ask(fleet, fleet.shape().limit.per_second * 3, fleet.size());
        fleet.advance();
    }
    const double small = fleet.by_amount[short_request].share();
    const double large = fleet.by_amount[50'000].share();
    CHECK_TEXT(large >= small / 2,
               ("small " + std::to_string(small) + ", large " + std::to_string(large)).c_str());
}

/// Guards against messages that grow with the fleet.
TEST(quota, messages_stay_within_their_bound)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < 76; ++i)
    {
        all.push_back(i);
    }
    quota_shape shape;
    shape.nodes = 76;
    quota_fleet fleet(shape, 13);
    static_cast<void>(used_part(fleet, all));
    constexpr double seconds = 20;
    const double per_node = fleet.bytes_sent() / seconds / 76;
    CHECK_TEXT(per_node <= 2'000, std::to_string(per_node).c_str());
}

/// Guards against a request that runs on units that others have used meanwhile.
TEST(quota, a_charge_is_void_after_its_time)
{
    const quota_shape shape;
    quota_fleet fleet(shape, 3);
    quota_units units;
    const core::time_point begin = fleet.now();
    units.add({begin, 10});
    DOUBLES_EQUAL(10, units.available(begin + quota_units::max_age), 1e-9);
    DOUBLES_EQUAL(0, units.available(begin + quota_units::max_age + milliseconds{1}), 1e-9);
}

namespace
{

class no_network final : public quota_network
{
  public:
    void send(const core::address&, quota_message) override {}
};

} // namespace

/// Guards against units that become young again on their way: from a node that held them for long,
/// over a slow path, or in answer to another process.
TEST(quota, units_of_another_node_are_as_old_as_they_can_be)
{
    struct row
    {
        const char* name;
        milliseconds age;
        milliseconds on_the_way;
        std::uint64_t asker;
        milliseconds usable_for; ///< after the arrival; 0: not at all
    };
    constexpr std::uint64_t self = 7;
    const row rows[] = {
        {"fresh", milliseconds{0}, milliseconds{0}, self, milliseconds{2'000}},
        {"old where it was", milliseconds{1'500}, milliseconds{0}, self, milliseconds{500}},
        {"long on the way", milliseconds{0}, milliseconds{1'500}, self, milliseconds{500}},
        {"both", milliseconds{700}, milliseconds{800}, self, milliseconds{500}},
        {"void where it was", milliseconds{2'001}, milliseconds{0}, self, milliseconds{0}},
        {"void on the way", milliseconds{1'000}, milliseconds{1'001}, self, milliseconds{0}},
        {"for a former process", milliseconds{0}, milliseconds{0}, 8, milliseconds{0}},
    };
    const core::time_point asked{std::chrono::hours{1}};
    const auto stamp = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(asked.time_since_epoch()).count());
    const quota_key account = quota_key_of(core::account_id{"a"});
    for (const row& each : rows)
    {
        no_network network;
        quota_exchange node(self, network);
        node.set_limits({{account, 1'000}}, asked);
        const core::time_point arrived = asked + each.on_the_way;
        quota_message message;
        message.asker = each.asker;
        message.grants.push_back(
            {account, stamp, static_cast<std::uint32_t>(each.age.count()), 100, true});
        node.on_message(core::address{"10.0.0.2:1"}, message, arrived);
        const bool is_usable = each.usable_for.count() > 0;
        DOUBLES_EQUAL_TEXT(is_usable ? 100 : 0, node.available(account, arrived), 1e-9, each.name);
        const core::time_point later = arrived + each.usable_for + milliseconds{1};
        DOUBLES_EQUAL_TEXT(0, node.available(account, later), 1e-9, each.name);
    }
}

/// Guards against units of the time before a node knew its share.
TEST(quota, a_node_fills_nothing_before_it_knows_its_share)
{
    quota_units units;
    const core::time_point begin{std::chrono::hours{1}};
    quota_fill fill(100, begin);
    fill.fill(units, begin + milliseconds{500});
    DOUBLES_EQUAL(50, units.available(begin + milliseconds{500}), 1e-6);
    fill.fill(units, begin + milliseconds{10'000});
    DOUBLES_EQUAL(200, units.available(begin + milliseconds{10'000}), 1e-6);
}

} // namespace snipeplank::policy::tests
