/// Guards against generated files that a node refuses or that differ from the answers.

#include <snipeplank/settings/generator.hpp>

#include <property.hpp>

#include <string>

#include "describe.hpp"
#include "documents.hpp"
#include "random_answers.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

/// Reads the published files of a generated set as a node does.
core::result<published_config> read_published(const generated_files& files)
{
    std::map<std::string, std::string> sections;
    const auto index = parse_manifest(files.at("publish/manifest.yaml"), "manifest.yaml");
    if (!index)
    {
        return index.as_failure();
    }
    for (const section_ref& section : index.value().sections)
    {
        sections[section.sha256] = files.at("publish/sections/" + section.sha256 + ".yaml");
    }
    return build_config(index.value(), sections);
}

/// The configuration expected for the answers, derived without the generator.
published_config expected_config(const answers& given)
{
    published_config config;
    config.version = given.version;
    config.regions = given.regions;
    for (const auto& [a, zones_of_a] : given.regions)
    {
        for (const auto& [b, zones_of_b] : given.regions)
        {
            if (a < b)
            {
                const link_answer link = *link_between(given, a, b);
                config.links.push_back({a, b, link.delay,
                                        core::from_megabits(link.megabits_per_second),
                                        spill_share_of(given.tolerance.other_region)});
            }
        }
    }
    for (const auto& [name, service] : given.services)
    {
        config.services[name] = service.config;
    }
    const auto level = [](tolerance_level given_level) { return static_cast<int>(given_level); };
    constexpr double latency[] = {1, 0.5, 0.25};
    constexpr double cost[] = {1, 0.2, 0.05};
    constexpr double away[] = {1, 0.5, 0.1};
    config.weights = {latency[level(given.tolerance.delay)], cost[level(given.tolerance.cost)],
                      away[level(given.tolerance.other_region)]};
    config.weight_store_rate = core::from_megabits(given.weight_store_megabits);
    config.weight_store_region = given.weight_store_region;
    for (const auto& [id, account] : given.accounts)
    {
        config.accounts[account.key_sha256] = account;
    }
    config.asks_for_keys = given.asks_for_keys();
    return config;
}

/// Whether the line begins an account and its comment names that account's answers.
bool names_account(const std::string& line)
{
    const std::string begin = "  - id: ";
    const std::size_t comment = line.find("  # from accounts.");
    return line.starts_with(begin) && comment != std::string::npos &&
           line == begin + line.substr(begin.size(), comment - begin.size()) +
                       "  # from accounts." + line.substr(begin.size(), comment - begin.size());
}

