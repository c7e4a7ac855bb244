/// Guards against a node that starts with settings other than its operator intended.

#include <snipeplank/settings/node_settings.hpp>

#include <property.hpp>

#include <string>

#include "documents.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

/// Text of random YAML tokens, which reaches deeper into the parser than random characters do.
rc::Gen<std::string> yaml_like_text()
{
    const auto piece = rc::gen::element<std::string>(
        "node:", "fleet:", "keys", ": ", "\n", "  ", "- ", "[", "]", "{", "}", "'", "\"", "&a ",
        "*a", "!!int ", "|", ">", "#", "%YAML 1.2\n", "---\n", "...\n", "? ", "\t", "\\x", ",",
        "region", "127.0.0.1:9000", "~", "0x1F", "\xff\xfe", "\xef\xbb\xbf", "<<", "@", "`");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                        [](const std::vector<std::string>& pieces)
                        {
                            std::string text;
                            for (const std::string& each : pieces)
                            {
                                text += each;
                            }
                            return text;
                        });
}

} // namespace

TEST_GROUP(node_settings){};

TEST(node_settings, every_value_of_a_valid_file_is_read)
{
    const auto parsed = parse_node_settings(valid_node, "node.yaml");
    CHECK_TRUE_TEXT(parsed.has_value(), parsed ? "" : parsed.error().to_string().c_str());
    const node_settings& settings = parsed.value();
    STRCMP_EQUAL("127.0.0.1:9000", settings.caller_address.get().c_str());
    STRCMP_EQUAL("127.0.0.1:9001", settings.peer_address.get().c_str());
    STRCMP_EQUAL("127.0.0.1:9002", settings.admin_address.get().c_str());
    STRCMP_EQUAL("salzkammer", settings.region.get().c_str());
    STRCMP_EQUAL("salzkammer-a", settings.zone.get().c_str());
    LONGS_EQUAL(2, settings.config_service.size());
    STRCMP_EQUAL("127.0.0.1:8501", settings.config_service[1].get().c_str());
    STRCMP_EQUAL("127.0.0.1:8600", settings.host_list.get().c_str());
    LONGS_EQUAL(1, settings.fleet_keys.size());
    STRCMP_EQUAL("00112233445566778899aabbccddeeff", settings.fleet_keys[0].c_str());
    LONGS_EQUAL(100, settings.max_connections);
    LONGS_EQUAL(2000, settings.max_body.count);
    CHECK_TRUE(settings.format == log_format::json);
    STRCMP_EQUAL("warning", settings.log_level.c_str());
}

// Guards against a node behind address translation that listens on the address that its peers
// connect to.
TEST(node_settings, peer_listen_may_differ_from_peer_address)
{
    const auto same = parse_node_settings(valid_node, "node.yaml");
    STRCMP_EQUAL("127.0.0.1:9001", same.value().peer_listen.get().c_str());
    const std::string text = replace_first(valid_node, "  admin_address",
                                           "  peer_listen: 127.0.0.1:9003\n  admin_address");
    const auto parsed = parse_node_settings(text, "node.yaml");
    STRCMP_EQUAL("127.0.0.1:9001", parsed.value().peer_address.get().c_str());
    STRCMP_EQUAL("127.0.0.1:9003", parsed.value().peer_listen.get().c_str());
}

TEST(node_settings, limits_and_log_may_be_left_out)
{
    const std::string text = valid_node.substr(0, valid_node.find("limits:"));
    const auto parsed = parse_node_settings(text, "node.yaml");
    CHECK_TRUE(parsed.has_value());
    LONGS_EQUAL(512, parsed.value().max_connections);
    LONGS_EQUAL(1'048'576, parsed.value().max_body.count);
    CHECK_TRUE(parsed.value().format == log_format::text);
}

