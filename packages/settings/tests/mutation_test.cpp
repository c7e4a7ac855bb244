/// Guards against a typing error in a file that is accepted with another meaning.

#include <snipeplank/settings/generator.hpp>

#include <property.hpp>

#include <sstream>
#include <string>
#include <vector>

#include "describe.hpp"
#include "random_answers.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

using line_list = std::vector<std::string>;

line_list split(const std::string& text)
{
    std::istringstream stream(text);
    line_list lines;
    std::string line;
    while (std::getline(stream, line))
    {
        lines.push_back(line);
    }
    return lines;
}

std::string join(const line_list& lines)
{
    std::string text;
    for (const std::string& line : lines)
    {
        text += line + "\n";
    }
    return text;
}

/// Position of the key in a line, after indentation and `- `.
std::size_t key_begin(const std::string& line)
{
    return line.find_first_not_of(" -");
}

/// Whether the key belongs to the schema. Names of services are chosen by the author.
bool has_schema_key(const std::string& line)
{
    return line.find(':') != std::string::npos && line.find('#') != key_begin(line) &&
           line.compare(key_begin(line), 8, "service-") != 0;
}

/// Whether the value of the line, without its comment, is a number.
bool has_number(const std::string& line)
{
    const std::size_t colon = line.find(": ");
    const std::size_t end = line.find("  #");
    return colon != std::string::npos && end != std::string::npos && end > colon + 2 &&
           line.substr(colon + 2, end - colon - 2).find_first_not_of("0123456789.") ==
               std::string::npos &&
           line.find("key_sha256") == std::string::npos && line.find("hash") == std::string::npos;
}

/// Whether the line has a key with a default value, or a name chosen by the author.
bool is_optional(const std::string& line)
{
    for (const char* key :
         {"residency:", "deadline_ms:", "calls_per_upstream:", "ticket:", "not_run_statuses:",
          "engine:", "calls_per_second:", "burst:", "max_connections:", "max_body_bytes:",
          "format:", "level:", "limits:", "log:", "service-", "region-"})
    {
        if (line.find(key) != std::string::npos)
        {
            return true;
        }
    }
    return false;
}

enum class mutation
{
    duplicate_line,
    duplicate_with_other_value,
    misspell_key,
    add_unit_to_key,
    add_unit_to_value,
    quote_number,
    delete_required,
    indent_more,
    indent_less,
    tab,
    add_comment,
    add_blank,
    trailing_spaces,
    double_indentation,
    windows_line_ends,
};

/// Applies a mutation at a line; returns the text unchanged where the mutation does not apply.
std::string mutate(const std::string& text, mutation kind, std::size_t at)
{
    line_list lines = split(text);
    at %= lines.size();
    std::string& line = lines[at];
    const auto position = lines.begin() + static_cast<std::ptrdiff_t>(at);
    const std::size_t key_end = line.find(':');
    switch (kind)
    {
    case mutation::duplicate_line:
        if (key_end != std::string::npos)
        {
            lines.insert(position, std::string{line});
        }
        break;
    case mutation::duplicate_with_other_value:
        if (has_number(line))
        {
            std::string other = line;
            other.insert(other.find("  #"), "1");
            lines.insert(position, other);
        }
        break;
    case mutation::misspell_key:
        if (has_schema_key(line))
        {
            line.insert(key_begin(line) + 1, "x");
        }
        break;
    case mutation::add_unit_to_key:
        if (has_schema_key(line))
        {
            line.insert(key_end, "_s");
        }
        break;
    case mutation::add_unit_to_value:
        if (has_number(line))
        {
            line.insert(line.find("  #"), "ms");
        }
        break;
    case mutation::quote_number:
        if (has_number(line))
        {
            line.insert(line.find("  #"), "'");
            line.insert(line.find(": ") + 2, "'");
        }
        break;
    case mutation::delete_required:
        if (has_schema_key(line) && !is_optional(line))
        {
            lines.erase(position);
        }
        break;
    case mutation::indent_more:
        line.insert(0, " ");
        break;
    case mutation::indent_less:
        line.erase(0, line.front() == ' ' ? 1 : 0);
        break;
    case mutation::tab:
        line.insert(0, "\t");
        break;
    case mutation::add_comment:
        lines.insert(position, "  # a note: with a colon");
        break;
    case mutation::add_blank:
        lines.insert(position, "");
        break;
    case mutation::trailing_spaces:
        line += "   ";
        break;
    case mutation::double_indentation:
        for (std::string& each : lines)
        {
            // The dash of a list item counts as indentation of its first key.
            if (text.find("- ") == std::string::npos)
            {
                each.insert(0, std::string(each.find_first_not_of(' '), ' '));
            }
        }
        break;
    case mutation::windows_line_ends:
        for (std::string& each : lines)
        {
            each += "\r";
        }
        break;
    }
    return join(lines);
}

