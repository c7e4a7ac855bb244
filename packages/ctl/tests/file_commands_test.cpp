/// Guards against generated files that are invalid, incomplete or reuse a published version.

#include <snipeplank/settings/config_directory.hpp>
#include <snipeplank/settings/detail/read_file.hpp>

#include <fstream>
#include <string>

#include "run.hpp"

using namespace snipeplank;
using namespace snipeplank::ctl;
using namespace snipeplank::ctl::tests;

namespace
{

std::string read(const std::string& path)
{
    const auto text = settings::detail::read_file(path);
    CHECK_TRUE_TEXT(text.has_value(), path.c_str());
    return text.value();
}

void write(const std::string& path, const std::string& text)
{
    std::ofstream(path, std::ios::binary) << text;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    CHECK_TRUE_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_GROUP(file_commands){};

TEST(file_commands, example_answers_generate_files_that_pass_the_check)
{
    for (const char* user : {"hallstein", "tamarack"})
    {
        scratch_directory scratch;
        const std::string out = scratch / "new/out";
        const outcome made = run_ctl({"questionnaire", "--answers", example(user), "--out", out});
        LONGS_EQUAL_TEXT(exit_ok, made.status, made.err.c_str());
        std::vector<std::string> words{"check", out + "/publish"};
        for (const auto& file : std::filesystem::directory_iterator(out + "/nodes"))
        {
            words.push_back(file.path().string());
        }
        LONGS_EQUAL(8, words.size());
        const outcome checked = run_ctl(words);
        LONGS_EQUAL_TEXT(exit_ok, checked.status, checked.err.c_str());
        STRCMP_CONTAINS("valid configuration, version 1, 3 regions, 2 services, 2 accounts",
                        checked.out.c_str());
    }
}

TEST(file_commands, check_reports_every_invalid_file_and_continues)
{
    scratch_directory scratch;
    const std::string out = scratch / "out";
    run_ctl({"questionnaire", "--answers", example("hallstein"), "--out", out});
    const std::string good = out + "/nodes/murtal-1.yaml";
    const std::string bad = scratch / "bad.yaml";
    write(bad, replaced(read(good), "region: murtal", "region: Murtal"));
    const outcome result = run_ctl({"check", bad, scratch / "absent.yaml", scratch / "", good});
    LONGS_EQUAL(exit_refused, result.status);
    STRCMP_CONTAINS("node.region: \"Murtal\" is not a name; use", result.err.c_str());
    STRCMP_CONTAINS("absent.yaml: the file is unreadable; check", result.err.c_str());
    STRCMP_CONTAINS("manifest.yaml: the file is unreadable; check", result.err.c_str());
    STRCMP_CONTAINS("murtal-1.yaml: valid node settings", result.out.c_str());
}

TEST(file_commands, check_refuses_an_edited_or_absent_section)
{
    scratch_directory scratch;
    const std::string out = scratch / "out";
    run_ctl({"questionnaire", "--answers", example("hallstein"), "--out", out});
    const auto first = *std::filesystem::directory_iterator(out + "/publish/sections");
    const std::string section = first.path().string();
    write(section, read(section) + "\n");
    const outcome edited = run_ctl({"check", out + "/publish"});
    LONGS_EQUAL(exit_refused, edited.status);
    STRCMP_CONTAINS("does not have the hash in the manifest; publish", edited.err.c_str());
    std::filesystem::remove(section);
    LONGS_EQUAL(exit_refused, run_ctl({"check", out + "/publish"}).status);
}

TEST(file_commands, the_same_answers_write_the_same_bytes)
{
    scratch_directory scratch;
    for (const char* name : {"a", "b", "a"})
    {
        const outcome made =
            run_ctl({"questionnaire", "--answers", example("tamarack"), "--out", scratch / name});
        LONGS_EQUAL_TEXT(exit_ok, made.status, made.err.c_str());
    }
    std::size_t files = 0;
    for (const auto& file : std::filesystem::recursive_directory_iterator(scratch / "a"))
    {
        if (!file.is_regular_file())
        {
            continue;
        }
        const std::string path = file.path().string();
        STRCMP_EQUAL(read(path).c_str(),
                     read(scratch / "b" + path.substr((scratch / "a").size())).c_str());
        ++files;
    }
    LONGS_EQUAL(11, files);
}

TEST(file_commands, changed_content_under_the_same_version_is_refused)
{
    // Nodes retain the first content of a version, so the second would never be in force.
    scratch_directory scratch;
    const std::string out = scratch / "out";
    const std::string changed = scratch / "changed.yaml";
    run_ctl({"questionnaire", "--answers", example("tamarack"), "--out", out});
    const std::string before = read(out + "/publish/manifest.yaml");
    const std::string text =
        replaced(read(example("tamarack")), "calls_per_second: 20", "calls_per_second: 25");
    write(changed, text);
    const outcome refused = run_ctl({"questionnaire", "--answers", changed, "--out", out});
    LONGS_EQUAL(exit_refused, refused.status);
    STRCMP_CONTAINS("set `version` in the answers above 1", refused.err.c_str());
    STRCMP_EQUAL(before.c_str(), read(out + "/publish/manifest.yaml").c_str());
    write(changed, replaced(text, "version: 1", "version: 2"));
    LONGS_EQUAL(exit_ok, run_ctl({"questionnaire", "--answers", changed, "--out", out}).status);
    LONGS_EQUAL(2, settings::load_config_directory(out + "/publish").value().version.get());
}

TEST(file_commands, contradictory_answers_write_nothing)
{
    scratch_directory scratch;
    const std::string changed = scratch / "changed.yaml";
    write(changed, replaced(read(example("tamarack")), "deadline_ms: 10000", "deadline_ms: 10"));
    const outcome refused =
        run_ctl({"questionnaire", "--answers", changed, "--out", scratch / "out"});
    LONGS_EQUAL(exit_refused, refused.status);
    STRCMP_CONTAINS("services.orders.deadline_ms", refused.err.c_str());
    CHECK_FALSE(std::filesystem::exists(scratch / "out"));
}

TEST(file_commands, a_directory_that_cannot_be_written_is_reported)
{
    scratch_directory scratch;
    write(scratch / "file", "");
    const outcome result =
        run_ctl({"questionnaire", "--answers", example("tamarack"), "--out", scratch / "file"});
    LONGS_EQUAL(exit_refused, result.status);
    STRCMP_CONTAINS("cannot be written; check", result.err.c_str());
}

TEST(file_commands, only_the_owner_can_read_files_with_the_fleet_key)
{
    scratch_directory scratch;
    const std::string out = scratch / "out";
    run_ctl({"questionnaire", "--answers", example("tamarack"), "--out", out});
    const auto for_others = [](const std::string& path)
    {
        return std::filesystem::status(path).permissions() &
               (std::filesystem::perms::group_all | std::filesystem::perms::others_all);
    };
    std::size_t nodes = 0;
    for (const auto& file : std::filesystem::directory_iterator(out + "/nodes"))
    {
        CHECK_TRUE(for_others(file.path().string()) == std::filesystem::perms::none);
        ++nodes;
    }
    LONGS_EQUAL(6, nodes);
}

TEST(file_commands, interactive_run_never_overwrites_existing_answers)
{
    // The existing file contains the fleet key in use.
    scratch_directory scratch;
    write(scratch / "answers.yaml", "earlier");
    fake_node unreachable_node;
    const outcome refused =
        run_ctl({"questionnaire", "--out", scratch / ""}, unreachable_node.connector(), "\n", true);
    LONGS_EQUAL(exit_refused, refused.status);
    STRCMP_CONTAINS("give it with --answers", refused.err.c_str());
    STRCMP_EQUAL("earlier", read(scratch / "answers.yaml").c_str());
}

TEST(file_commands, interactive_run_saves_its_answers)
{
    scratch_directory scratch;
    const std::string typed = "\neast\n\n\n\n\n\n127.0.0.1:8500\n127.0.0.1:8600\n127.1.1.1\n\n\n\n"
                              "chat\n\n\n\n\n\n\n\n\n\n127.2.1.1:1\n\n\n\n\n\n";
    fake_node unreachable_node;
    const std::string out = scratch / "out";
    const outcome asked =
        run_ctl({"questionnaire", "--out", out}, unreachable_node.connector(), typed, true);
    LONGS_EQUAL_TEXT(exit_ok, asked.status, (asked.out + asked.err).c_str());
    const outcome again =
        run_ctl({"questionnaire", "--answers", out + "/answers.yaml", "--out", scratch / "again"});
    LONGS_EQUAL_TEXT(exit_ok, again.status, again.err.c_str());
    STRCMP_EQUAL(read(out + "/publish/manifest.yaml").c_str(),
                 read(scratch / "again/publish/manifest.yaml").c_str());
}
