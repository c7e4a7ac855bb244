/// The quarantine of prompt parts at nodes that have seen no answer yet.

#include "prompt_histories.hpp"

TEST_GROUP(prompt_quarantine_cold_start){};

// Fails when fatal parts are stopped, and sound prompts served, only if nodes saw answers before.
TEST(prompt_quarantine_cold_start, fatal_parts_are_stopped_by_nodes_that_have_seen_no_answer_yet)
{
    snipeplank::policy::tests::check_random_histories(0);
}
