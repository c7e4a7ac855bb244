/// Tests that no name or value changes the target of a request around it.

#include <snipeplank/http/message.hpp>
#include <snipeplank/http/request_target.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>

using namespace snipeplank::http;
using snipeplank::tests::check_property;

TEST_GROUP(request_target){};

// Fails when a value ends its parameter or the request line (review/2).
TEST(request_target, values_are_encoded)
{
    struct row
    {
        std::string value;
        const char* encoded;
    };
    const row rows[] = {{"servers/i-1", "servers/i-1"},
                        {"edge&test", "edge%26test"},
                        {"a b", "a%20b"},
                        {"a+b", "a%2Bb"},
                        {"100%", "100%25"},
                        {"%26", "%2526"},
                        {"#?=;,\"\\", "%23%3F%3D%3B%2C%22%5C"},
                        {"a\r\nX: y", "a%0D%0AX%3A%20y"},
                        {std::string("\0\x7f\xc3\xa9\xff", 5), "%00%7F%C3%A9%FF"},
                        {"-._~", "-._~"},
                        {"", ""}};
    for (const row& each : rows)
    {
        const std::string text = request_target("/p").add("after", each.value).text();
        STRCMP_EQUAL(("/p?after=" + std::string(each.encoded)).c_str(), text.c_str());
    }
}

TEST(request_target, paths_and_parameters_are_joined)
{
    request_target target("/v1/kv/a b?c");
    STRCMP_EQUAL("/v1/kv/a%20b%3Fc", target.text().c_str());
    target.add("one", std::uint64_t{18'446'744'073'709'551'615U}).add("t&o", "");
    STRCMP_EQUAL("/v1/kv/a%20b%3Fc?one=18446744073709551615&t%26o=", target.text().c_str());
}

// Fails when some name or value does not arrive as it was given, or the target is no valid one.
TEST(request_target, any_bytes_arrive_as_they_were_given)
{
    check_property("parameters survive",
                   []
                   {
                       const auto given =
                           *rc::gen::arbitrary<std::vector<std::pair<std::string, std::string>>>();
                       request_target target("/p");
                       for (const auto& [name, value] : given)
                       {
                           target.add(name, value);
                       }
                       RC_ASSERT(query_parameters(query_of(target.text())) == given);
                       RC_ASSERT(to_text(request_head{"GET", target.text(), {}}).has_value());
                   });
}
