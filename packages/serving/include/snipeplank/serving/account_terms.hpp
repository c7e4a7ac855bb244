/// @file
/// Terms of the operator for client accounts, which hold for all nodes together.

#ifndef SNIPEPLANK_SERVING_ACCOUNT_TERMS_HPP
#define SNIPEPLANK_SERVING_ACCOUNT_TERMS_HPP

#include <snipeplank/policy/quota_limit.hpp>
#include <snipeplank/serving/configuration_lease.hpp>

namespace snipeplank::serving
{

/// @brief How fast a key that was taken away is refused, and how far limits may be exceeded.
struct account_terms
{
    lease_terms revocation; ///< under which requests with keys are served
    policy::quota_bound quotas;
};

} // namespace snipeplank::serving

#endif
