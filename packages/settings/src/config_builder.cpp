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
constexpr std::size_t max_section_bytes = 1'000'000;

using optional_error = std::optional<core::error>;
using account_list = std::shared_ptr<const std::vector<account_entry>>;
/// By name and hash: a text is valid in one account section only, so its hash alone is not enough.
using account_lists = std::map<std::pair<std::string, std::string>, account_list>;

std::string file_name(const section_ref& section)
{
    return "sections/" + section.sha256 + ".yaml (" + section.name + ")";
}

core::error section_error(const section_ref& section, const std::string& problem,
                          const std::string& remedy)
{
    return {error_code::config_invalid,
            "manifest:1: sections: " + section.name + " (" + section.sha256 + "): " + problem,
            remedy};
}

/// Checks that a section has the text that the manifest names.
optional_error check_text(const section_ref& section,
                          const std::map<std::string, std::string>& sections)
{
    const auto found = sections.find(section.sha256);
    if (found == sections.end())
    {
        return section_error(section, "the section has no text",
                             "publish the section before the manifest that names it");
    }
    if (found->second.size() > max_section_bytes)
    {
        return section_error(section, "the text is longer than 1,000,000 bytes",
                             "publish fewer entries in this section");
    }
    if (core::sha256_hex(found->second) != section.sha256)
    {
        return section_error(section, "the text does not have the hash in the manifest",
                             "publish the text under its own SHA-256 and list that hash");
    }
    return {};
}

/// Parses a section whose text was checked and passes its root to `read`.
template <typename Read>
optional_error read_section(const section_ref& section, const std::string& text, Read read)
{
    core::result<detail::yaml_value> document = detail::parse_yaml(text, file_name(section));
    if (!document)
    {
        return document.error();
    }
    detail::yaml_report report(file_name(section));
    read(yaml_field::root(report, document.value()));
    return report.is_clean() ? std::nullopt : optional_error{report.first()};
}

/// Adds the accounts of a section and refuses a key that another account already has.
optional_error add_accounts(const section_ref& section, const std::vector<account_entry>& accounts,
                            published_config& config)
{
    for (const account_entry& entry : accounts)
    {
        if (!config.add_account(entry.account))
        {
            detail::yaml_report report(file_name(section));
            report.add_error(error_code::config_invalid, entry.line, "accounts.key_sha256",
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
    std::string fleet_hash; ///< of the section whose regions the accounts were checked against
    account_lists accounts;

    /// Takes an account section from `previous` if it was checked against the same regions, else
    /// parses it.
    optional_error read_accounts(const section_ref& section, const std::string& text,
                                 const cache& previous, const region_map& regions)
    {
        account_list& list = accounts[{section.name, section.sha256}];
        const auto cached = previous.accounts.find({section.name, section.sha256});
        if (fleet_hash == previous.fleet_hash && cached != previous.accounts.end())
        {
            list = cached->second;
            return {};
        }
        return read_section(section, text,
                            [&](const yaml_field& root)
                            {
                                list = std::make_shared<const std::vector<account_entry>>(
                                    detail::read_accounts_section(root, section.name, regions));
                            });
    }

    /// Reads every section, the fleet section first because services and accounts refer to its
    /// regions, whatever the order in the manifest.
    optional_error read_all(const manifest& index,
                            const std::map<std::string, std::string>& sections,
                            const cache& previous, published_config& config)
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
            if (optional_error failure = check_text(section, sections))
            {
                return failure;
            }
        }
        fleet_hash = fleet->sha256;
        optional_error failure = read_section(*fleet, sections.at(fleet->sha256),
                                              [&config](const yaml_field& root)
                                              { detail::read_fleet_section(root, config); });
        if (!failure)
        {
            failure = read_section(*services, sections.at(services->sha256),
                                   [&config](const yaml_field& root)
                                   { detail::read_services_section(root, config); });
        }
        for (const section_ref& section : index.sections)
        {
            if (failure || !detail::is_account_section(section.name))
            {
                continue;
            }
            config.asks_for_keys = true;
            failure = read_accounts(section, sections.at(section.sha256), previous, config.regions);
            if (!failure)
            {
                failure = add_accounts(section, *accounts[{section.name, section.sha256}], config);
            }
        }
        return failure;
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
    if (const optional_error failure = next->read_all(index, sections, *m_cache, config))
    {
        return core::fail(failure->code, failure->message, failure->remedy);
    }
    m_cache = std::move(next);
    return config;
}

} // namespace snipeplank::settings
