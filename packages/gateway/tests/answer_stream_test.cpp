/// Tests the bound on what all answers of other regions hold while their callers read slowly.

#include <snipeplank/gateway/answer_stream.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace snipeplank;
using namespace snipeplank::gateway;

namespace
{

constexpr std::size_t part_bytes = 65'536;
constexpr std::size_t max_answer_bytes = 8'388'608;

/// Offers parts until the stream takes no more or holds a whole answer.
std::size_t fill(answer_stream& stream)
{
    std::size_t taken = 0;
    while (taken < max_answer_bytes && stream.try_put_chunk(std::string(part_bytes, 'x')))
    {
        taken += part_bytes;
    }
    return taken;
}

} // namespace

TEST_GROUP(answer_stream){};

// Fails when the answers of another region that many callers read slowly fill the memory of a node
// (own interface, issue 67), or when one that is read at once is given up beside them.
TEST(answer_stream, slow_readers_hold_no_more_together_than_the_limit)
{
    constexpr std::size_t crowd = 40;
    const auto signal = std::make_shared<stream_signal>();
    const auto all = std::make_shared<offered_bytes>();
    std::vector<std::unique_ptr<answer_stream>> unread;
    std::size_t held = 0;
    for (std::size_t i = 0; i < crowd; ++i)
    {
        unread.push_back(std::make_unique<answer_stream>(signal));
        unread.back()->count_with(all);
        held += fill(*unread.back());
    }
    constexpr std::size_t part_of_each = 262'144;
    CHECK_TRUE(held <= offered_bytes::limit + crowd * part_of_each);
    UNSIGNED_LONGS_EQUAL(held, all->count());
    answer_stream read(signal);
    read.count_with(all);
    for (std::size_t i = 0; i < crowd; ++i)
    {
        CHECK_TRUE(read.try_put_chunk(std::string(part_bytes, 'x')));
        CHECK_TRUE(read.next(core::milliseconds{0}).has_value());
    }
    unread.clear();
    UNSIGNED_LONGS_EQUAL(0, all->count());
    CHECK_TRUE(fill(read) == max_answer_bytes);
}
