/// Guards outlier ejection and slow start: slow and failing upstreams get less work, but a region
/// never loses all of its upstreams.

#include <snipeplank/policy/outlier_ejection.hpp>
#include <snipeplank/policy/slow_start.hpp>

#include <algorithm>

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

TEST_GROUP(ejection){};

// Fails when a fault of all upstreams ejects more than half of them.
TEST(ejection, at_most_half_are_ejected_whatever_fails)
{
    snipeplank::tests::check_property(
        "ejected upstreams are at most half of those that take work",
        []
        {
            outlier_ejection subject;
            std::vector<core::address> names;
            const auto count = *rc::gen::inRange<std::size_t>(1, 9);
            for (std::size_t i = 0; i < count; ++i)
            {
                names.push_back(upstream_name(i));
            }
            long now = 0;
            const int steps = *rc::gen::inRange(0, 120);
            for (int i = 0; i < steps; ++i)
            {
                now += *rc::gen::inRange(0, 2'000);
                const core::address& name = names[*rc::gen::inRange<std::size_t>(0, count)];
                const int event = *rc::gen::inRange(0, 6);
                if (event == 0)
                    subject.on_success(name, at(now));
                else if (event == 1)
                    subject.on_delay(name, 5'000, 50, at(now));
                else
                    subject.on_failure(name, at(now));
                // The list may shrink at any time.
                const auto listed = *rc::gen::inRange<std::size_t>(1, count + 1);
                const std::vector<bool> flags =
                    subject.ejected(std::span(names).first(listed), at(now));
                const auto ejected = std::count(flags.begin(), flags.end(), true);
                RC_ASSERT(2 * static_cast<std::size_t>(ejected) <= listed);
            }
        });
}

// Fails when the dispatcher refuses calls because every upstream has failed recently.
TEST(ejection, a_region_with_failing_upstreams_still_gets_work)
{
    snipeplank::tests::check_property(
        "a call is not refused for want of upstreams while one is listed",
        []
        {
            const auto count = *rc::gen::inRange<std::size_t>(1, 6);
            one_node node(count);
            long now = 0;
            for (int i = 0; i < 80; ++i)
            {
                now += *rc::gen::inRange(0, 500);
                const decision made = node.route(free_call(), now);
                const use_upstream* target = sent_to_upstream(made);
                RC_ASSERT(target != nullptr);
                const bool fails = *rc::gen::inRange(0, 10) < 9;
                node.subject.on_finished(
                    target->attempt, fails ? attempt_outcome::failed : attempt_outcome::answered,
                    at(now));
            }
        });
}

// Fails when an upstream gets more calls because it fails quickly.
TEST(ejection, an_upstream_that_fails_fast_loses_its_work)
{
    one_node node(4);
    int to_failing = 0;
    for (int i = 0; i < 400; ++i)
    {
        const decision made = node.route(free_call(), i * 10L);
        const use_upstream* target = sent_to_upstream(made);
        CHECK_TRUE(target != nullptr);
        const bool is_failing = target->address == upstream_name(0);
        to_failing += is_failing ? 1 : 0;
        node.subject.on_finished(target->attempt,
                                 is_failing ? attempt_outcome::failed : attempt_outcome::answered,
                                 at(i * 10L + 1));
    }
    CHECK_TRUE(to_failing <= 8);
}

// Fails when a slow upstream still gets its full share of the calls.
TEST(ejection, an_upstream_that_is_ten_times_slower_loses_its_work)
{
    one_node node(4);
    int to_slow = 0;
    for (int i = 0; i < 400; ++i)
    {
        const long now = i * 10L;
        const decision made = node.route(free_call(), now);
        const use_upstream* target = sent_to_upstream(made);
        CHECK_TRUE(target != nullptr);
        const bool is_slow = target->address == upstream_name(0);
        to_slow += is_slow ? 1 : 0;
        const long answer = is_slow ? 1'000 : 100;
        node.subject.on_finished(target->attempt, attempt_outcome::answered, at(now + answer));
    }
    CHECK_TRUE(to_slow <= 20);
}

// Fails when the ejection time does not grow, so that a broken upstream is probed too often.
TEST(ejection, repeated_ejections_last_longer_up_to_a_minute)
{
    outlier_ejection subject;
    const std::vector<core::address> names{upstream_name(0), upstream_name(1)};
    long now = 0;
    const long lasts_ms[] = {5'000, 10'000, 20'000, 40'000, 60'000, 60'000};
    for (const long expected : lasts_ms)
    {
        for (unsigned i = 0; i < outlier_ejection::failures_to_eject; ++i)
        {
            subject.on_failure(names[0], at(now));
        }
        CHECK_TRUE(subject.ejected(names, at(now + expected - 1))[0]);
        CHECK_FALSE(subject.ejected(names, at(now + expected))[0]);
        now += expected;
    }
}

// Fails when a new or reinstated upstream gets its full limit while its caches are cold.
TEST(ejection, slow_start_ramps_from_a_part_to_the_whole_limit)
{
    slow_start subject;
    UNSIGNED_LONGS_EQUAL(40, subject.apply(40, at(0)));
    subject.begin(slow_start::new_upstream_fraction, at(0));
    struct row
    {
        long ms;
        unsigned expected;
    };
    const row rows[] = {{0, 10}, {5'000, 25}, {9'999, 39}, {10'000, 40}};
    for (const row& test : rows)
    {
        UNSIGNED_LONGS_EQUAL(test.expected, subject.apply(40, at(test.ms)));
    }
    UNSIGNED_LONGS_EQUAL(1, subject.apply(1, at(0)));
}
