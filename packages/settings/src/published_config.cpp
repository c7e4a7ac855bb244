#include <snipeplank/settings/config_builder.hpp>
#include <snipeplank/settings/detail/answer_fields.hpp>
#include <snipeplank/settings/detail/sections.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <algorithm>

namespace snipeplank::settings
{

namespace
{

using core::error_code;
using detail::find_section;
using detail::yaml_field;

constexpr std::size_t sha256_characters = 64;

section_ref read_section_ref(const yaml_field& item)
{
    item.expect_keys({"name", "hash"});
    section_ref section{item["name"].name(),
                        item["hash"].hex(sha256_characters, sha256_characters)};
    if (section.name != "fleet" && section.name != "services" &&
        !detail::is_account_section(section.name))
    {
        item["name"].add_error(error_code::config_invalid,
                               "\"" + section.name + "\" is not a section",
                               "use fleet, services, or accounts-000 to accounts-127");
    }
    return section;
}

void check_not_listed(const yaml_field& item, const manifest& index, const section_ref& section)
{
    if (find_section(index, section.name) != nullptr)
    {
        item.add_error(error_code::config_invalid, "section " + section.name + " is listed twice",
                       "keep one entry for each section");
    }
}

void require_section(const yaml_field& list, const manifest& index, const std::string& name)
{
    if (find_section(index, name) == nullptr)
    {
        list.add_error(error_code::config_invalid, "section " + name + " is not listed",
                       "publish the section and list it in the manifest");
    }
}

} // namespace

namespace detail
{

bool is_account_section(const std::string& name)
{
    const std::string prefix = "accounts-";
    const std::string digits = "0123456789";
    constexpr std::size_t digit_count = 3;
    return name.size() == prefix.size() + digit_count && name.starts_with(prefix) &&
           name.find_first_not_of(digits, prefix.size()) == std::string::npos &&
           name < prefix + std::to_string(account_section_count);
}

const section_ref* find_section(const manifest& index, const std::string& name)
{
    const auto has_name = [&name](const section_ref& section) { return section.name == name; };
    const auto found = std::find_if(index.sections.begin(), index.sections.end(), has_name);
    return found == index.sections.end() ? nullptr : &*found;
}

} // namespace detail

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
    index.version = detail::read_version(root["version"]);
    constexpr std::size_t max_sections = account_section_count + 2;
    for (const yaml_field& item : root["sections"].items(1, max_sections))
    {
        section_ref section = read_section_ref(item);
        check_not_listed(item, index, section);
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
    return config_builder{}.build(index, sections);
}

} // namespace snipeplank::settings
