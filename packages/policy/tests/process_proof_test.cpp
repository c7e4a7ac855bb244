/// Guards what counts as proof that the process behind a connection is one that is warm.

#include <snipeplank/policy/pause_watch.hpp>
#include <snipeplank/policy/process_proof.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace snipeplank;
using namespace std::chrono_literals;
using policy::connection_record;
using policy::pause_watch;
using policy::process_proof;
using policy::verification_turn;

namespace
{

const core::time_point begin = core::time_point{} + 1h;
const core::time_point no_doubt{};
constexpr core::milliseconds warmup{3'500};

} // namespace

TEST_GROUP(process_proof)
{
    process_proof subject;

    bool is_proven(core::time_point opened_at, core::time_point now,
                   core::time_point doubted_at = no_doubt) const
    {
        return subject.is_proven({opened_at, std::nullopt}, warmup, doubted_at, now);
    }
};

// Fails when a connection of which nothing is known counts as proven.
TEST(process_proof, nothing_proves_a_new_connection)
{
    CHECK_FALSE(is_proven(begin, begin));
    CHECK_FALSE(is_proven(begin, begin + warmup - 1ms));
}

// Fails when what was proven before a pause of the node counts after it (incident FAILBACK).
TEST(process_proof, a_proof_counts_until_a_doubt)
{
    const connection_record over{begin, begin + 1s};
    CHECK_TRUE(subject.is_proven(over, warmup, no_doubt, begin + 2s));
    CHECK_TRUE(subject.is_proven(over, warmup, begin + 1s, begin + 2s));
    CHECK_FALSE(subject.is_proven(over, warmup, begin + 1001ms, begin + 2s));
}

// Fails when a connection that is older than a warm-up is not used without a question, or when time
// before a pause counts.
TEST(process_proof, a_connection_is_proven_by_its_age)
{
    CHECK_TRUE(is_proven(begin, begin + warmup));
    CHECK_FALSE(is_proven(begin, begin + warmup + 1s, begin + 1001ms));
    CHECK_TRUE(is_proven(begin, begin + 1s + warmup, begin + 1s));
}

// Fails when a new connection to a process that was just heard of on a proven one needs a question,
// or when one to a possible successor needs none (incident FAILBACK).
TEST(process_proof, a_proven_connection_vouches_for_others)
{
    subject.on_received(begin, no_doubt, begin + 1s);
    CHECK_TRUE(is_proven(begin + 900ms, begin + 1s));
    CHECK_TRUE(is_proven(begin + 1500ms, begin + 1500ms));
    CHECK_FALSE(is_proven(begin + 1501ms, begin + 1501ms));
    CHECK_FALSE(is_proven(begin + 1200ms, begin + 1300ms, begin + 1100ms));
    subject.on_may_have_ended();
    CHECK_FALSE(is_proven(begin + 1200ms, begin + 1300ms));
    // Bytes that came on a connection that was proven before the doubt only.
    subject.on_received(begin, begin + 1s, begin + 2s);
    CHECK_FALSE(is_proven(begin + 2s, begin + 2s, begin + 1s));
}

// Fails when an upstream that never says which process it is cannot be used at all, or when
// contacts with a gap in which it may have restarted prove anything.
TEST(process_proof, unbroken_contact_proves_an_upstream_that_says_nothing)
{
    for (core::milliseconds at{0}; at <= warmup; at += 500ms)
    {
        CHECK_FALSE(is_proven(begin + at, begin + at));
        subject.on_contact(begin + at);
    }
    const core::time_point last = begin + warmup;
    CHECK_TRUE(is_proven(last, last));
    CHECK_FALSE(is_proven(last, last, begin + 1ms));
    subject.on_contact(last + 501ms);
    CHECK_FALSE(is_proven(last + 501ms, last + 501ms));
    for (core::milliseconds at{501}; at <= warmup; at += 250ms)
    {
        subject.on_contact(last + at);
    }
    subject.on_may_have_ended();
    subject.on_contact(last + 501ms + warmup);
    CHECK_FALSE(is_proven(last + 501ms + warmup, last + 501ms + warmup));
}

// Fails when the attempts of a node ask an upstream at the same time, ask it again at once when it
// had nothing to say, or wait for ever for one that has ended.
TEST(process_proof, an_upstream_is_asked_once_at_a_time)
{
    CHECK_TRUE(verification_turn::own == subject.begin_verification(begin));
    CHECK_TRUE(verification_turn::others == subject.begin_verification(begin + 399ms));
    CHECK_TRUE(verification_turn::own == subject.begin_verification(begin + 400ms));
    subject.end_verification();
    CHECK_TRUE(verification_turn::own == subject.begin_verification(begin + 400ms));
    subject.end_without_answer(begin + 500ms);
    CHECK_TRUE(subject.is_unverified(begin + 749ms));
    CHECK_TRUE(verification_turn::not_now == subject.begin_verification(begin + 749ms));
    CHECK_TRUE(verification_turn::own == subject.begin_verification(begin + 750ms));
    subject.end_without_answer(begin + 800ms);
    subject.on_received(begin, no_doubt, begin + 900ms);
    CHECK_FALSE(subject.is_unverified(begin + 900ms));
}

TEST_GROUP(pause_watch){};

// Fails when a node that stood still does not notice, whichever handler comes first afterwards, or
// when one that is a little late takes that for a pause.
TEST(pause_watch, a_pause_is_noticed_by_whoever_comes_first)
{
    pause_watch subject;
    subject.check(begin);
    CHECK_TRUE(subject.resumed_at() == core::time_point{});
    subject.on_tick(begin);
    subject.check(begin + 300ms);
    CHECK_TRUE(subject.resumed_at() == core::time_point{});
    subject.on_tick(begin + 300ms);
    subject.check(begin + 601ms);
    CHECK_TRUE(subject.resumed_at() == begin + 601ms);
    subject.on_tick(begin + 602ms);
    CHECK_TRUE(subject.resumed_at() == begin + 601ms);
    subject.on_tick(begin + 903ms);
    CHECK_TRUE(subject.resumed_at() == begin + 903ms);
}