TEST(node_settings, each_fault_is_refused_with_file_line_key_and_remedy)
{
    struct row
    {
        const char* from;
        const char* to;
        const char* expected;
    };
    const row rows[] = {
        {"  region: salzkammer\n", "", "node.yaml:1: node.region: the key is missing"},
        {"platform:\n", "extra: 1\nplatform:\n", "node.yaml:7: extra: unknown key"},
        {"  zone:", "  rack: a\n  zone:", "node.yaml:6: node.rack: unknown key"},
        {"  zone:", "  region: b\n  zone:", "node.yaml:6: region: this key is given twice"},
        {"log:\n", "limits:\n", "limits: this key is given twice"},
        {"max_body_bytes: 2000", "max_body_kb: 2", "write max_body_bytes"},
        {"max_body_bytes: 2000", "max_body_bytes: 2KB", "limits.max_body_bytes: \"2KB\" is not"},
        {"max_body_bytes: 2000", "max_body_bytes: '2000'", "is not a whole number"},
        {"max_body_bytes: 2000", "max_body_bytes: 1048577", "is out of range"},
        {"max_body_bytes: 2000", "max_body_bytes: 99999999999999999999999", "is out of range"},
        {"max_body_bytes: 2000", "max_body_bytes: 2e3", "is not a whole number"},
        {"max_connections: 100", "max_connections: 0", "node.yaml:14: limits.max_connections: 0"},
        {"max_connections: 100", "max_connections: -1", "is not a whole number"},
        {"max_connections: 100", "max_connections:", "expected a single value"},
        {"max_connections: 100", "max_connections: [1]", "expected a single value"},
        {"caller_address: 127.0.0.1:9000", "caller_address: localhost:9000",
         "node.yaml:2: node.caller_address: \"localhost:9000\" is not IP:port; write IP:port"},
        {"admin_address: 127.0.0.1:9002", "admin_address: 127.0.0.1:9000", "the same value"},
        {"127.0.0.1:8501", "127.0.0.1:8500", "platform.config_service[1]: the same value"},
        {"[127.0.0.1:8500, 127.0.0.1:8501]", "[]", "the list has 0 items"},
        {"[127.0.0.1:8500, 127.0.0.1:8501]", "127.0.0.1:8500", "expected a list"},
        {"region: salzkammer", "region: Salz kammer", "is not a name"},
        {"AABBCCDDEEFF", "AABBCCDDEEF", "fleet.keys[0]: not a hexadecimal string"},
        {"AABBCCDDEEFF", "AABBCCDDEEFG", "fleet.keys[0]: not a hexadecimal string"},
        {"limits:", "    - 00112233445566778899aabbccddeeff\nlimits:", "fleet.keys[1]: the same"},
        {"format: json", "format: xml", "write one of: text, json"},
        {"level: warning", "level: loud", "write one of: info, trace"},
        {"log:\n", "log: &a\n", "anchors and aliases are not supported"},
        {"level: warning", "level: !!str warning", "tags are not supported"},
        {"  level: warning", "\tlevel: warning", "node.yaml:18:"},
        {"node:\n", "node: [\n", "node.yaml:"},
        {"log:\n", "---\nlog:\n", "a second document"},
    };
    for (const row& each : rows)
    {
        const std::string text = replace_first(valid_node, each.from, each.to);
        check_refused(parse_node_settings(text, "node.yaml"), each.expected, each.to);
    }
    check_refused(parse_node_settings("", "node.yaml"), "the file is empty", "empty text");
    check_refused(parse_node_settings("just text", "node.yaml"), "a group of keys", "a scalar");
}

TEST(node_settings, errors_never_show_a_fleet_key)
{
    const std::string text = replace_first(valid_node, "AABBCCDDEEFF", "AABBCCDDEEFZ");
    const auto parsed = parse_node_settings(text, "node.yaml");
    CHECK_FALSE(parsed.has_value());
    CHECK_TRUE(parsed.error().to_string().find("001122") == std::string::npos);
}

TEST(node_settings, an_unreadable_file_is_refused_with_a_remedy)
{
    check_refused(load_node_settings("/nonexistent/node.yaml"), "the file is unreadable",
                  "no file");
    check_refused(load_node_settings("/"), "the file is unreadable", "a directory");
}

TEST(node_settings, deep_nesting_is_refused)
{
    // A recursive parser would overflow its stack.
    check_refused(parse_node_settings(std::string(100'000, '['), "node.yaml"), "node.yaml:", "[");
    check_refused(parse_node_settings(std::string(100'000, '{'), "node.yaml"), "node.yaml:", "{");
    std::string dashes;
    for (int i = 0; i < 20'000; ++i)
    {
        dashes += "- ";
    }
    check_refused(parse_node_settings(dashes, "node.yaml"), "node.yaml:", "- -");
}

TEST(node_settings, arbitrary_text_never_throws)
{
    snipeplank::tests::check_property("arbitrary characters",
                                      [](const std::string& text)
                                      {
                                          const auto parsed = parse_node_settings(text, "f");
                                          RC_ASSERT(!parsed.has_value());
                                          RC_ASSERT(!parsed.error().remedy.empty());
                                      });
    snipeplank::tests::check_property("YAML-like pieces",
                                      []
                                      {
                                          const std::string text = *yaml_like_text();
                                          const auto parsed = parse_node_settings(text, "f");
                                          RC_ASSERT(!parsed.has_value());
                                          RC_ASSERT(!parsed.error().remedy.empty());
                                      });
}

TEST(node_settings, a_damaged_file_is_read_or_refused_but_never_throws)
{
    snipeplank::tests::check_property("one piece of a valid file overwritten",
                                      []
                                      {
                                          std::string text = valid_node;
                                          const auto at =
                                              *rc::gen::inRange<std::size_t>(0, text.size());
                                          const auto length = *rc::gen::inRange<std::size_t>(0, 20);
                                          text.replace(at, length, *yaml_like_text());
                                          const auto parsed = parse_node_settings(text, "f");
                                          // RC_ASSERT evaluates both sides of ||, so the condition
                                          // is one value.
                                          const bool is_valid_outcome =
                                              parsed.has_value() || !parsed.error().remedy.empty();
                                          RC_ASSERT(is_valid_outcome);
                                      });
}
