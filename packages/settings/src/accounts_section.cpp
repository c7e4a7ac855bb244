#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/detail/sections.hpp>

#include <array>
#include <cstdio>
#include <set>

namespace snipeplank::settings
{

std::string account_section_name(const core::account_id& id)
{
    std::array<char, sizeof("accounts-000")> name{};
    std::snprintf(name.data(), name.size(), "accounts-%03u",
                  static_cast<unsigned>(core::hash64(id.get()) % account_section_count));
    return name.data();
}

namespace detail
{

namespace
{

using core::error_code;

constexpr std::size_t max_accounts_in_section = 100'000;
constexpr std::size_t sha256_characters = 64;
constexpr double max_rate = 1'000'000;
constexpr double min_rate = 0.001;

} // namespace

double read_account_rate(const yaml_field& field)
{
    return field.decimal(min_rate, max_rate, "calls per second");
}

account_config read_account_values(const yaml_field& group, const region_map& regions)
{
    account_config account;
    account.key_sha256 = group["key_sha256"].hex(sha256_characters, sha256_characters);
    account.home = read_known_region(group["home"], regions);
    if (const yaml_field field = group["calls_per_second"]; field.is_present())
    {
        account.calls_per_second = read_account_rate(field);
    }
    if (const yaml_field field = group["burst"]; field.is_present())
    {
        account.burst = field.decimal(1, max_rate, "calls");
    }
    return account;
}

std::vector<account_entry> read_accounts_section(const yaml_field& root, const std::string& name,
                                                 const region_map& regions)
{
    root.expect_keys({"accounts"});
    std::vector<account_entry> accounts;
    std::set<core::account_id> seen;
    for (const yaml_field& item : root["accounts"].items(0, max_accounts_in_section))
    {
        item.expect_keys({"id", "key_sha256", "home"}, {"calls_per_second", "burst"});
        account_config account = read_account_values(item, regions);
        account.id = core::account_id{item["id"].name()};
        const std::string expected_section = account_section_name(account.id);
        if (expected_section != name)
        {
            item["id"].add_error(error_code::config_invalid,
                                 "the account belongs in section " + expected_section,
                                 "move it there; the section is determined by a hash of the id");
        }
        if (!seen.insert(account.id).second)
        {
            item["id"].add_error(error_code::config_invalid, "the account is listed twice",
                                 "remove one of the two");
        }
        accounts.push_back({std::move(account), item["key_sha256"].line()});
    }
    return accounts;
}

} // namespace detail

} // namespace snipeplank::settings
