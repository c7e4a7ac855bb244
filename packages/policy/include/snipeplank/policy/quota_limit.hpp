/// @file
/// Limits on what a client account may use, over all nodes.

#ifndef SNIPEPLANK_POLICY_QUOTA_LIMIT_HPP
#define SNIPEPLANK_POLICY_QUOTA_LIMIT_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::policy
{

/// @brief What a limit counts.
enum class quota_unit
{
    request,
    token, ///< tokens of the prompt and of the longest output
};

/// @brief How much a client account may use.
struct quota_limit
{
    quota_unit unit = quota_unit::request;
    double per_second = 0; ///< units; 0: no limit
    double burst = 0;      ///< units
    double uncounted = 0;  ///< units of a request that does not say how many tokens it has

    bool is_limited() const { return per_second > 0; }

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// @brief By how much the nodes together may exceed a limit, as the operator accepts it.
///
/// In any window they admit at most
/// (rate x window + burst) x (1 + overshoot) + slack units.
struct quota_bound
{
    core::seconds window{8};
    double overshoot = 0;
    double slack = 0; ///< units

    /// @brief Most units of a limit in one window.
    double of(const quota_limit& limit) const
    {
        return (limit.per_second * static_cast<double>(window.count()) + limit.burst) *
                   (1 + overshoot) +
               slack;
    }
};

} // namespace snipeplank::policy

#endif
