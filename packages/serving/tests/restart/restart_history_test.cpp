/// Guards the bound on what all nodes together send to a cold upstream, when it has ended and
/// started again under its id between two reports, and nodes had no request open there.

#include "../cold_start_history.hpp"

using namespace snipeplank::serving::tests;

TEST_GROUP(restart_history){};

// Fails when an upstream that restarts under its id is flooded by nodes that missed the restart
// (incident FAILBACK): their connections were idle or closed, and its report is late or lost.
TEST(restart_history, nodes_that_missed_a_restart_under_the_same_id_keep_the_bound)
{
    check_histories("the bound holds after a short restart", cold_cause::short_restart,
                    node_disturbance::early);
}

// Fails when such an upstream is flooded by nodes that start or stand still around its restart.
TEST(restart_history, nodes_that_start_or_wake_up_after_a_restart_keep_the_bound)
{
    check_histories("the bound holds after a short restart", cold_cause::short_restart,
                    node_disturbance::blind);
}
