/// Guards the digests, which appear in tickets and section names: a change would make releases
/// incompatible. Also guards rendezvous hashing and the lifetime of objects in an rcu_cell.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/rcu_cell.hpp>
#include <snipeplank/core/rendezvous.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace snipeplank::core;

TEST_GROUP(hash){};

TEST(hash, sha256_matches_the_published_test_vectors)
{
    struct vector_row
    {
        const char* input;
        const char* digest;
    };
    const vector_row rows[] = {
        {"", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
        {"abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
    };
    for (const vector_row& row : rows)
    {
        STRCMP_EQUAL(row.digest, sha256_hex(row.input).c_str());
    }
}

TEST(hash, checksum_of_chunks_equals_hash_of_the_whole_input)
{
    snipeplank::tests::check_property("checksum of chunks",
                                      [](const std::string& a, const std::string& b)
                                      {
                                          checksum64 sum;
                                          sum.update(a);
                                          sum.update(b);
                                          RC_ASSERT(sum.digest() == hash64(a + b));
                                      });
}

TEST(hash, removing_a_candidate_moves_only_its_own_keys)
{
    const std::vector<std::string> all = {"a", "b", "c", "d"};
    const std::vector<std::string> fewer = {"a", "b", "c"};
    const auto name = [](const std::string& s) -> std::string_view { return s; };
    for (int i = 0; i < 200; ++i)
    {
        const std::string key = std::to_string(i);
        const std::string& before = all[rendezvous_order(key, all, name).front()];
        const std::string& after = fewer[rendezvous_order(key, fewer, name).front()];
        CHECK_TRUE(before == "d" || before == after);
    }
}

TEST_GROUP(rcu_cell){};

TEST(rcu_cell, readers_never_see_a_freed_object)
{
    // The members of each published pair are equal; a read of a freed object may see them differ.
    rcu_cell<std::pair<int, int>> cell{std::make_unique<std::pair<int, int>>(0, 0)};
    std::atomic<bool> stop{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 4; ++i)
    {
        readers.emplace_back(
            [&]
            {
                while (!stop)
                {
                    torn += cell.read([](const auto& p) { return p.first != p.second; });
                }
            });
    }
    for (int i = 1; i < 200; ++i)
    {
        cell.replace(std::make_unique<std::pair<int, int>>(i, i));
    }
    stop = true;
    for (std::thread& reader : readers)
    {
        reader.join();
    }
    LONGS_EQUAL(0, torn.load());
}
