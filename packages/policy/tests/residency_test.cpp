/// Guards requirement 1: a bound call is never routed to another region.

#include <snipeplank/policy/residency.hpp>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;
using settings::residency;

TEST_GROUP(residency_rules){};

TEST(residency_rules, the_stricter_of_service_and_header_holds_and_unknown_text_is_bound)
{
    struct row
    {
        residency service;
        std::optional<std::string_view> header;
        residency expected;
    };
    const row rows[] = {
        {residency::free, std::nullopt, residency::free},
        {residency::free, "free", residency::free},
        {residency::free, "bound", residency::bound},
        {residency::free, "Free", residency::bound},
        {residency::free, "", residency::bound},
        {residency::free, "anywhere", residency::bound},
        {residency::bound, std::nullopt, residency::bound},
        {residency::bound, "free", residency::bound},
        {residency::bound, "bound", residency::bound},
    };
    for (const row& test : rows)
    {
        CHECK_TRUE(effective_residency(test.service, test.header) == test.expected);
    }
}

TEST(residency_rules, a_bound_call_may_be_served_at_home_only)
{
    const core::region_id home = region_name(0);
    const core::region_id none;
    CHECK_TRUE(may_be_served_in(residency::bound, home, home));
    CHECK_FALSE(may_be_served_in(residency::bound, home, region_name(1)));
    CHECK_FALSE(may_be_served_in(residency::bound, none, home));
    CHECK_TRUE(may_be_served_in(residency::free, none, home));
}

// Fails when the spill, a retry or a hedge of a bound call is sent to another region.
TEST(residency_rules, bound_calls_retries_and_hedges_never_leave_the_region)
{
    snipeplank::tests::check_property(
        "no attempt of a bound call is sent to a region",
        []
        {
            const auto upstreams = *rc::gen::inRange<std::size_t>(0, 4);
            one_node node(upstreams);
            node.subject.set_regions({free_region(1), free_region(2)}, at(0));
            const int calls = *rc::gen::inRange(1, 40);
            for (int i = 0; i < calls; ++i)
            {
                // With an empty home, the entry node's region is the home region.
                call_view call =
                    bound_call(*rc::gen::arbitrary<bool>() ? region_name(0) : core::region_id{});
                decision made = node.route(call, i);
                for (int attempt = 0; attempt < 4; ++attempt)
                {
                    RC_ASSERT(sent_to_remote(made) == nullptr);
                    const use_upstream* target = sent_to_upstream(made);
                    if (target == nullptr)
                        break;
                    call.tried.push_back(target->address);
                    const bool is_hedge = *rc::gen::arbitrary<bool>();
                    call.kind = is_hedge ? attempt_kind::hedge : attempt_kind::retry;
                    if (!is_hedge)
                        node.subject.on_finished(target->attempt, attempt_outcome::failed, at(i));
                    made = node.route(call, i);
                }
            }
        });
}

// Fails when a bound call with another home region is served because the home is not checked.
TEST(residency_rules, a_bound_call_of_another_home_is_refused_with_wrong_region)
{
    one_node node(2);
    const decision made = node.route(bound_call(region_name(1)), 0);
    CHECK_TRUE(refused(made) != nullptr);
    CHECK_TRUE(refused(made)->reason == refusal_reason::wrong_region);
    CHECK_TRUE(refused(made)->executed == execution::no);
}

// Fails when the receiver relies on the sender's residency check.
TEST(residency_rules, the_receiver_refuses_a_bound_call_without_home_from_another_region)
{
    one_node node(2);
    call_view call = bound_call(core::region_id{});
    call.path =
        call.path.with({region_name(1), core::zone_id{"r1-a"}, core::address{"127.0.0.1:9"}});
    CHECK_TRUE(refused(node.route(call, 0)) != nullptr);
}

