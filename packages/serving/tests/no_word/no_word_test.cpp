/// Guards the use of an upstream that never says which process it is, by nodes with little traffic.

#include "../cold_start_history.hpp"

using namespace snipeplank::serving::tests;

TEST_GROUP(no_word){};

// Fails when nodes with little traffic flood an upstream that never says which process it is, or do
// not use it any more.
TEST(no_word, nodes_with_little_traffic_use_an_upstream_that_says_nothing)
{
    for (const node_disturbance disturbance : {node_disturbance::early, node_disturbance::blind})
    {
        check_histories("the bound holds without a word of the upstream", cold_cause::short_restart,
                        disturbance, upstream_word::nothing);
    }
}
