/// Tests that compressed texts come back as they were, and that damaged ones are errors.

#include <snipeplank/core/compression.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

#include "property.hpp"

using namespace snipeplank;

TEST_GROUP(compression){};

TEST(compression, any_bytes_come_back)
{
    snipeplank::tests::check_property("compressed bytes come back",
                                      []
                                      {
                                          const auto bytes = *rc::gen::arbitrary<std::string>();
                                          const auto again =
                                              core::decompress(core::compress(bytes), bytes.size());
                                          RC_ASSERT(again == bytes);
                                      });
}

// Fails when a damaged text passes for a value, or when its sender decides how much is written.
TEST(compression, what_does_not_have_the_stated_size_is_an_error)
{
    const std::string text(100'000, 'a');
    const std::string compressed = core::compress(text);
    CHECK_TRUE(compressed.size() < 1'000);
    struct row
    {
        std::string bytes;
        std::size_t size;
    };
    std::string flipped = compressed;
    flipped[flipped.size() / 2] = static_cast<char>(~flipped[flipped.size() / 2]);
    const row rows[] = {
        {flipped, text.size()},
        {compressed + "x", text.size()},
        {compressed, text.size() - 1},
        {compressed, text.size() + 1},
        {compressed, 0},
        {compressed.substr(0, compressed.size() - 1), text.size()},
        {"", text.size()},
        {"no zlib", 7},
    };
    for (const row& each : rows)
    {
        CHECK_FALSE(core::decompress(each.bytes, each.size).has_value());
    }
    CHECK_TRUE(core::decompress(compressed, text.size()) == text);
}
