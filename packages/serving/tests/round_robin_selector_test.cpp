/// Tests that every node of a large region receives the load reports of its peers.

#include <CppUTest/TestHarness.h>

#include <set>

#include "../src/round_robin_selector.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;

TEST_GROUP(round_robin_selector){};

// Fails when a node is selected later than in its turn, or twice in one exchange.
TEST(round_robin_selector, every_node_is_selected_in_its_turn)
{
    struct row
    {
        std::size_t nodes;
        std::size_t max_nodes;
        int exchanges;
    };
    for (const row& each : {row{1, 6, 1}, row{6, 6, 1}, row{29, 6, 5}, row{39, 6, 7}})
    {
        std::vector<core::address> nodes;
        for (std::size_t i = 0; i < each.nodes; ++i)
        {
            nodes.emplace_back("10.0.0." + std::to_string(i) + ":1");
        }
        round_robin_selector subject(each.max_nodes);
        std::set<core::address> selected;
        for (int i = 0; i < each.exchanges; ++i)
        {
            const std::vector<core::address> next = subject.next(nodes);
            LONGS_EQUAL(std::min(each.max_nodes, each.nodes),
                        std::set<core::address>(next.begin(), next.end()).size());
            selected.insert(next.begin(), next.end());
        }
        LONGS_EQUAL(each.nodes, selected.size());
    }
    CHECK_TRUE(round_robin_selector(6).next({}).empty());
}
