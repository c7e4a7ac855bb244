/// @file
/// Client accounts of a configuration, and the keys by which requests name them.

#ifndef SNIPEPLANK_SERVING_CLIENT_ACCOUNTS_HPP
#define SNIPEPLANK_SERVING_CLIENT_ACCOUNTS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/policy/quota_limit.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipeplank::serving
{

/// @brief A client account.
struct client_account
{
    core::account_id name;
    std::optional<unsigned> priority;             ///< replaces the route's; 0 is the most urgent
    std::vector<core::region_id> allowed_regions; ///< empty: every region
    policy::quota_limit quota;
};

/// @brief The accounts of a configuration.
///
/// Keys are kept as digests under a random salt. A lookup compares digests only, so neither its
/// time nor a dump of the table tells anything of a key.
class account_table
{
  public:
    account_table();

    /// @brief Adds an account with its keys. O(keys).
    /// @return an error, without any key in it, if the name is empty or known, or a key is empty or
    /// belongs to another account
    core::result<void> add(client_account added, const std::vector<std::string>& keys);

    std::size_t size() const { return m_accounts.size(); }

    /// @brief The account that holds the key, or null. O(key length).
    const client_account* find_by_key(std::string_view key) const;

    /// @brief The account of this name, or null.
    const client_account* find(const core::account_id& name) const;

    /// @brief All accounts, by name.
    const std::map<core::account_id, client_account>& accounts() const { return m_accounts; }

  private:
    std::string digest(std::string_view key) const;

    std::string m_salt;
    std::map<core::account_id, client_account> m_accounts;
    std::unordered_map<std::string, core::account_id> m_holders; ///< by digest of the key
};

} // namespace snipeplank::serving

#endif
