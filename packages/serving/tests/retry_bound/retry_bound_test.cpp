/// Guards the bound on the retries of all nodes together (incident BUDGET): nodes that start,
/// restart or have an incomplete list of the others must not take more than their share.

#include "../retry_bound_history.hpp"

using namespace snipeplank::serving::tests;

TEST_GROUP(retry_bound){};

// Fails when nodes that all know each other retry beyond the bound.
TEST(retry_bound, holds_in_a_steady_fleet)
{
    check_retries("the bound holds in a steady fleet", fleet_history::steady);
}

// Fails when nodes forget at a restart what they took, and take their share once more.
TEST(retry_bound, holds_when_single_nodes_restart)
{
    check_retries("the bound holds beside single restarts", fleet_history::single_restarts);
}

// Fails when all nodes restart and count few others while their lists are incomplete.
TEST(retry_bound, holds_when_all_nodes_restart)
{
    check_retries("the bound holds after a mass restart", fleet_history::mass_restart);
}

// Fails when a node whose list stays incomplete takes a share that is too large, although others
// know how many nodes there are.
TEST(retry_bound, holds_with_partial_lists)
{
    check_retries("the bound holds with partial lists", fleet_history::partial_lists);
}

// Fails when nodes that restart while they are cut off from the others take more than their share.
TEST(retry_bound, holds_beside_a_cut)
{
    check_retries("the bound holds beside a cut", fleet_history::short_cut);
}

// Fails when nodes that are new in a fleet take a share at once.
TEST(retry_bound, holds_when_nodes_are_added)
{
    check_retries("the bound holds when nodes are added", fleet_history::added_nodes);
}
