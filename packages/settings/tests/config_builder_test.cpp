/// Guards against a configuration that depends on which sections the node has cached.

#include <snipeplank/settings/config_builder.hpp>

#include <property.hpp>

#include <string>
#include <vector>

#include "describe.hpp"
#include "documents.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

/// A manifest and its sections as they are published.
struct publication
{
    manifest index;
    std::map<std::string, std::string> sections;

    void add(const std::string& name, const std::string& text)
    {
        const std::string hash = core::sha256_hex(text);
        index.sections.push_back({name, hash});
        sections[hash] = text;
    }
};

std::string account_text(const std::string& id, const std::string& key, const std::string& home)
{
    return "  - id: " + id + "\n    key_sha256: " + core::sha256_hex(key) + "\n    home: " + home +
           "\n";
}

/// A publication with random accounts, homes, keys and regions, some of them invalid.
publication draw_publication()
{
    publication drawn;
    drawn.index.version = core::config_version{*rc::gen::inRange<std::uint64_t>(1, 100)};
    const bool has_ennstal = *rc::gen::inRange(0, 4) != 0;
    const std::string fleet =
        has_ennstal ? valid_fleet : replace_first(valid_fleet, "ennstal:", "murtal:");
    drawn.add("fleet", has_ennstal ? fleet : replace_first(fleet, ", ennstal]", ", murtal]"));
    drawn.add("services", valid_services);
    std::map<std::string, std::string> texts;
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = "account-" + std::to_string(i);
        const std::string key = *rc::gen::inRange(0, 12) == 0 ? "shared" : id;
        const std::string home = *rc::gen::inRange(0, 12) == 0 ? "ennstal" : "salzkammer";
        if (*rc::gen::inRange(0, 3) != 0)
        {
            texts[account_section_name(core::account_id{id})] += account_text(id, key, home);
        }
    }
    for (const auto& [name, text] : texts)
    {
        drawn.add(name, "accounts:\n" + text);
    }
    return drawn;
}

std::string outcome(const core::result<published_config>& built)
{
    return built ? describe(built.value()) : built.error().to_string();
}

} // namespace

TEST_GROUP(config_builder){};

TEST(config_builder, a_reused_builder_gives_the_same_result_as_a_new_one)
{
    snipeplank::tests::check_property(
        "a sequence of publications",
        []
        {
            config_builder reused;
            for (int i = 0; i < 8; ++i)
            {
                const publication drawn = draw_publication();
                RC_ASSERT(outcome(reused.build(drawn.index, drawn.sections)) ==
                          outcome(build_config(drawn.index, drawn.sections)));
            }
        });
}

TEST(config_builder, an_account_is_checked_again_when_the_regions_change)
{
    publication before;
    before.add("fleet", valid_fleet);
    before.add("services", valid_services);
    const auto [name, text] = account_section("buyer-1", "ennstal");
    before.add(name, text);
    publication after;
    after.add("fleet", replace_first(replace_first(valid_fleet, "ennstal:", "murtal:"),
                                     ", ennstal]", ", murtal]"));
    after.add("services", valid_services);
    after.add(name, text);
    config_builder builder;
    CHECK_TRUE(builder.build(before.index, before.sections).has_value());
    check_refused(builder.build(after.index, after.sections), "region \"ennstal\" is not listed",
                  "region removed");
    CHECK_TRUE(builder.build(before.index, before.sections).has_value());
}

TEST(config_builder, a_cached_section_without_its_text_is_refused)
{
    // Validity depends on the documents alone, not on what a node has read before.
    publication published;
    published.add("fleet", valid_fleet);
    published.add("services", valid_services);
    const auto [name, text] = account_section("buyer-1", "ennstal");
    published.add(name, text);
    config_builder builder;
    CHECK_TRUE(builder.build(published.index, published.sections).has_value());
    published.sections.erase(core::sha256_hex(text));
    check_refused(builder.build(published.index, published.sections), "the section has no text",
                  "text gone");
}
