/// Tests the parsers of query values, header fields and decimal integers.

#include <snipeplank/http/message.hpp>

#include <CppUTest/TestHarness.h>

using namespace snipeplank::http;

TEST_GROUP(http_message){};

// Fails when a query parameter is mistaken for another or is decoded wrongly.
TEST(http_message, query_values_are_decoded)
{
    struct row
    {
        const char* target;
        const char* value;
    };
    for (const row& each :
         {row{"/p?Name=a%2Eb", "a.b"}, row{"/p?x=1&Name=b&Name=c", "b"}, row{"/p?Name=", ""},
          row{"/p?Name=%zz", "%zz"}, row{"/p?NameX=1&Name=%", "%"}})
    {
        STRCMP_EQUAL(each.value, query_value(each.target, "Name").value_or("none").c_str());
    }
    CHECK_FALSE(query_value("/p", "Name").has_value());
    CHECK_FALSE(query_value("/p?Name", "Name").has_value());
}

// Fails when a hop-by-hop field would be forwarded.
TEST(http_message, hop_by_hop_fields_are_recognized)
{
    CHECK_TRUE(is_hop_by_hop("keep-alive", ""));
    CHECK_TRUE(is_hop_by_hop("X-Own", "close, x-own"));
    CHECK_FALSE(is_hop_by_hop("X-Other", "close, x-own"));
}

// Fails when anything but a non-negative decimal integer is accepted.
TEST(http_message, only_whole_decimal_numbers_are_parsed)
{
    UNSIGNED_LONGS_EQUAL(12, parse_number("12").value_or(0));
    for (const char* text : {"", "-1", "+1", "1.5", "1 ", "0x1", "99999999999999999999"})
    {
        CHECK_FALSE(parse_number(text).has_value());
    }
}
