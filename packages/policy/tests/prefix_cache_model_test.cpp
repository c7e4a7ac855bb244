/// Guards the model of a model server's prefix cache.

#include <snipeplank/policy/prefix_cache_model.hpp>

#include <CppUTest/TestHarness.h>

using snipeplank::policy::prefix_cache_model;

TEST_GROUP(prefix_cache_model){};

// Fails when the model contains more tokens than the server's cache can hold.
TEST(prefix_cache_model, the_least_recently_used_part_is_evicted)
{
    prefix_cache_model memory;
    memory.set_capacity(100);
    memory.add("a", 50);
    memory.add("b", 50);
    memory.add("a", 50);
    memory.add("c", 50);
    CHECK_TRUE(memory.contains("a"));
    CHECK_FALSE(memory.contains("b"));
    CHECK_TRUE(memory.contains("c"));
}

// Fails when a part above the capacity is recorded as cached.
TEST(prefix_cache_model, a_part_above_the_capacity_is_not_stored)
{
    prefix_cache_model memory;
    memory.set_capacity(10);
    memory.add("a", 50);
    CHECK_FALSE(memory.contains("a"));
    memory.add("b", 5);
    CHECK_TRUE(memory.contains("b"));
}
