/// Guards against two forms of one address, which would make one node appear as two.

#include <snipeplank/settings/address.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using snipeplank::settings::parse_address;

TEST_GROUP(address){};

TEST(address, valid_addresses_are_returned_in_canonical_form)
{
    struct row
    {
        const char* input;
        const char* expected;
    };
    const row rows[] = {
        {"127.0.0.1:9100", "127.0.0.1:9100"}, {"10.1.2.3:65535", "10.1.2.3:65535"},
        {"10.1.2.3:0080", "10.1.2.3:80"},     {"[::1]:9100", "[::1]:9100"},
        {"[0:0:0:0:0:0:0:1]:1", "[::1]:1"},   {"[FE80::1]:1", "[fe80::1]:1"},
    };
    for (const row& each : rows)
    {
        const auto parsed = parse_address(each.input);
        CHECK_TRUE_TEXT(parsed.has_value(), each.input);
        STRCMP_EQUAL(each.expected, parsed.value().get().c_str());
    }
}

TEST(address, invalid_addresses_are_refused_with_a_remedy)
{
    const std::string nul_inside("127.0.0.1\0x:9100", 16);
    const std::string rows[] = {
        "",           ":",           "localhost:9100",  "127.0.0.1",        "127.0.0.1:",
        ":9100",      "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",     "127.0.0.1:+1",
        "::1:9100",   "[::1]",       "[]:9100",         "[127.0.0.1]:9100", "127.0.0.1:91 ",
        "0.0.0.0:91", "[::]:9100",   "256.0.0.1:9100",  "127.1:9100",       " 127.0.0.1:9100",
        "]:9100",     "[:9100",      nul_inside,
    };
    for (const std::string& each : rows)
    {
        const auto parsed = parse_address(each);
        CHECK_FALSE_TEXT(parsed.has_value(), each.c_str());
        CHECK_FALSE_TEXT(parsed.error().remedy.empty(), each.c_str());
    }
}
