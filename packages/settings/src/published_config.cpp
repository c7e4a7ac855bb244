#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/detail/sections.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <algorithm>
#include <limits>

namespace snipeplank::settings
{

namespace
{

using core::error_code;
using detail::yaml_field;

constexpr std::size_t sha256_characters = 64;
// The configuration service refuses larger values.
constexpr std::size_t largest_section_bytes = 1'000'000;

bool is_account_section(const std::string& name)
{
    const std::string prefix = "accounts-";
    const std::string digits = "0123456789";
    constexpr std::size_t digit_count = 3;
    return name.size() == prefix.size() + digit_count && name.starts_with(prefix) &&
           name.find_first_not_of(digits, prefix.size()) == std::string::npos &&
           name < prefix + std::to_string(account_section_count);
}

section_ref read_section_ref(const yaml_field& item)
{
    item.expect_keys({"name", "hash"});
    section_ref section{item["name"].name(),
                        item["hash"].hex(sha256_characters, sha256_characters)};
    if (section.name != "fleet" && section.name != "services" && !is_account_section(section.name))
    {
        item["name"].refuse(error_code::config_invalid, "\"" + section.name + "\" is not a section",
                            "use fleet, services, or accounts-000 to accounts-127");
    }
    return section;
}

const section_ref* find_section(const manifest& index, const std::string& name)
{
    const auto same = [&name](const section_ref& section) { return section.name == name; };
    const auto found = std::find_if(index.sections.begin(), index.sections.end(), same);
    return found == index.sections.end() ? nullptr : &*found;
}

void refuse_repeated(const yaml_field& item, const manifest& index, const section_ref& section)
{
    if (find_section(index, section.name) != nullptr)
    {
        item.refuse(error_code::config_invalid, "section " + section.name + " is listed twice",
                    "keep one entry for each section");
    }
}

void require_section(const yaml_field& list, const manifest& index, const std::string& name)
{
    if (find_section(index, name) == nullptr)
    {
        list.refuse(error_code::config_invalid, "section " + name + " is not listed",
                    "publish the section and list it in the manifest");
    }
}

core::error unavailable(const section_ref& section, const std::string& problem,
                        const std::string& remedy)
{
    return {error_code::config_invalid,
            "manifest:1: sections: " + section.name + " (" + section.sha256 + "): " + problem,
            remedy};
}

/// Finds a section's text and runs `read` over its tree.
template <typename Read>
std::optional<core::error> read_section(const section_ref& section,
                                        const std::map<std::string, std::string>& sections,
                                        Read read)
{
    const auto found = sections.find(section.sha256);
    if (found == sections.end())
    {
        return unavailable(section, "the section has no text",
                           "publish the section before the manifest that names it");
    }
    const std::string& text = found->second;
    if (text.size() > largest_section_bytes)
    {
        return unavailable(section, "the text is longer than 1,000,000 bytes",
                           "publish fewer entries in this section");
    }
    if (core::sha256_hex(text) != section.sha256)
    {
        return unavailable(section, "the text does not have the hash in the manifest",
                           "publish the text under its own SHA-256 and list that hash");
    }
    const std::string file = "sections/" + section.sha256 + ".yaml (" + section.name + ")";
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file);
    if (!document)
    {
        return document.error();
    }
    detail::yaml_report report(file);
    read(yaml_field::root(report, document.value()));
    return report.is_clean() ? std::nullopt : std::optional{report.first()};
}

std::optional<core::error> read_sections(const manifest& index,
                                         const std::map<std::string, std::string>& sections,
                                         published_config& config)
{
    const section_ref* fleet = find_section(index, "fleet");
    const section_ref* services = find_section(index, "services");
    if (fleet == nullptr || services == nullptr)
    {
        return core::error{error_code::config_invalid,
                           "manifest:1: sections: fleet or services is not listed",
                           "publish both sections and list them in the manifest"};
    }
    // Services and accounts refer to regions, so the fleet section is read first.
    auto refused = read_section(*fleet, sections,
                                [&config](const yaml_field& root)
                                { detail::read_fleet_section(root, config); });
    if (!refused)
    {
        refused = read_section(*services, sections,
                               [&config](const yaml_field& root)
                               { detail::read_services_section(root, config); });
    }
    for (const section_ref& section : index.sections)
    {
        if (refused || !is_account_section(section.name))
        {
            continue;
        }
        refused = read_section(section, sections,
                               [&](const yaml_field& root)
                               { detail::read_accounts_section(root, section.name, config); });
    }
    return refused;
}

} // namespace

core::result<manifest> parse_manifest(const std::string& text, const std::string& file)
{
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file);
    if (!document)
    {
        return document.as_failure();
    }
    detail::yaml_report report(file);
    const yaml_field root = yaml_field::root(report, document.value());
    root.expect_keys({"version", "sections"});
    manifest index;
    // Fencing numbers are (version << 20) + n, so a version has at most 43 bits.
    constexpr std::uint64_t highest_version = (std::uint64_t{1} << 43) - 1;
    index.version = core::config_version{root["version"].whole(1, highest_version, "versions")};
    constexpr std::size_t most_sections = account_section_count + 2;
    for (const yaml_field& item : root["sections"].items(1, most_sections))
    {
        section_ref section = read_section_ref(item);
        refuse_repeated(item, index, section);
        index.sections.push_back(std::move(section));
    }
    require_section(root["sections"], index, "fleet");
    require_section(root["sections"], index, "services");
    if (!report.is_clean())
    {
        const core::error& cause = report.first();
        return core::fail(cause.code, cause.message, cause.remedy);
    }
    return index;
}

core::result<published_config> build_config(const manifest& index,
                                            const std::map<std::string, std::string>& sections)
{
    published_config config;
    config.version = index.version;
    if (const std::optional<core::error> refused = read_sections(index, sections, config))
    {
        return core::fail(refused->code, refused->message, refused->remedy);
    }
    return config;
}

} // namespace snipeplank::settings
