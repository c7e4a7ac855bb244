#include <snipeplank/core/hash.hpp>
#include <snipeplank/serving/client_accounts.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::serving
{

namespace
{

constexpr std::size_t salt_bytes = 32;

auto invalid_account(const core::account_id& name, const std::string& problem)
{
    return core::fail(core::error_code::config_invalid,
                      "the account '" + name.get() + "' " + problem,
                      "correct the list of accounts and publish it as a new version");
}

} // namespace

account_table::account_table() : m_salt(core::random_bytes(salt_bytes)) {}

core::result<void> account_table::add(client_account added, const std::vector<std::string>& keys)
{
    const core::account_id name = added.name;
    if (name.get().empty())
        return invalid_account(name, "has no name");
    if (m_accounts.contains(name))
        return invalid_account(name, "is listed twice");
    for (const std::string& key : keys)
    {
        if (key.empty())
            return invalid_account(name, "has an empty key");
        const auto [held, is_new] = m_holders.emplace(digest(key), name);
        if (!is_new && held->second != name)
            return invalid_account(name, "holds a key of the account '" + held->second.get() + "'");
    }
    m_accounts.emplace(name, std::move(added));
    return boost::outcome_v2::success();
}

const client_account* account_table::find_by_key(std::string_view key) const
{
    const auto holder = m_holders.find(digest(key));
    return holder == m_holders.end() ? nullptr : find(holder->second);
}

const client_account* account_table::find(const core::account_id& name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

std::string account_table::digest(std::string_view key) const
{
    return core::hmac_sha256_hex(m_salt, key);
}

} // namespace snipeplank::serving