/// Whether each value line names the answer it is derived from. The values of an account have the
/// names of its answers, so the comment on its first line covers all of them.
bool is_commented(const std::string& text)
{
    std::istringstream lines(text);
    std::string line;
    bool is_in_account = false;
    while (std::getline(lines, line))
    {
        const std::size_t colon = line.find(": ");
        const bool is_value = colon != std::string::npos && line.front() != '#';
        // Names and pairs of regions are answers themselves and need no comment.
        const bool is_label = line.find("- name:") != std::string::npos ||
                              line.find("- between:") != std::string::npos ||
                              line.find(": [region-") != std::string::npos;
        is_in_account = line.starts_with("    ") ? is_in_account : names_account(line);
        const bool is_hash = line.starts_with("    hash: ");
        if (is_value && !is_label && !is_hash && !is_in_account &&
            line.find("  # ") == std::string::npos)
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(generator){};

TEST(generator, generated_configurations_are_valid_and_match_the_answers)
{
    snipeplank::tests::check_property("generated configuration",
                                      []
                                      {
                                          const answers given = *valid_answers();
                                          const auto files = generate_files(given);
                                          RC_ASSERT(files.has_value());
                                          const auto config = read_published(files.value());
                                          RC_ASSERT(config.has_value());
                                          RC_ASSERT(describe(config.value()) ==
                                                    describe(expected_config(given)));
                                      });
}

TEST(generator, each_entry_host_gets_valid_settings_of_its_own)
{
    snipeplank::tests::check_property(
        "generated node settings",
        []
        {
            const answers given = *valid_answers();
            const auto files = generate_files(given);
            RC_ASSERT(files.has_value());
            for (const auto& [name, host] : given.entry_hosts)
            {
                const auto node =
                    parse_node_settings(files.value().at("nodes/" + name + ".yaml"), name);
                RC_ASSERT(node.has_value());
                const node_settings& settings = node.value();
                RC_ASSERT(settings.admin_address.get() == host.ip + ":8082");
                RC_ASSERT(settings.zone == host.zone);
                RC_ASSERT(settings.region == region_of(given, host.zone));
                RC_ASSERT(settings.fleet_keys == given.fleet_keys);
                RC_ASSERT(settings.config_service == given.config_service);
                RC_ASSERT(settings.max_body == given.max_body.value_or(core::bytes{1'048'576}));
            }
        });
}

TEST(generator, the_same_answers_give_the_same_bytes)
{
    snipeplank::tests::check_property("answers written and read again",
                                      []
                                      {
                                          const answers given = *valid_answers();
                                          const std::string text = render_answers(given);
                                          const auto again = parse_answers(text, "answers.yaml");
                                          RC_ASSERT(again.has_value());
                                          RC_ASSERT(render_answers(again.value()) == text);
                                          RC_ASSERT(generate_files(again.value()).value() ==
                                                    generate_files(given).value());
                                      });
}

TEST(generator, each_generated_value_has_a_comment_naming_its_answer)
{
    snipeplank::tests::check_property("comments",
                                      []
                                      {
                                          const auto files = generate_files(*valid_answers());
                                          RC_ASSERT(files.has_value());
                                          for (const auto& [path, text] : files.value())
                                          {
                                              RC_ASSERT(is_commented(text));
                                          }
                                      });
}

TEST(generator, a_change_of_one_account_changes_one_section)
{
    // A change of one account republishes only the manifest and one section.
    answers given;
    const auto load = load_answers(std::string{EXAMPLES_DIR} + "/hallstein.answers.yaml");
    CHECK_TRUE_TEXT(load.has_value(), load ? "" : load.error().to_string().c_str());
    given = load.value();
    const generated_files before = generate_files(given).value();
    given.accounts.begin()->second.burst += 1;
    std::size_t changed = 0;
    const generated_files after = generate_files(given).value();
    for (const auto& [path, text] : after)
    {
        changed += !before.contains(path) || before.at(path) != text;
    }
    LONGS_EQUAL(2, changed);
}

// Fails when callers need no key any more once the operator has removed the last account
// (review/7).
TEST(generator, without_any_account_left_callers_still_need_a_key)
{
    snipeplank::tests::check_property(
        "answers without accounts",
        []
        {
            answers given = *valid_answers();
            given.accounts.clear();
            given.lists_accounts = *rc::gen::arbitrary<bool>();
            const auto read = parse_answers(render_answers(given), "answers.yaml");
            RC_ASSERT(read.has_value());
            const auto files = generate_files(read.value());
            RC_ASSERT(files.has_value());
            const auto config = read_published(files.value());
            RC_ASSERT(config.has_value());
            RC_ASSERT(config.value().asks_for_keys == given.lists_accounts);
        });
}

TEST(generator, names_that_yaml_reads_as_null_are_quoted)
{
    // Unquoted, a region called null would be missing after the generated file is parsed.
    answers given = load_answers(std::string{EXAMPLES_DIR} + "/hallstein.answers.yaml").value();
    const core::region_id odd{"null"};
    given.regions[odd] = {core::zone_id{"true"}};
    given.entry_hosts["1e5"] = {core::zone_id{"true"}, "127.9.9.9"};
    const auto files = generate_files(given);
    CHECK_TRUE_TEXT(files.has_value(), files ? "" : files.error().to_string().c_str());
    CHECK_TRUE(read_published(files.value()).value().regions.contains(odd));
    CHECK_TRUE(parse_answers(render_answers(given), "a").value().regions.contains(odd));
}
