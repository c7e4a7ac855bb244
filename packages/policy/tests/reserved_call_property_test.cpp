/// Guards at-most-once and honest refusals under every order of messages, freezes and restarts.

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "ticket_world.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;
using snipeplank::tests::check_property;

namespace
{

using raw_commands = std::vector<std::tuple<std::uint8_t, std::uint16_t, std::uint16_t>>;

struct profile
{
    const char* name;
    world_faults faults;
};

const profile profiles[] = {
    {"reordering only", {}},
    {"loss", {true, false, false, false, false, false}},
    {"loss and repeats", {true, true, false, false, false, false}},
    {"freezes", {false, false, true, false, false, false}},
    {"freezes, loss and repeats", {true, true, true, false, false, false}},
    {"upstream failures", {true, true, false, false, false, true}},
    {"restarts", {true, true, true, true, false, false}},
    {"planned stops", {false, true, false, false, true, false}},
    {"everything", {true, true, true, true, true, true}},
};

/// Runs `check` on worlds of all profiles after generated steps.
template <typename Check>
void check_worlds(const std::string& property, int worlds_in_a_case, Check check)
{
    constexpr int world_size = 500;
    for (const profile& one : profiles)
    {
        check_property(property + ", " + one.name,
                       [&]
                       {
                           for (int left = worlds_in_a_case; left > 0; --left)
                           {
                               const auto commands =
                                   *rc::gen::resize(world_size, rc::gen::arbitrary<raw_commands>());
                               ticket_world world(one.faults);
                               for (const auto& [kind, a, b] : commands)
                               {
                                   world.apply({kind, a, b});
                               }
                               world.settle();
                               check(world);
                           }
                       });
    }
}

bool has_run(const ticket_world& world, std::size_t ticket, const std::string& body,
             std::uint64_t until)
{
    const auto& all = world.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       {
                           return record.has_executed && record.ticket == ticket &&
                                  record.body == body && record.step <= until;
                       });
}

bool has_run_itself(const ticket_world& world, const call_key& attempt)
{
    const auto& all = world.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       { return record.has_executed && record.attempt == attempt; });
}

bool has_answer_of_its_own(const ticket_world& world, const attempt_record& attempt)
{
    const auto& all = world.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       {
                           return record.ticket == attempt.ticket && record.body == attempt.body &&
                                  record.answer == attempt.answer;
                       });
}

bool is_told(const attempt_record& attempt, execution executed)
{
    return attempt.refused && attempt.refused->executed == executed;
}

std::ptrdiff_t count_runs(const ticket_world& world, std::size_t ticket)
{
    const auto& all = world.executions();
    return std::count_if(all.begin(), all.end(),
                         [&](const execution_record& record)
                         { return record.has_executed && record.ticket == ticket; });
}

/// "Not run": neither by this attempt at any time, nor by another one before this one came in.
bool is_true_not_run(const ticket_world& world, const attempt_record& attempt)
{
    return !is_told(attempt, execution::no) ||
           (!has_run_itself(world, attempt.key) &&
            !has_run(world, attempt.ticket, attempt.body, attempt.begun));
}

bool is_true_run(const ticket_world& world, const attempt_record& attempt)
{
    constexpr std::uint64_t any_step = ~std::uint64_t{0};
    return !is_told(attempt, execution::yes) ||
           has_run(world, attempt.ticket, attempt.body, any_step);
}

bool is_true_answer(const ticket_world& world, const attempt_record& attempt)
{
    const bool is_answered = attempt.answers == 1 && !attempt.refused;
    return !is_answered || has_answer_of_its_own(world, attempt);
}

/// "Unknown" before the deadline: only when nobody can know.
bool is_needed_unknown(const ticket_world& world, const attempt_record& attempt)
{
    return !is_told(attempt, execution::unknown) || attempt.answered_at >= attempt.deadline ||
           attempt.is_issuer_gone || world.is_expired(attempt.ticket) ||
           world.has_unknown_upstream_result(attempt.ticket);
}

} // namespace

TEST_GROUP(reserved_call_property){};

TEST(reserved_call_property, a_ticket_runs_at_most_once_and_every_statement_about_it_is_true)
{
    check_worlds("at most once, true statements", 6,
                 [](const ticket_world& world)
                 {
                     for (std::size_t ticket = 0; ticket < world.ticket_count(); ++ticket)
                     {
                         RC_ASSERT(count_runs(world, ticket) <= 1);
                     }
                     for (const auto& attempt : world.attempts())
                     {
                         RC_ASSERT(attempt->answers <= 1);
                         RC_ASSERT(is_true_not_run(world, *attempt));
                         RC_ASSERT(is_true_run(world, *attempt));
                         RC_ASSERT(is_true_answer(world, *attempt));
                         RC_ASSERT(is_needed_unknown(world, *attempt));
                     }
                 });
}

TEST(reserved_call_property, after_the_faults_a_repeat_learns_what_became_of_the_call)
{
    check_worlds("repeat", 2,
                 [](ticket_world& world)
                 {
                     for (std::size_t ticket = 0; ticket < world.ticket_count(); ++ticket)
                     {
                         const attempt_record& repeat = world.ask_calmly(ticket);
                         RC_ASSERT(repeat.answers == 1);
                         const bool is_known = world.is_issuer_alive(ticket) &&
                                               !world.is_expired(ticket) &&
                                               !world.has_unknown_upstream_result(ticket);
                         RC_ASSERT(!is_known || !is_told(repeat, execution::unknown));
                     }
                 });
}

TEST(reserved_call_property, a_ticket_of_a_former_incarnation_never_runs)
{
    check_worlds("former incarnation", 2,
                 [](ticket_world& world)
                 {
                     for (std::size_t ticket = 0; ticket < world.ticket_count(); ++ticket)
                     {
                         if (world.is_issuer_alive(ticket))
                         {
                             continue;
                         }
                         const std::size_t before = world.executions().size();
                         const attempt_record& repeat = world.ask_calmly(ticket);
                         RC_ASSERT(world.executions().size() == before);
                         RC_ASSERT(repeat.answers == 1);
                     }
                 });
}
