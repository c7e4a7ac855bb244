/// Guards at-most-once execution and correct refusals under message reordering, pauses and
/// restarts.

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "ticket_simulation.hpp"

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
    simulation_faults faults;
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

/// Runs `check` on simulations of all fault profiles after generated steps.
template <typename Check>
void check_simulations(const std::string& property, int simulations_per_case, Check check)
{
    constexpr int command_list_size = 500;
    for (const profile& one : profiles)
    {
        check_property(property + ", " + one.name,
                       [&]
                       {
                           for (int left = simulations_per_case; left > 0; --left)
                           {
                               const auto commands = *rc::gen::resize(
                                   command_list_size, rc::gen::arbitrary<raw_commands>());
                               ticket_simulation simulation(one.faults);
                               for (const auto& [kind, a, b] : commands)
                               {
                                   simulation.apply({kind, a, b});
                               }
                               simulation.run_to_completion();
                               check(simulation);
                           }
                       });
    }
}

bool has_run(const ticket_simulation& simulation, std::size_t ticket, const std::string& body,
             std::uint64_t until)
{
    const auto& all = simulation.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       {
                           return record.has_executed && record.ticket == ticket &&
                                  record.body == body && record.step <= until;
                       });
}

bool has_run_itself(const ticket_simulation& simulation, const call_key& attempt)
{
    const auto& all = simulation.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       { return record.has_executed && record.attempt == attempt; });
}

bool has_answer_of_its_own(const ticket_simulation& simulation, const attempt_record& attempt)
{
    const auto& all = simulation.executions();
    return std::any_of(all.begin(), all.end(),
                       [&](const execution_record& record)
                       {
                           return record.ticket == attempt.ticket && record.body == attempt.body &&
                                  record.answer == attempt.answer;
                       });
}

bool is_refused_as(const attempt_record& attempt, execution executed)
{
    return attempt.refused && attempt.refused->executed == executed;
}

std::ptrdiff_t count_runs(const ticket_simulation& simulation, std::size_t ticket)
{
    const auto& all = simulation.executions();
    return std::count_if(all.begin(), all.end(),
                         [&](const execution_record& record)
                         { return record.has_executed && record.ticket == ticket; });
}

/// "Not run" is true if this attempt never ran and no other one ran before this one arrived.
bool is_true_not_run(const ticket_simulation& simulation, const attempt_record& attempt)
{
    return !is_refused_as(attempt, execution::no) ||
           (!has_run_itself(simulation, attempt.key) &&
            !has_run(simulation, attempt.ticket, attempt.body, attempt.begun));
}

bool is_true_run(const ticket_simulation& simulation, const attempt_record& attempt)
{
    constexpr std::uint64_t any_step = ~std::uint64_t{0};
    return !is_refused_as(attempt, execution::yes) ||
           has_run(simulation, attempt.ticket, attempt.body, any_step);
}

bool is_true_answer(const ticket_simulation& simulation, const attempt_record& attempt)
{
    const bool is_answered = attempt.answers == 1 && !attempt.refused;
    return !is_answered || has_answer_of_its_own(simulation, attempt);
}

/// "Unknown" before the deadline is justified only if no node has the outcome.
bool is_justified_unknown(const ticket_simulation& simulation, const attempt_record& attempt)
{
    return !is_refused_as(attempt, execution::unknown) || attempt.answered_at >= attempt.deadline ||
           attempt.is_issuer_gone || simulation.is_expired(attempt.ticket) ||
           simulation.has_unknown_upstream_result(attempt.ticket);
}

} // namespace

TEST_GROUP(reserved_call_property){};

TEST(reserved_call_property, a_ticket_runs_at_most_once_and_every_statement_about_it_is_true)
{
    check_simulations("at most once, true statements", 6,
                      [](const ticket_simulation& simulation)
                      {
                          for (std::size_t ticket = 0; ticket < simulation.ticket_count(); ++ticket)
                          {
                              RC_ASSERT(count_runs(simulation, ticket) <= 1);
                          }
                          for (const auto& attempt : simulation.attempts())
                          {
                              RC_ASSERT(attempt->answers <= 1);
                              RC_ASSERT(is_true_not_run(simulation, *attempt));
                              RC_ASSERT(is_true_run(simulation, *attempt));
                              RC_ASSERT(is_true_answer(simulation, *attempt));
                              RC_ASSERT(is_justified_unknown(simulation, *attempt));
                          }
                      });
}

TEST(reserved_call_property, after_the_faults_a_repeated_call_gets_its_outcome)
{
    check_simulations("repeat", 2,
                      [](ticket_simulation& simulation)
                      {
                          for (std::size_t ticket = 0; ticket < simulation.ticket_count(); ++ticket)
                          {
                              const attempt_record& repeat = simulation.ask_without_faults(ticket);
                              RC_ASSERT(repeat.answers == 1);
                              const bool is_known = simulation.is_issuer_alive(ticket) &&
                                                    !simulation.is_expired(ticket) &&
                                                    !simulation.has_unknown_upstream_result(ticket);
                              RC_ASSERT(!is_known || !is_refused_as(repeat, execution::unknown));
                          }
                      });
}

TEST(reserved_call_property, a_ticket_of_a_former_incarnation_never_runs)
{
    check_simulations("former incarnation", 2,
                      [](ticket_simulation& simulation)
                      {
                          for (std::size_t ticket = 0; ticket < simulation.ticket_count(); ++ticket)
                          {
                              if (simulation.is_issuer_alive(ticket))
                              {
                                  continue;
                              }
                              const std::size_t before = simulation.executions().size();
                              const attempt_record& repeat = simulation.ask_without_faults(ticket);
                              RC_ASSERT(simulation.executions().size() == before);
                              RC_ASSERT(repeat.answers == 1);
                          }
                      });
}
