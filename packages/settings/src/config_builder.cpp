#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/config_builder.hpp>
#include <snipeplank/settings/detail/sections.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace snipeplank::settings
{

namespace
{

using core::error_code;
using detail::account_entry;
using detail::yaml_field;

// The configuration service refuses larger values.
constexpr std::size_t largest_section_bytes = 1'000'000;

using finding = std::optional<core::error>;
using account_list = std::shared_ptr<const std::vector<account_entry>>;
/// By name and hash; the same text is valid in one account section only.
using account_lists = std::map<std::pair<std::string, std::string>, account_list>;

std::string file_name(const section_ref& section)
{
    return "sections/" + section.sha256 + ".yaml (" + section.name + ")";
}

core::error unavailable(const section_ref& section, const std::string& problem,
                        const std::string& remedy)
{
    return {error_code::config_invalid,
            "manifest:1: sections: " + section.name + " (" + section.sha256 + "): " + problem,
            remedy};
}

/// Checks that a section has the text that the manifest names.
finding check_text(const section_ref& section, const std::map<std::string, std::string>& sections)
{
    const auto found = sections.find(section.sha256);
    if (found == sections.end())
    {
        return unavailable(section, "the section has no text",
                           "publish the section before the manifest that names it");
    }
    if (found->second.size() > largest_section_bytes)
    {
        return unavailable(section, "the text is longer than 1,000,000 bytes",
                           "publish fewer entries in this section");
    }
    if (core::sha256_hex(found->second) != section.sha256)
    {
        return unavailable(section, "the text does not have the hash in the manifest",
                           "publish the text under its own SHA-256 and list that hash");
    }
    return {};
}

/// Runs `read` over the tree of a section whose text was checked.
template <typename Read>
finding read_section(const section_ref& section, const std::string& text, Read read)
{
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file_name(section));
    if (!document)
    {
        return document.error();
    }
    detail::yaml_report report(file_name(section));
    read(yaml_field::root(report, document.value()));
    return report.is_clean() ? std::nullopt : finding{report.first()};
}

/// Adds the accounts of a section; a key may occur once in all sections.
finding add_accounts(const section_ref& section, const std::vector<account_entry>& accounts,
                     published_config& config)
{
    for (const account_entry& entry : accounts)
    {
        if (!config.accounts.emplace(entry.account.key_sha256, entry.account).second)
        {
            detail::yaml_report report(file_name(section));
            report.refuse(error_code::config_invalid, entry.line, "accounts.key_sha256",
                          "two accounts share one key, one of them " + entry.account.id.get(),
                          "issue a key of its own to each account");
            return report.first();
        }
    }
    return {};
}

} // namespace

struct config_builder::cache
{
    std::string fleet_hash; ///< accounts were checked against the regions of this section
    account_lists accounts;

    /// Parses an account section, or takes it from `earlier`.
    finding read_accounts(const section_ref& section, const std::string& text, const cache& earlier,
                          const region_map& regions)
    {
        account_list& list = accounts[{section.name, section.sha256}];
        const auto known = earlier.accounts.find({section.name, section.sha256});
        if (fleet_hash == earlier.fleet_hash && known != earlier.accounts.end())
        {
            list = known->second;
            return {};
        }
        return read_section(section, text,
                            [&](const yaml_field& root)
                            {
                                list = std::make_shared<const std::vector<account_entry>>(
                                    detail::read_accounts_section(root, section.name, regions));
                            });
    }

    /// Reads every section in an order that does not depend on the manifest's: services and
    /// accounts refer to regions, so the fleet section comes first.
    finding read_all(const manifest& index, const std::map<std::string, std::string>& sections,
                     const cache& earlier, published_config& config)
    {
        const section_ref* fleet = detail::find_section(index, "fleet");
        const section_ref* services = detail::find_section(index, "services");
        if (fleet == nullptr || services == nullptr)
        {
            return core::error{error_code::config_invalid,
                               "manifest:1: sections: fleet or services is not listed",
                               "publish both sections and list them in the manifest"};
        }
        for (const section_ref& section : index.sections)
        {
            if (finding refused = check_text(section, sections))
            {
                return refused;
            }
        }
        fleet_hash = fleet->sha256;
        finding refused = read_section(*fleet, sections.at(fleet->sha256),
                                       [&config](const yaml_field& root)
                                       { detail::read_fleet_section(root, config); });
        if (!refused)
        {
            refused = read_section(*services, sections.at(services->sha256),
                                   [&config](const yaml_field& root)
                                   { detail::read_services_section(root, config); });
        }
        for (const section_ref& section : index.sections)
        {
            if (refused || !detail::is_account_section(section.name))
            {
                continue;
            }
            refused = read_accounts(section, sections.at(section.sha256), earlier, config.regions);
            if (!refused)
            {
                refused = add_accounts(section, *accounts[{section.name, section.sha256}], config);
            }
        }
        return refused;
    }
};

config_builder::config_builder() : m_cache(std::make_unique<cache>()) {}
config_builder::~config_builder() = default;
config_builder::config_builder(config_builder&&) noexcept = default;
config_builder& config_builder::operator=(config_builder&&) noexcept = default;

core::result<published_config>
config_builder::build(const manifest& index, const std::map<std::string, std::string>& sections)
{
    published_config config;
    config.version = index.version;
    auto next = std::make_unique<cache>();
    if (const finding refused = next->read_all(index, sections, *m_cache, config))
    {
        return core::fail(refused->code, refused->message, refused->remedy);
    }
    m_cache = std::move(next);
    return config;
}

} // namespace snipeplank::settings
