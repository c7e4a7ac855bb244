/// Guards admission: immediate refusal when the answer would be late, none while capacity is free.

#include <snipeplank/policy/retry_after.hpp>

#include <set>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

TEST_GROUP(admission){};

// Fails when a limit or an estimate refuses for overload although an upstream is idle.
TEST(admission, no_refusal_for_overload_while_a_usable_upstream_is_idle)
{
    snipeplank::tests::check_property(
        "a refusal for overload means that no usable upstream is idle",
        []
        {
            constexpr std::size_t count = 3;
            one_node node(count);
            std::vector<core::address> nodes;
            const int live = *rc::gen::inRange(1, 60);
            for (int i = 1; i <= live; ++i)
            {
                nodes.push_back(core::address{"127.0.0.1:" + std::to_string(i)});
            }
            node.subject.set_nodes(nodes);
            std::vector<unsigned> own(count, 0);
            std::vector<unsigned> reported(count, 0);
            std::vector<use_upstream> open;
            long now = 0;
            const int steps = *rc::gen::inRange(1, 150);
            for (int i = 0; i < steps; ++i)
            {
                now += *rc::gen::inRange(0, 300);
                const int event = *rc::gen::inRange(0, 8);
                if (event == 0)
                {
                    const auto which = *rc::gen::inRange<std::size_t>(0, count);
                    const bool is_idle = *rc::gen::arbitrary<bool>();
                    const unsigned running = is_idle ? 0 : *rc::gen::inRange(0U, 30U);
                    const unsigned waiting = is_idle ? 0 : *rc::gen::inRange(0U, 10U);
                    reported[which] = running + waiting;
                    node.subject.on_load_report(upstream_name(which), running, waiting, 0.5,
                                                at(now));
                    continue;
                }
                if (event <= 2 && !open.empty())
                {
                    const use_upstream done = open.back();
                    open.pop_back();
                    for (std::size_t u = 0; u < count; ++u)
                    {
                        own[u] -= done.address == upstream_name(u) ? 1 : 0;
                    }
                    const auto outcome =
                        *rc::gen::element(attempt_outcome::answered, attempt_outcome::refused_busy,
                                          attempt_outcome::caller_at_fault);
                    node.subject.on_finished(done.attempt, outcome, at(now));
                    continue;
                }
                call_view call = free_call();
                if (*rc::gen::arbitrary<bool>())
                    call.priority = call_priority::batch;
                const decision made = node.route(call, now);
                if (const use_upstream* target = sent_to_upstream(made))
                {
                    open.push_back(*target);
                    for (std::size_t u = 0; u < count; ++u)
                    {
                        own[u] += target->address == upstream_name(u) ? 1 : 0;
                    }
                    continue;
                }
                if (refused(made)->reason != refusal_reason::overloaded)
                    continue;
                std::set<core::address> ejected;
                for (const candidate& seen : made.candidates)
                {
                    if (seen.passed_over == "ejected")
                        ejected.insert(seen.address);
                }
                for (std::size_t u = 0; u < count; ++u)
                {
                    if (ejected.contains(upstream_name(u)))
                        continue;
                    RC_ASSERT(own[u] + reported[u] > 0);
                }
            }
        });
}

