/// Guards the `executed` value that the entry node may state at each step of the reserve/commit
/// exchange.

#include <snipeplank/policy/reserved_call.hpp>

#include <CppUTest/TestHarness.h>

using namespace snipeplank;
using namespace snipeplank::policy;

namespace
{

core::time_point at(std::int64_t ms)
{
    return core::time_point(core::milliseconds(ms));
}

template <typename Action>
bool holds(const entry_actions& actions)
{
    return !actions.empty() && std::holds_alternative<Action>(actions.front());
}

execution stated(const entry_actions& actions)
{
    CHECK_TRUE(holds<give_refusal>(actions));
    return std::get<give_refusal>(actions.front()).why.executed;
}

call_outcome not_run_through(std::uint64_t number)
{
    call_outcome outcome;
    outcome.kind = outcome_kind::not_run;
    outcome.settled_through = reservation_number{number};
    outcome.why.executed = execution::no;
    return outcome;
}

void check_executed(execution expected, const entry_actions& actions)
{
    LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(stated(actions)));
}

constexpr std::int64_t deadline_ms = 10'000;

} // namespace

TEST_GROUP(entry_call)
{
    entry_call call{at(deadline_ms)};

    void commit()
    {
        call.start(at(0));
        CHECK_TRUE(holds<send_commit>(call.on_reserved(reservation_number{5}, at(1))));
    }
};

TEST(entry_call, an_unanswered_reserve_proves_nothing)
{
    // An earlier attempt through another entry node may have run.
    call.start(at(0));
    check_executed(execution::unknown, call.on_timer(at(deadline_ms)));
}

TEST(entry_call, a_reservation_that_still_holds_proves_not_run)
{
    call = entry_call(at(1'000));
    call.start(at(0));
    check_executed(execution::no, call.on_reserved(reservation_number{5}, at(1'500)));
}

TEST(entry_call, a_reservation_read_late_proves_nothing)
{
    call = entry_call(at(1'000));
    call.start(at(0));
    check_executed(execution::unknown, call.on_reserved(reservation_number{5}, at(2'000)));
}

TEST(entry_call, after_the_commit_the_entry_cannot_state_not_run)
{
    commit();
    check_executed(execution::unknown, call.on_timer(at(deadline_ms)));
}

TEST(entry_call, a_refusal_without_a_reservation_number_proves_nothing_after_the_commit)
{
    commit();
    CHECK_TRUE(call.on_refused({refusal_reason::draining, execution::no, "", {}}).empty());
    CHECK_FALSE(call.is_finished());
}

TEST(entry_call, the_issuers_statement_about_the_committed_reservation_is_forwarded)
{
    commit();
    check_executed(execution::no, call.on_outcome(not_run_through(5)));
}

TEST(entry_call, a_statement_older_than_the_committed_reservation_is_ignored)
{
    commit();
    CHECK_TRUE(call.on_outcome(not_run_through(4)).empty());
    CHECK_FALSE(call.is_finished());
}

TEST(entry_call, a_newer_reservation_is_committed_and_a_repeated_one_is_not)
{
    commit();
    CHECK_TRUE(call.on_reserved(reservation_number{5}, at(2)).empty());
    CHECK_TRUE(call.on_reserved(reservation_number{4}, at(2)).empty());
    CHECK_TRUE(holds<send_commit>(call.on_reserved(reservation_number{6}, at(2))));
}

TEST(entry_call, once_an_answer_has_begun_the_call_has_run)
{
    commit();
    call.on_answer_begun();
    CHECK_TRUE(call.on_reserved(reservation_number{6}, at(2)).empty());
    CHECK_TRUE(call.on_outcome(not_run_through(9)).empty());
    check_executed(execution::yes, call.on_timer(at(deadline_ms)));
}

TEST(entry_call, a_lost_connection_repeats_the_question_of_the_step)
{
    call.start(at(0));
    CHECK_TRUE(holds<send_reserve>(call.on_connection_lost(at(1))));
    call.on_reserved(reservation_number{5}, at(2));
    CHECK_TRUE(holds<send_outcome_request>(call.on_connection_lost(at(3))));
    CHECK_TRUE(holds<send_outcome_request>(call.on_answer_broken(at(4))));
}

TEST(entry_call, an_issuer_that_does_not_answer_is_asked_again)
{
    commit();
    CHECK_TRUE(call.on_timer(at(3'000)).empty());
    CHECK_TRUE(call.due_at() == at(3'001));
    CHECK_TRUE(holds<send_outcome_request>(call.on_timer(at(3'001))));
}

TEST(entry_call, a_finished_call_does_nothing_more)
{
    commit();
    call_outcome answered;
    answered.kind = outcome_kind::answered;
    CHECK_TRUE(holds<give_answer>(call.on_outcome(answered)));
    CHECK_TRUE(call.on_outcome(answered).empty());
    CHECK_TRUE(call.on_reserved(reservation_number{9}, at(2)).empty());
    CHECK_TRUE(call.on_connection_lost(at(2)).empty());
    CHECK_TRUE(call.on_timer(at(deadline_ms)).empty());
    CHECK_TRUE(call.on_issuer_gone(at(2)).empty());
    CHECK_TRUE(call.on_caller_disconnected().empty());
}

TEST(entry_call, a_call_past_its_deadline_is_never_sent)
{
    call = entry_call(at(0));
    const entry_actions actions = call.start(at(0));
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(holds<give_refusal>(actions));
}
