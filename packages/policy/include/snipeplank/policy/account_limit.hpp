/// @file
/// Rate limit per account, enforced on each node without shared counters.

#ifndef SNIPEPLANK_POLICY_ACCOUNT_LIMIT_HPP
#define SNIPEPLANK_POLICY_ACCOUNT_LIMIT_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/token_bucket.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipeplank::policy
{

/// Calls per second of one account per steered node; a larger account is steered to more nodes.
constexpr double account_calls_per_node = 100;

/// Fraction of an account's rate that the nodes it is not steered to admit together, for callers
/// with an outdated list of entry points.
constexpr double unsteered_fraction = 0.1;

/// @brief Number of nodes that an account is steered to. O(1).
std::size_t steered_count(const settings::account_config& account, std::size_t live_nodes);

/// @brief Live nodes in the account's order; the account is steered to the first `steered_count`.
/// Every node with the same member list gets the same order. O(n log n).
std::vector<core::address> account_order(const core::account_id& account,
                                         std::span<const core::address> live_nodes);

/// @brief Token buckets of the accounts on one node.
///
/// Each steered node enforces rate / number of steered nodes. The other nodes together admit at
/// most a tenth of the rate. With equal member lists the fleet thus admits at most 1.1 times the
/// rate.
class account_limit
{
  public:
    /// @brief Sets the members that the shares are computed from; buckets retain their tokens.
    void set_nodes(const core::address& self, std::vector<core::address> live_nodes);

    /// @brief Admits one call or refuses it. O(1); O(n log n) for the first call of an account
    /// after a change of members.
    /// @return zero when admitted, or the time until the next call will be
    core::milliseconds admit(const settings::account_config& account, core::time_point now);

    /// @brief Calls per second that this node admits for the account.
    double share(const settings::account_config& account) const;

    /// @brief Steered nodes in random order, then the other nodes.
    /// @param account null for all nodes in random order
    std::vector<core::address> entry_points(const settings::account_config* account,
                                            core::random_source& random) const;

  private:
    struct bucket
    {
        token_bucket tokens;
        double rate = 0;
        double burst = 0;
        std::size_t generation = 0;
    };

    double rate_fraction(const settings::account_config& account) const;
    void size_bucket(bucket& tokens, const settings::account_config& account) const;
    void prune(core::time_point now);

    core::address m_self;
    std::vector<core::address> m_nodes;
    std::size_t m_generation = 1;
    std::unordered_map<core::account_id, bucket> m_buckets;
};

} // namespace snipeplank::policy

#endif
