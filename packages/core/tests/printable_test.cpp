/// Tests that text of other programs stays within its line, its label and its JSON string.

#include <snipeplank/core/base64.hpp>
#include <snipeplank/core/error.hpp>
#include <snipeplank/core/json_text.hpp>
#include <snipeplank/core/printable.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>

using namespace snipeplank::core;
using snipeplank::tests::check_property;

TEST_GROUP(printable){};

// Fails when a text begins a line of its own, controls a terminal or is not UTF-8.
TEST(printable, control_characters_and_invalid_bytes_are_escaped)
{
    struct row
    {
        std::string text;
        const char* shown;
    };
    const row rows[] = {
        {"plain 'text' \\ \"x\"", "plain 'text' \\ \"x\""},
        {"a\nb", "a\\x0ab"},
        {"a\r\n\tb", "a\\x0d\\x0a\\x09b"},
        {"\x1b[2J\x7f", "\\x1b[2J\\x7f"},
        {std::string("a\0b", 3), "a\\x00b"},
        {"caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80", "caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"},
        {"\xc2\x85|\xc2\x9b", "\\xc2\\x85|\\xc2\\x9b"},
        {"\xe2\x80\xa8|\xe2\x80\xa9", "\\xe2\\x80\\xa8|\\xe2\\x80\\xa9"},
        {"\xff\xfe", "\\xff\\xfe"},
        {"\xc3", "\\xc3"},
        {"\xc0\xaf", "\\xc0\\xaf"},
        {"\xed\xa0\x80", "\\xed\\xa0\\x80"},
        {"\xf4\x90\x80\x80", "\\xf4\\x90\\x80\\x80"}};
    for (const row& each : rows)
    {
        STRCMP_EQUAL(each.shown, printable(each.text).c_str());
    }
}

TEST(printable, any_text_becomes_one_line_of_utf8)
{
    check_property("one line",
                   []
                   {
                       const std::string text = *rc::gen::arbitrary<std::string>();
                       const std::string shown = printable(text);
                       RC_ASSERT(is_utf8(shown));
                       RC_ASSERT(shown.find_first_of("\r\n") == std::string::npos);
                       RC_ASSERT(printable(shown) == shown);
                   });
}

// Fails when the message of an error begins a line of its own.
TEST(printable, errors_are_one_line)
{
    const error cause{error_code::config_invalid, "entry 'a\nforged'", "check\r\nit"};
    STRCMP_EQUAL("[210] entry 'a\\x0aforged'; check\\x0d\\x0ait", cause.to_string().c_str());
}

// Fails when the value of a label ends its quotes or its line.
TEST(printable, labels_of_metrics_are_escaped)
{
    STRCMP_EQUAL("a\\\"} 1\\\\x0asnipeplank_forged 2",
                 metric_label("a\"} 1\nsnipeplank_forged 2").c_str());
    STRCMP_EQUAL("shop", metric_label("shop").c_str());
}

// Fails when bytes that are not UTF-8 in a string of a document throw.
TEST(printable, documents_with_any_bytes_become_text)
{
    const nlohmann::json document = {{"a", "x\xff\n"}};
    STRCMP_EQUAL("{\"a\":\"x\xef\xbf\xbd\\n\"}", json_text(document).c_str());
    STRCMP_EQUAL("{\n  \"a\": \"x\xef\xbf\xbd\\n\"\n}", json_text(document, 2).c_str());
}

TEST(printable, base64_holds_any_bytes)
{
    check_property("base64 survives",
                   []
                   {
                       const std::string bytes = *rc::gen::arbitrary<std::string>();
                       RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
                   });
    STRCMP_EQUAL("eHk=", encode_base64("xy").c_str());
    for (const char* text : {"eHk", "eHk=eHk", "****"})
    {
        CHECK_FALSE_TEXT(decode_base64(text).has_value(), text);
    }
}
