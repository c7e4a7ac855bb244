/// Guards the states of a ticket, the limits of the table and the handover of outcomes.

#include <snipeplank/policy/ticket_table.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>

using namespace snipeplank;
using namespace snipeplank::policy;

namespace
{

const core::node_id issuer{core::address{"10.0.0.1:7001"}, core::incarnation{7}};
const core::node_id successor{core::address{"10.0.0.2:7001"}, core::incarnation{8}};
const core::service_id service{"booking"};
constexpr std::int64_t lifetime_ms = 900'000;

core::time_point at(std::int64_t ms)
{
    return core::time_point(core::seconds(50)) + core::milliseconds(ms);
}

call_key attempt(std::uint64_t number)
{
    return {successor, core::call_number{number}};
}

call_outcome answered(const std::string& body)
{
    call_outcome outcome;
    outcome.kind = outcome_kind::answered;
    outcome.answer = {200, {}, body};
    return outcome;
}

const char* const body = "hash of the body";

} // namespace

TEST_GROUP(ticket_table)
{
    core::seeded_random random{1};
    ticket_table table{issuer, "secret"};

    ticket issue(std::int64_t ms = 0)
    {
        const auto issued = std::get<issued_ticket>(table.issue(service, at(ms), random));
        return std::get<ticket>(table.check(issued.text));
    }

    reservation_number reserve(const ticket& which, std::uint64_t number, std::int64_t ms)
    {
        const auto result = table.reserve(which, attempt(number), body, at(ms));
        CHECK_TRUE(std::holds_alternative<reservation_granted>(result));
        return std::get<reservation_granted>(result).number;
    }

    void start(const ticket& which, std::uint64_t number, std::int64_t ms)
    {
        const auto result = table.commit(which, attempt(number), reserve(which, number, ms), body,
                                         at(ms + 1'000), at(ms));
        CHECK_TRUE(std::holds_alternative<may_run>(result));
    }

    void run_whole(const ticket& which, const std::string& answer, std::int64_t ms = 0)
    {
        start(which, 1, ms);
        table.finish(which.id, answered(answer));
        table.take_notices();
    }

    refusal_reason refused(const issue_result& result)
    {
        CHECK_TRUE(std::holds_alternative<refusal>(result));
        return std::get<refusal>(result).reason;
    }

    void check_kind(outcome_kind expected, const ticket& which, std::int64_t ms)
    {
        const auto found = table.look_up(which, at(ms));
        CHECK_TRUE(std::holds_alternative<call_outcome>(found));
        LONGS_EQUAL(static_cast<int>(expected),
                    static_cast<int>(std::get<call_outcome>(found).kind));
    }
};

TEST(ticket_table, a_ticket_contains_its_issuer_and_cannot_be_altered)
{
    const auto issued = std::get<issued_ticket>(table.issue(service, at(0), random));
    const ticket parsed = parse_ticket(issued.text).value();
    CHECK_TRUE(parsed.issuer == issuer);
    CHECK_TRUE(parsed.service == service);
    tests::check_property("altered ticket",
                          [&](std::size_t place, char replacement)
                          {
                              std::string text = issued.text;
                              text[place % text.size()] = replacement;
                              const bool is_same = text == issued.text;
                              const bool is_accepted =
                                  std::holds_alternative<ticket>(table.check(text));
                              RC_ASSERT(is_same == is_accepted);
                          });
    tests::check_property("arbitrary key", [&](const std::string& text)
                          { RC_ASSERT(std::holds_alternative<refusal>(table.check(text))); });
}

TEST(ticket_table, tickets_of_other_issuers_and_malformed_keys_get_different_refusals)
{
    const std::string text = std::get<issued_ticket>(table.issue(service, at(0), random)).text;
    const ticket_table restarted({issuer.address, core::incarnation{9}}, "secret");
    const auto gone = std::get<refusal>(restarted.check(text));
    CHECK_TRUE(gone.reason == refusal_reason::ticket_issuer_gone);
    CHECK_TRUE(gone.executed == execution::unknown);
    const ticket_table other_secret(issuer, "other");
    CHECK_TRUE(std::get<refusal>(other_secret.check(text)).reason ==
               refusal_reason::ticket_invalid);
    CHECK_TRUE(std::get<refusal>(table.check("6ba7b810-9dad-11d1-80b4-00c04fd430c8")).reason ==
               refusal_reason::ticket_invalid);
}

TEST(ticket_table, a_commit_runs_only_with_its_own_live_reservation_body_and_deadline)
{
    struct row
    {
        const char* name;
        std::uint64_t number_offset;
        const char* body_hash;
        std::int64_t deadline_ms;
        std::int64_t now_ms;
        bool runs;
    };
    const row rows[] = {
        {"in time", 0, body, 5'000, 1'999, true},
        {"lapsed", 0, body, 5'000, 2'000, false},
        {"another reservation", 1, body, 5'000, 1, false},
        {"another body", 0, "other", 5'000, 1, false},
        {"deadline passed", 0, body, 1'000, 1'000, false},
    };
    for (const row& one : rows)
    {
        const ticket which = issue();
        const std::uint64_t number = reserve(which, 1, 0).get() + one.number_offset;
        const auto result = table.commit(which, attempt(1), reservation_number{number},
                                         one.body_hash, at(one.deadline_ms), at(one.now_ms));
        CHECK_EQUAL_TEXT(one.runs, std::holds_alternative<may_run>(result), one.name);
    }
}

TEST(ticket_table, the_deadline_is_checked_again_before_the_first_byte)
{
    const ticket which = issue();
    start(which, 1, 0);
    CHECK_TRUE(table.may_send(which.id, at(999)));
    CHECK_FALSE(table.may_send(which.id, at(1'000)));
}

TEST(ticket_table, repeated_calls_wait_for_the_outcome_and_get_it)
{
    const ticket which = issue();
    start(which, 1, 0);
    CHECK_TRUE(std::holds_alternative<must_wait>(table.reserve(which, attempt(2), body, at(1))));
    CHECK_TRUE(std::holds_alternative<must_wait>(table.reserve(which, attempt(3), "other", at(1))));
    table.finish(which.id, answered("done"));
    const auto notices = table.take_notices();
    LONGS_EQUAL(3, notices.size());
    CHECK_TRUE(notices[0].is_holder);
    CHECK_TRUE(notices[1].attempt == attempt(2));
    CHECK_TRUE(notices[1].outcome == answered("done"));
    CHECK_TRUE(notices[2].outcome.why.reason == refusal_reason::ticket_in_use);
    const auto repeat = table.reserve(which, attempt(4), body, at(2));
    CHECK_TRUE(std::get<call_outcome>(repeat) == answered("done"));
}

TEST(ticket_table, a_proven_refusal_makes_the_ticket_usable_again)
{
    const ticket which = issue();
    start(which, 1, 0);
    call_outcome refused_by_upstream;
    refused_by_upstream.kind = outcome_kind::not_run;
    table.finish(which.id, refused_by_upstream);
    check_kind(outcome_kind::not_run, which, 1);
    start(which, 2, 2);
    LONGS_EQUAL(1, table.running());
}

TEST(ticket_table, a_lapsed_reservation_goes_to_the_waiting_attempt)
{
    const ticket which = issue();
    reserve(which, 1, 0);
    table.reserve(which, attempt(2), body, at(1));
    table.expire(at(1'999));
    CHECK_TRUE(table.take_notices().empty());
    table.expire(at(2'000));
    const auto notices = table.take_notices();
    LONGS_EQUAL(1, notices.size());
    CHECK_TRUE(notices[0].attempt == attempt(2));
    CHECK_TRUE(notices[0].granted.has_value());
}

TEST(ticket_table, an_answer_above_the_bound_keeps_its_status_only)
{
    const ticket which = issue();
    constexpr std::size_t too_long = 65'537;
    start(which, 1, 0);
    table.finish(which.id, answered(std::string(too_long, 'x')));
    const auto notices = table.take_notices();
    LONGS_EQUAL(too_long, notices[0].outcome.answer.body.size());
    const auto repeat = std::get<call_outcome>(table.look_up(which, at(1)));
    CHECK_TRUE(repeat.kind == outcome_kind::answer_not_kept);
    CHECK_TRUE(repeat.why.executed == execution::yes);
    LONGS_EQUAL(200, repeat.answer.status);
    CHECK_TRUE(repeat.answer.body.empty());
}

TEST(ticket_table, a_full_table_issues_nothing_until_answers_expire)
{
    ticket_limits limits;
    limits.answer = core::bytes{1'000};
    limits.all_answers = core::bytes{4'000};
    table = ticket_table(issuer, "secret", limits);
    int issued = 0;
    while (std::holds_alternative<issued_ticket>(table.issue(service, at(0), random)))
    {
        run_whole(issue(), std::string(1'000, 'x'));
        CHECK_TRUE(table.stored_bytes() <= limits.all_answers);
        ++issued;
    }
    CHECK_TRUE(issued > 0);
    CHECK_TRUE(refused(table.issue(service, at(1), random)) == refusal_reason::overloaded);
    table.expire(at(lifetime_ms));
    LONGS_EQUAL(0, table.stored_bytes().count);
    CHECK_TRUE(
        std::holds_alternative<issued_ticket>(table.issue(service, at(lifetime_ms), random)));
}

TEST(ticket_table, the_number_of_live_tickets_is_bounded)
{
    ticket_limits limits;
    limits.tickets = 3;
    table = ticket_table(issuer, "secret", limits);
    for (std::size_t i = 0; i < limits.tickets; ++i)
    {
        issue();
    }
    CHECK_TRUE(refused(table.issue(service, at(1), random)) == refusal_reason::overloaded);
    CHECK_TRUE(
        std::holds_alternative<issued_ticket>(table.issue(service, at(lifetime_ms), random)));
}

TEST(ticket_table, an_expired_ticket_is_not_run_and_its_outcome_is_unknown)
{
    const ticket which = issue();
    run_whole(which, "done");
    check_kind(outcome_kind::answered, which, lifetime_ms - 1);
    table.expire(at(lifetime_ms));
    const auto result =
        std::get<call_outcome>(table.reserve(which, attempt(2), body, at(lifetime_ms)));
    CHECK_TRUE(result.kind == outcome_kind::unknown);
    CHECK_TRUE(result.why.reason == refusal_reason::ticket_expired);
    CHECK_TRUE(result.why.executed == execution::unknown);
}

TEST(ticket_table, a_call_that_outlives_its_ticket_still_has_one_outcome)
{
    const ticket which = issue();
    start(which, 1, lifetime_ms - 1);
    table.expire(at(lifetime_ms + 1));
    CHECK_TRUE(std::holds_alternative<must_wait>(
        table.reserve(which, attempt(2), body, at(lifetime_ms + 1))));
    table.finish(which.id, answered("done"));
    LONGS_EQUAL(2, table.take_notices().size());
    table.expire(at(lifetime_ms + 10'000));
    LONGS_EQUAL(0, table.stored_bytes().count);
}

TEST(ticket_table, a_table_freezes_only_when_nothing_is_running_or_reserved)
{
    const ticket which = issue();
    const ticket unused = issue();
    const reservation_number number = reserve(which, 1, 0);
    CHECK_FALSE(table.freeze(at(1)));
    table.commit(which, attempt(1), number, body, at(5'000), at(1));
    CHECK_FALSE(table.freeze(at(2)));
    CHECK_TRUE(table.outcomes().empty());
    table.finish(which.id, answered("done"));
    CHECK_TRUE(table.freeze(at(3)));
    CHECK_TRUE(refused(table.issue(service, at(4), random)) == refusal_reason::draining);
    const auto late = table.reserve(unused, attempt(2), body, at(4));
    CHECK_TRUE(std::get<call_outcome>(late).kind == outcome_kind::not_run);
}

TEST(ticket_table, a_frozen_table_removes_nothing)
{
    const ticket which = issue();
    run_whole(which, "done");
    CHECK_TRUE(table.freeze(at(1)));
    table.expire(at(lifetime_ms + 1));
    LONGS_EQUAL(1, table.outcomes().size());
    LONGS_EQUAL(at(1).time_since_epoch() / core::milliseconds(1), table.frozen_at().count());
}

TEST(ticket_table, a_successor_answers_for_the_former_node_once_it_has_every_part)
{
    const ticket used = issue();
    const ticket unused = issue();
    run_whole(used, "done");
    CHECK_TRUE(table.freeze(at(1)));
    successor_table taken;
    CHECK_FALSE(taken.look_up(unused, body).has_value());
    const auto records = table.outcomes();
    CHECK_TRUE(taken.add_part(issuer, table.frozen_at(), 1, 2, records, at(2)));
    CHECK_FALSE(taken.look_up(unused, body).has_value());
    CHECK_FALSE(taken.add_part(issuer, table.frozen_at(), 0, 3, {}, at(2)));
    CHECK_TRUE(taken.add_part(issuer, table.frozen_at(), 0, 2, {}, at(2)));
    CHECK_TRUE(taken.add_part(issuer, table.frozen_at(), 1, 2, {}, at(2)));
    CHECK_TRUE(*taken.look_up(used, body) == answered("done"));
    CHECK_TRUE(taken.look_up(used, "other")->why.reason == refusal_reason::ticket_in_use);
    CHECK_TRUE(taken.look_up(unused, body)->why.executed == execution::no);
    CHECK_TRUE(taken.look_up(unused, body)->kind == outcome_kind::not_run);
    taken.expire(at(lifetime_ms + 2));
    CHECK_FALSE(taken.look_up(unused, body).has_value());
}

TEST(ticket_table, a_successor_states_unknown_for_tickets_that_expired_before_the_handover)
{
    // The former node had removed them, so a missing record does not prove "not run".
    const ticket early = issue();
    run_whole(early, "done");
    table.expire(at(lifetime_ms));
    CHECK_TRUE(table.freeze(at(lifetime_ms)));
    successor_table taken;
    taken.add_part(issuer, table.frozen_at(), 0, 1, table.outcomes(), at(lifetime_ms));
    const auto stated = taken.look_up(early, body);
    CHECK_TRUE(stated->kind == outcome_kind::unknown);
    CHECK_TRUE(stated->why.executed == execution::unknown);
}

TEST(ticket_table, a_successor_refuses_more_than_it_has_memory_for)
{
    ticket_limits limits;
    limits.all_answers = core::bytes{1'000};
    successor_table taken(limits);
    const outcome_record large{"id", body, answered(std::string(2'000, 'x'))};
    CHECK_FALSE(taken.add_part(issuer, core::milliseconds(1), 0, 1, {large}, at(0)));
    CHECK_FALSE(taken.look_up(issue(), body).has_value());
}