// Fails when an attempt is placed by the residency with which its call began (issue 70, HOME).
TEST(residency_rules, a_service_that_has_become_bound_binds_calls_that_began_before)
{
    enum class outcome
    {
        upstream,
        region,
        refused,
    };
    const core::region_id here = region_name(0);
    const core::region_id other = region_name(1);
    const core::region_id unknown;
    struct row
    {
        const char* name;
        residency began;
        residency newest;
        core::region_id home;
        core::region_id entry; ///< where the call entered; the path is empty at the entry node
        attempt_kind kind;
        bool is_upstream_tried;
        outcome expected;
    };
    using enum attempt_kind;
    constexpr residency free = residency::free;
    constexpr residency bound = residency::bound;
    const row rows[] = {
        {"free all along", free, free, here, here, retry, true, outcome::region},
        {"not begun", free, bound, here, here, first, true, outcome::refused},
        {"repeated", free, bound, here, here, retry, true, outcome::refused},
        {"hedged", free, bound, here, here, hedge, true, outcome::refused},
        {"home unknown", free, bound, unknown, here, retry, true, outcome::refused},
        {"repeated at home", free, bound, here, here, retry, false, outcome::upstream},
        {"began bound", bound, free, here, here, retry, true, outcome::refused},
        {"away, free all along", free, free, other, here, retry, false, outcome::upstream},
        {"away, not begun", free, bound, other, here, first, false, outcome::refused},
        {"away, repeated", free, bound, other, here, retry, false, outcome::refused},
        {"away, hedged", free, bound, other, here, hedge, false, outcome::refused},
        {"away, would go home", free, bound, other, here, retry, true, outcome::refused},
        {"received, free", free, free, other, other, first, false, outcome::upstream},
        {"received, repeated", free, bound, other, other, retry, false, outcome::refused},
        {"received, home unknown", free, bound, unknown, other, first, false, outcome::refused},
        {"received at home", free, bound, here, other, first, false, outcome::upstream},
    };
    for (const row& test : rows)
    {
        one_node node(1);
        node.subject.set_regions({free_region(1), free_region(2)}, at(0));
        settings::published_config newest = make_config();
        newest.services[model].residency = test.newest;
        node.subject.set_config(newest);
        call_view call = free_call();
        call.residency = test.began;
        call.home = test.home;
        call.kind = test.kind;
        if (test.entry != here)
            call.path = call.path.with(
                {test.entry, core::zone_id{test.entry.get() + "-a"}, core::address{"127.0.0.1:9"}});
        if (test.is_upstream_tried)
            call.tried.push_back(upstream_name(0));
        const decision made = node.route(call, 1);
        CHECK_TRUE_TEXT((sent_to_upstream(made) != nullptr) == (test.expected == outcome::upstream),
                        test.name);
        CHECK_TRUE_TEXT((sent_to_remote(made) != nullptr) == (test.expected == outcome::region),
                        test.name);
        CHECK_TRUE_TEXT((refused(made) != nullptr) == (test.expected == outcome::refused),
                        test.name);
    }
}

// Fails when a retry is granted that no region may run by the newest residency (issue 70, HOME).
TEST(residency_rules, a_retry_is_granted_only_where_the_newest_residency_allows_it)
{
    const core::region_id here = region_name(0);
    const core::region_id other = region_name(1);
    struct row
    {
        const char* name;
        residency newest;
        core::region_id home;
        bool is_upstream_tried;
        bool expected;
    };
    const row rows[] = {
        {"free, upstream left", residency::free, here, false, true},
        {"free, region left", residency::free, here, true, true},
        {"free and away", residency::free, other, false, true},
        {"bound, upstream left", residency::bound, here, false, true},
        {"bound, region left", residency::bound, here, true, false},
        {"bound and away", residency::bound, other, false, false},
        {"bound and away, region left", residency::bound, other, true, false},
    };
    for (const row& test : rows)
    {
        one_node node(1);
        node.subject.set_regions({free_region(1)}, at(0));
        settings::published_config newest = make_config();
        newest.services[model].residency = test.newest;
        node.subject.set_config(newest);
        call_view call = free_call();
        call.home = test.home;
        if (test.is_upstream_tried)
            call.tried.push_back(upstream_name(0));
        CHECK_TRUE_TEXT(node.subject.may_retry(call, retry_reason::connect_failed, at(1)) ==
                            test.expected,
                        test.name);
    }
}

// Fails when a call is served by a home that its account has no more (issue 70, HOME).
TEST(residency_rules, a_home_that_has_moved_binds_calls_that_began_before)
{
    const core::region_id here = region_name(0);
    const core::region_id other = region_name(1);
    const core::region_id unknown;
    constexpr residency free = residency::free;
    constexpr residency bound = residency::bound;
    struct row
    {
        const char* name;
        residency began;
        residency newest;
        core::region_id home;
        core::region_id newest_home;
        bool is_served;
    };
    const row rows[] = {
        {"home all along", bound, bound, here, here, true},
        {"account unknown to the newest", bound, bound, here, unknown, true},
        {"home moved away", bound, bound, here, other, false},
        {"home moved here", bound, bound, other, here, false},
        {"entered here without a home, lives here", bound, bound, unknown, here, true},
        {"entered here without a home, lives elsewhere", bound, bound, unknown, other, false},
        {"bound by the caller, home moved away", bound, free, here, other, false},
        {"began free, home moved away", free, bound, here, other, false},
        {"free, home moved away", free, free, here, other, true},
    };
    for (const row& test : rows)
    {
        for (const attempt_kind kind :
             {attempt_kind::first, attempt_kind::retry, attempt_kind::hedge})
        {
            one_node node(1);
            settings::published_config newest = make_config();
            newest.services[model].residency = test.newest;
            node.subject.set_config(newest);
            call_view call = free_call();
            call.residency = test.began;
            call.home = test.home;
            call.newest_home = test.newest_home;
            call.kind = kind;
            const bool may_retry =
                node.subject.may_retry(call, retry_reason::connect_failed, at(1));
            CHECK_TRUE_TEXT(may_retry == test.is_served, test.name);
            const decision made = node.route(call, 1);
            CHECK_TRUE_TEXT((sent_to_upstream(made) != nullptr) == test.is_served, test.name);
            if (test.is_served)
                continue;
            CHECK_TRUE_TEXT(refused(made) != nullptr, test.name);
            CHECK_TRUE_TEXT(refused(made)->reason == refusal_reason::wrong_region, test.name);
            CHECK_TRUE_TEXT(refused(made)->executed == execution::no, test.name);
        }
    }
}
