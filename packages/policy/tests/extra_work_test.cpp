/// Guards the extra-attempt budget: retries and hedges must not multiply the load during a fault.

#include <snipeplank/policy/extra_attempt_budget.hpp>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

TEST_GROUP(extra_work){};

// Fails when retries or hedges are not counted against the budget.
TEST(extra_work, retries_and_hedges_together_stay_within_a_tenth_over_arbitrary_failures)
{
    snipeplank::tests::check_property(
        "extra attempts <= first attempts / 10 + the initial fill",
        []
        {
            one_node node(4);
            const int calls = *rc::gen::inRange(1, 200);
            const int failing = *rc::gen::inRange(0, 101);
            long now = 0;
            for (int i = 0; i < calls; ++i)
            {
                now += *rc::gen::inRange(1, 200);
                call_view call = free_call();
                decision made = node.route(call, now);
                while (const use_upstream* target = sent_to_upstream(made))
                {
                    call.tried.push_back(target->address);
                    if (node.subject.hedge_delay(call, at(now)) && node.subject.take_hedge(at(now)))
                    {
                        call.kind = attempt_kind::hedge;
                        const decision hedge = node.route(call, now + 1);
                        if (const use_upstream* second = sent_to_upstream(hedge))
                            node.subject.on_abandoned(second->attempt, at(now + 2));
                    }
                    const bool fails = *rc::gen::inRange(0, 100) < failing;
                    node.subject.on_finished(
                        target->attempt,
                        fails ? attempt_outcome::failed : attempt_outcome::answered, at(now + 50));
                    if (!fails ||
                        !node.subject.may_retry(call, retry_reason::upstream_failed, at(now + 50)))
                        break;
                    call.kind = attempt_kind::retry;
                    made = node.route(call, now + 50);
                }
            }
            const extra_work work = node.subject.work();
            RC_ASSERT(work.retries + work.hedges <=
                      work.first_attempts / 10 + extra_attempt_budget::initial_extra);
        });
}

// Fails when a call that may have run is retried although it is not idempotent.
TEST(extra_work, a_call_that_is_not_idempotent_is_retried_only_when_proven_not_run)
{
    struct row
    {
        retry_reason reason;
        bool is_idempotent;
        bool expected;
    };
    const row rows[] = {
        {retry_reason::connect_failed, false, true},
        {retry_reason::refused_before_run, false, true},
        {retry_reason::upstream_failed, false, false},
        {retry_reason::answer_truncated, false, false},
        {retry_reason::peer_unreachable, false, false},
        {retry_reason::upstream_failed, true, true},
        {retry_reason::answer_truncated, true, true},
        {retry_reason::peer_unreachable, true, true},
    };
    for (const row& test : rows)
    {
        one_node node(2);
        call_view call = free_call();
        call.is_idempotent = test.is_idempotent;
        call.tried.push_back(upstream_name(0));
        CHECK_TRUE(node.subject.may_retry(call, test.reason, at(0)) == test.expected);
    }
}

// Fails when a retry is routed to an upstream that has failed for this call.
TEST(extra_work, a_retry_goes_to_an_upstream_that_was_not_tried)
{
    one_node node(3);
    call_view call = free_call();
    call.tried = {upstream_name(0), upstream_name(2)};
    call.kind = attempt_kind::retry;
    for (int i = 0; i < 5; ++i)
    {
        const decision made = node.route(call, i);
        CHECK_TRUE(sent_to_upstream(made) != nullptr);
        CHECK_TRUE(sent_to_upstream(made)->address == upstream_name(1));
    }
    call.tried.push_back(upstream_name(1));
    CHECK_FALSE(node.subject.may_retry(call, retry_reason::connect_failed, at(10)));
    CHECK_TRUE(refused(node.route(call, 10)) != nullptr);
}

// Fails when both the sending and the receiving region retry, which multiplies the load.
TEST(extra_work, a_call_from_another_region_is_not_retried_or_hedged_here)
{
    one_node node(3);
    call_view call = free_call();
    call.path = call.path.with({region_name(1), core::zone_id{"r1-a"}, core::address{"m"}});
    call.tried.push_back(upstream_name(0));
    CHECK_FALSE(node.subject.may_retry(call, retry_reason::connect_failed, at(0)));
    CHECK_FALSE(node.subject.hedge_delay(call, at(0)).has_value());
}

// Fails when calls that are not late, or not idempotent, are hedged.
TEST(extra_work, only_an_idempotent_call_that_is_late_gets_a_hedge_delay)
{
    one_node node(4);
    for (int i = 0; i < 100; ++i)
    {
        CHECK_TRUE(node.serve(free_call(), i * 100L, 40 + i % 10));
    }
    call_view call = free_call();
    call.tried.push_back(upstream_name(0));
    const std::optional<core::milliseconds> delay = node.subject.hedge_delay(call, at(10'000));
    CHECK_TRUE(delay.has_value());
    CHECK_TRUE(delay->count() > 8 * 40L); // several times the median
    call.is_idempotent = false;
    CHECK_FALSE(node.subject.hedge_delay(call, at(10'000)).has_value());
    call.is_idempotent = true;
    call.remaining = core::milliseconds{50};
    CHECK_FALSE(node.subject.hedge_delay(call, at(10'000)).has_value());
}

// Fails when hedges are sent to upstreams with calls that wait for their first byte. These hedges
// doubled the tail latency of a cold region.
TEST(extra_work, no_hedge_while_every_alternative_has_a_call_without_a_first_byte)
{
    one_node node(3);
    for (int i = 0; i < 100; ++i)
    {
        CHECK_TRUE(node.serve(free_call(), i * 100L, 40));
    }
    call_view call = free_call();
    std::vector<use_upstream> open;
    for (int i = 0; i < 3; ++i)
    {
        const decision made = node.route(call, 10'000);
        CHECK_TRUE(sent_to_upstream(made) != nullptr);
        open.push_back(*sent_to_upstream(made));
        call.tried.push_back(open.back().address);
    }
    call.tried = {open[0].address};
    CHECK_FALSE(node.subject.hedge_delay(call, at(10'001)).has_value());
    node.subject.on_first_byte(open[2].attempt, at(10'040));
    CHECK_TRUE(node.subject.hedge_delay(call, at(10'041)).has_value());
}
