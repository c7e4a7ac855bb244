/// Tests the parsers of query values, header fields and decimal integers, and the text of heads.

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

// Fails when a part of a head that comes from another program ends its line or its field, and so
// adds fields or a whole message.
TEST(http_message, heads_with_parts_that_end_their_line_are_not_written)
{
    struct row
    {
        request_head head;
        bool is_written;
    };
    const row rows[] = {
        {{"GET", "/a?b=%20", {{"Host", "a"}, {"X-Own_1", ""}}}, true},
        {{"PUT", "/caf\xc3\xa9\xff", {{"Id", "caf\xc3\xa9 \t x"}}}, true},
        {{"GET", "/a b", {}}, false},
        {{"GET", "/a\r\nX: y", {}}, false},
        {{"GET", "", {}}, false},
        {{"GET /x HTTP/1.1\r\n\r\nGET", "/a", {}}, false},
        {{"", "/a", {}}, false},
        {{"GET", "/a", {{"Id", "a\r\nX: y"}}}, false},
        {{"GET", "/a", {{"Id", "a\nX: y"}}}, false},
        {{"GET", "/a", {{"Id", "a\rX: y"}}}, false},
        {{"GET", "/a", {{"Id", std::string("a\0b", 3)}}}, false},
        {{"GET", "/a", {{"Id", "a\x7f"}}}, false},
        {{"GET", "/a", {{"X: y\r\nId", "a"}}}, false},
        {{"GET", "/a", {{"X Id", "a"}}}, false},
        {{"GET", "/a", {{"", "a"}}}, false},
    };
    for (const row& each : rows)
    {
        const auto text = to_text(each.head);
        const std::string seen = each.head.method + " " + each.head.target;
        LONGS_EQUAL_TEXT(each.is_written, text.has_value(), seen.c_str());
        if (!text)
            CHECK_TRUE(text.error().code == snipeplank::core::error_code::message_invalid);
        const auto answer = to_text(response_head{200, each.head.headers});
        const bool has_valid_line = each.head.method == "GET" && each.head.target == "/a";
        if (has_valid_line || each.is_written)
            LONGS_EQUAL_TEXT(each.is_written, answer.has_value(), seen.c_str());
    }
}

// Fails when a text counts as the value of a field that does not arrive as it was sent.
TEST(http_message, field_values_arrive_as_they_were_sent)
{
    for (const char* text : {"i-1", "a b", "caf\xc3\xa9", "a,b;c=\"d\""})
    {
        CHECK_TRUE_TEXT(is_field_value(text), text);
    }
    for (const char* text : {"", " a", "a\t", "a\r\nb", "a\nb", "a\x01", "\x7f"})
    {
        CHECK_FALSE_TEXT(is_field_value(text), text);
    }
}
