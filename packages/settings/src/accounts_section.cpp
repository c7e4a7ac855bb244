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

constexpr std::size_t most_accounts_in_section = 100'000;
constexpr std::size_t sha256_characters = 64;
constexpr double highest_rate = 1'000'000;
constexpr double lowest_rate = 0.001;

account_config read_account(const yaml_field& item, const published_config& config)
{
    item.expect_keys({"id", "key_sha256", "home"}, {"calls_per_second", "burst"});
    account_config account;
    account.id = core::account_id{item["id"].name()};
    account.key_sha256 = item["key_sha256"].hex(sha256_characters, sha256_characters);
    account.home = read_known_region(item["home"], config);
    if (const yaml_field field = item["calls_per_second"]; field.is_present())
    {
        account.calls_per_second = field.decimal(lowest_rate, highest_rate, "calls per second");
    }
    if (const yaml_field field = item["burst"]; field.is_present())
    {
        account.burst = field.decimal(1, highest_rate, "calls");
    }
    return account;
}

} // namespace

void read_accounts_section(const yaml_field& root, const std::string& name,
                           published_config& config)
{
    root.expect_keys({"accounts"});
    std::set<core::account_id> seen;
    for (const yaml_field& item : root["accounts"].items(0, most_accounts_in_section))
    {
        account_config account = read_account(item, config);
        const std::string place = account_section_name(account.id);
        if (place != name)
        {
            item["id"].refuse(error_code::config_invalid, "the account belongs in section " + place,
                              "move it there; the section follows from a hash of the id");
        }
        if (!seen.insert(account.id).second)
        {
            item["id"].refuse(error_code::config_invalid, "the account is listed twice",
                              "remove one of the two");
        }
        const std::string key = account.key_sha256;
        if (!config.accounts.emplace(key, std::move(account)).second)
        {
            item["key_sha256"].refuse(error_code::config_invalid, "two accounts share one key",
                                      "issue a key of its own to each account");
        }
    }
}

} // namespace detail

} // namespace snipeplank::settings