// Fails when a call is queued although its predicted answer is after its deadline.
TEST(admission, a_wait_beyond_the_deadline_is_refused_at_once)
{
    one_node node(1);
    for (int i = 0; i < 20; ++i)
    {
        CHECK_TRUE(node.serve(free_call(), i * 1'000L, 500));
    }
    // Other nodes' calls fill the engine: eight run, twenty wait.
    for (int i = 0; i < 8; ++i)
    {
        node.subject.on_load_report(upstream_name(0), 8, 20, 0.5, at(20'000 + i));
    }
    const decision tight = node.route(free_call(1'000), 20'010);
    CHECK_TRUE(refused(tight) != nullptr);
    CHECK_TRUE(refused(tight)->reason == refusal_reason::overloaded);
    CHECK_TRUE(refused(tight)->retry_after.count() > 0);
    CHECK_TRUE(sent_to_upstream(node.route(free_call(10'000), 20'011)) != nullptr);
}

// Fails when a deadline that even an idle upstream cannot meet is refused as overload.
TEST(admission, a_deadline_shorter_than_the_upstream_needs_is_refused_as_too_short)
{
    one_node node(1);
    for (int i = 0; i < 20; ++i)
    {
        CHECK_TRUE(node.serve(free_call(), i * 1'000L, 500));
    }
    const decision made = node.route(free_call(100), 20'000);
    CHECK_TRUE(refused(made) != nullptr);
    CHECK_TRUE(refused(made)->reason == refusal_reason::deadline_too_short);
    const decision passed = node.route(free_call(0), 20'000);
    CHECK_TRUE(refused(passed)->reason == refusal_reason::deadline_passed);
}

// Fails when batch calls use the last slots, so that interactive calls are refused.
TEST(admission, batch_is_refused_before_interactive)
{
    one_node node(2);
    call_view batch = free_call();
    batch.priority = call_priority::batch;
    int batch_admitted = 0;
    while (sent_to_upstream(node.route(batch, 0)) != nullptr)
    {
        ++batch_admitted;
    }
    int interactive_admitted = 0;
    while (sent_to_upstream(node.route(free_call(), 0)) != nullptr)
    {
        ++interactive_admitted;
    }
    CHECK_TRUE(batch_admitted > 0);
    CHECK_TRUE(interactive_admitted > 0);
    const decision made = node.route(batch, 0);
    CHECK_TRUE(refused(made) != nullptr);
    CHECK_TRUE(refused(made)->reason == refusal_reason::overloaded);
}

// Fails when a refusal lacks the data that explains it to an operator.
TEST(admission, a_refusal_carries_its_candidates_and_the_limits_met)
{
    one_node node(2);
    node.subject.on_leaving(upstream_name(1), at(0));
    while (sent_to_upstream(node.route(free_call(), 0)) != nullptr)
    {
    }
    const decision made = node.route(free_call(), 0);
    UNSIGNED_LONGS_EQUAL(2, made.candidates.size());
    const std::set<std::string> met(made.limits_met.begin(), made.limits_met.end());
    CHECK_TRUE(met.contains("concurrency"));
    CHECK_TRUE(met.contains("leaving"));
}

// Fails when callers that were refused together retry at the same time.
TEST(admission, retry_after_is_spread)
{
    core::seeded_random random{3};
    std::set<long> times;
    for (int i = 0; i < 200; ++i)
    {
        const core::milliseconds time = jittered_retry_after(core::milliseconds{1'000}, random);
        CHECK_TRUE(time.count() >= 1'000 && time.count() < 2'000);
        times.insert(time.count());
    }
    CHECK_TRUE(times.size() > 100);
}

// Fails when an attempt stays counted after its end, or an end is counted twice.
TEST(admission, every_end_of_an_attempt_frees_its_slot_once)
{
    one_node node(1);
    for (int round = 0; round < 5; ++round)
    {
        std::vector<attempt_id> open;
        decision made = node.route(free_call(), round);
        while (const use_upstream* target = sent_to_upstream(made))
        {
            open.push_back(target->attempt);
            made = node.route(free_call(), round);
        }
        UNSIGNED_LONGS_EQUAL(8, open.size());
        for (const attempt_id id : open)
        {
            node.subject.on_abandoned(id, at(round));
            node.subject.on_abandoned(id, at(round));
            node.subject.on_finished(id, attempt_outcome::answered, at(round));
        }
    }
}

// Fails when an upstream's calls in flight are lost after one list without it.
TEST(admission, a_flapping_list_does_not_lose_calls_in_flight)
{
    one_node node(1);
    decision made = node.route(free_call(), 0);
    std::vector<attempt_id> open;
    while (const use_upstream* target = sent_to_upstream(made))
    {
        open.push_back(target->attempt);
        made = node.route(free_call(), 0);
    }
    node.subject.set_upstreams(model, {}, at(1));
    node.subject.set_upstreams(model, upstream_list(1), at(2));
    CHECK_TRUE(refused(node.route(free_call(), 3)) != nullptr);
    for (const attempt_id id : open)
    {
        node.subject.on_abandoned(id, at(4));
    }
    CHECK_TRUE(sent_to_upstream(node.route(free_call(), 5)) != nullptr);
}

// Fails when the estimate after one stall is so long that no call is sent to correct it.
TEST(admission, an_upstream_that_stalled_is_probed_again)
{
    one_node node(1);
    const decision made = node.route(free_call(), 0);
    CHECK_TRUE(sent_to_upstream(made) != nullptr);
    node.subject.on_abandoned(sent_to_upstream(made)->attempt, at(60'000));
    CHECK_TRUE(refused(node.route(free_call(), 60'001)) != nullptr);
    for (long ms = 62'000; ms < 75'000; ms += 1'100)
    {
        CHECK_TRUE(node.serve(free_call(), ms, 50));
    }
    // Two calls at once are admitted: the estimate has recovered.
    CHECK_TRUE(sent_to_upstream(node.route(free_call(), 75'000)) != nullptr);
    CHECK_TRUE(sent_to_upstream(node.route(free_call(), 75'000)) != nullptr);
}
