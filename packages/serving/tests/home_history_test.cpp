/// Tests that homes that moved bind everywhere within the bound, and that requests with homes are
/// served otherwise.

#include <cstddef>

#include "home_history.hpp"

using namespace snipeplank;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;
using snipeplank::tests::check_property;

namespace
{

/// A number of [from, to), equally likely whatever the size of the case.
template <typename Number>
Number any_of(Number from, Number to)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to));
}

home_fleet random_fleet(home_history kind)
{
    const auto regions = any_of<std::size_t>(2, 4);
    const auto nodes = any_of<std::size_t>(regions, 11);
    return {nodes, regions, kind, *rc::gen::arbitrary<std::uint64_t>()};
}

void run_for(home_fleet& fleet, core::milliseconds span)
{
    for (core::milliseconds passed{0}; passed < span; passed += step)
    {
        fleet.advance();
    }
}

} // namespace

TEST_GROUP(home_history){};

// Fails when a node places by homes that it can't know to be the newest ones (issue 70, HOME).
TEST(home_history, no_request_runs_where_homes_excluded_it_longer_ago_than_the_bound)
{
    check_property("no request with homes runs outside them later than the bound",
                   []
                   {
                       const auto kind = static_cast<home_history>(
                           any_of(0, static_cast<int>(home_history::last_kind) + 1));
                       home_fleet fleet = random_fleet(kind);
                       fleet.publish();
                       constexpr int steps = 500;
                       const int interval = any_of(40, 300);
                       for (int i = 1; i <= steps; ++i)
                       {
                           if (i % interval == 0)
                               fleet.publish();
                           fleet.advance();
                           RC_ASSERT(!fleet.is_placed_late());
                       }
                   });
}

// Fails when nodes refuse homes while the store is away for all of them (issue 70, HOME).
TEST(home_history, requests_with_homes_are_served_while_the_store_is_away_for_all)
{
    check_property("a store that is away for all makes no node refuse homes",
                   []
                   {
                       home_fleet fleet = random_fleet(home_history::calm);
                       fleet.publish();
                       run_for(fleet, 10s);
                       // Some nodes may miss the newest version; they copy it from the others.
                       fleet.publish();
                       run_for(fleet, core::milliseconds{any_of(0, 5'000)});
                       fleet.take_store_down();
                       run_for(fleet, 10s);
                       fleet.forget_counts();
                       run_for(fleet, 15s);
                       RC_ASSERT(fleet.placed() > 0U);
                       RC_ASSERT(fleet.refused() == 0U);
                   });
}

// Fails when a node refuses homes although it hears of every version (issue 70, HOME).
TEST(home_history, nothing_is_refused_in_calm)
{
    check_property("in calm, homes that move make no node refuse",
                   []
                   {
                       home_fleet fleet = random_fleet(home_history::calm);
                       fleet.publish();
                       run_for(fleet, 3s);
                       fleet.forget_counts();
                       const core::milliseconds between{any_of(500, 8'000)};
                       constexpr int versions = 5;
                       for (int i = 0; i < versions; ++i)
                       {
                           fleet.publish();
                           run_for(fleet, between);
                       }
                       RC_ASSERT(fleet.placed() > 0U);
                       RC_ASSERT(fleet.refused() == 0U);
                       RC_ASSERT(fleet.turned_back() == 0U);
                   });
}