mutation any_mutation()
{
    constexpr int count = static_cast<int>(mutation::windows_line_ends) + 1;
    return static_cast<mutation>(*rc::gen::inRange(0, count));
}

bool is_harmless(mutation kind)
{
    return kind >= mutation::add_comment;
}

/// Whether a text with the mutation is always an error of its author.
bool must_be_refused(mutation kind)
{
    return kind <= mutation::delete_required;
}

/// Whether a changed text is refused with a remedy or keeps its meaning, as the mutation requires.
template <typename Value>
bool is_safe(const core::result<Value>& after, const std::string& meaning_before, mutation kind,
             bool is_changed)
{
    if (!after.has_value())
    {
        return !after.error().remedy.empty() && !is_harmless(kind);
    }
    return describe(after.value()) == meaning_before && !(is_changed && must_be_refused(kind));
}

struct published
{
    manifest index;
    std::map<std::string, std::string> by_name;
};

published extract_published(const generated_files& files)
{
    published extracted;
    extracted.index = parse_manifest(files.at("publish/manifest.yaml"), "manifest").value();
    for (const section_ref& section : extracted.index.sections)
    {
        extracted.by_name[section.name] = files.at("publish/sections/" + section.sha256 + ".yaml");
    }
    return extracted;
}

/// Builds the configuration with sections under their own hashes.
core::result<published_config> build(const published& extracted)
{
    manifest index{extracted.index.version, {}};
    std::map<std::string, std::string> sections;
    for (const auto& [name, text] : extracted.by_name)
    {
        index.sections.push_back({name, core::sha256_hex(text)});
        sections[core::sha256_hex(text)] = text;
    }
    return build_config(index, sections);
}

constexpr std::uint64_t cases = 800;
constexpr std::uint64_t first_seed = 20'260'101;

/// More cases than the default, because each draws one line of one section.
template <typename Testable>
void check_many(const std::string& description, Testable testable)
{
    for (std::uint64_t i = 0; i < cases / 100; ++i)
    {
        rc::detail::TestParams params;
        params.seed = first_seed + i;
        const auto result = rc::detail::checkTestable(testable, rc::detail::TestMetadata{}, params);
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        CHECK_TRUE_TEXT(result.template is<rc::detail::SuccessResult>(),
                        (description + ": " + text.str()).c_str());
    }
}

} // namespace

TEST_GROUP(mutation){};

TEST(mutation, a_mutated_section_is_refused_or_keeps_its_meaning)
{
    check_many("one mutation of one section",
               []
               {
                   published extracted =
                       extract_published(generate_files(*valid_answers()).value());
                   const std::string before = describe(build(extracted).value());
                   const auto chosen = *rc::gen::elementOf(extracted.index.sections);
                   const mutation kind = any_mutation();
                   std::string& text = extracted.by_name[chosen.name];
                   const std::string original = text;
                   text = mutate(text, kind, *rc::gen::inRange<std::size_t>(0, 100));
                   RC_LOG() << text;
                   RC_ASSERT(is_safe(build(extracted), before, kind, text != original));
               });
}

TEST(mutation, mutated_node_settings_are_refused_or_keep_their_meaning)
{
    check_many("one mutation of node settings",
               []
               {
                   const auto files = generate_files(*valid_answers()).value();
                   const std::string text = files.begin()->second;
                   const std::string before = describe(parse_node_settings(text, "f").value());
                   const mutation kind = any_mutation();
                   const std::string changed =
                       mutate(text, kind, *rc::gen::inRange<std::size_t>(0, 100));
                   RC_LOG() << changed;
                   const auto after = parse_node_settings(changed, "f");
                   RC_ASSERT(is_safe(after, before, kind, changed != text));
               });
}

TEST(mutation, a_section_that_does_not_match_its_hash_is_refused)
{
    // A section truncated in transit can be valid YAML with other values.
    check_many("one byte changed or the end cut",
               []
               {
                   published extracted =
                       extract_published(generate_files(*valid_answers()).value());
                   std::map<std::string, std::string> sections;
                   for (const section_ref& section : extracted.index.sections)
                   {
                       sections[section.sha256] = extracted.by_name[section.name];
                   }
                   const auto chosen = *rc::gen::elementOf(extracted.index.sections);
                   std::string& text = sections[chosen.sha256];
                   const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                   if (*rc::gen::arbitrary<bool>())
                   {
                       text.resize(at);
                   }
                   else
                   {
                       text[at] = static_cast<char>(text[at] ^ 1);
                   }
                   RC_ASSERT(!build_config(extracted.index, sections).has_value());
               });
}
