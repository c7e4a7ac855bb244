/// Tests that every node of a large region receives the load reports of its peers.

#include <CppUTest/TestHarness.h>

#include <set>

#include "../src/exchange_turn.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

TEST_GROUP(exchange_turn){};

// Fails when a node is selected later than in its turn, or twice in one exchange.
TEST(exchange_turn, all_nodes_are_told_in_few_exchanges)
{
    struct row
    {
        std::size_t nodes;
        std::size_t most;
        int exchanges;
    };
    for (const row& each : {row{1, 6, 1}, row{6, 6, 1}, row{29, 6, 5}, row{39, 6, 7}})
    {
        std::vector<core::address> nodes;
        for (std::size_t i = 0; i < each.nodes; ++i)
        {
            nodes.emplace_back("10.0.0." + std::to_string(i) + ":1");
        }
        exchange_turn subject(each.most);
        std::set<core::address> told;
        for (int i = 0; i < each.exchanges; ++i)
        {
            const std::vector<core::address> next = subject.next(nodes);
            LONGS_EQUAL(std::min(each.most, each.nodes),
                        std::set<core::address>(next.begin(), next.end()).size());
            told.insert(next.begin(), next.end());
        }
        LONGS_EQUAL(each.nodes, told.size());
    }
    CHECK_TRUE(exchange_turn(6).next({}).empty());
}
