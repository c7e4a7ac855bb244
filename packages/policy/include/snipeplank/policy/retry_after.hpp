/// @file
/// Retry time for refused callers.

#ifndef SNIPEPLANK_POLICY_RETRY_AFTER_HPP
#define SNIPEPLANK_POLICY_RETRY_AFTER_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>

namespace snipeplank::policy
{

/// @brief Returns a random retry time in [base, 2 * base), so that callers that were refused
/// together do not retry together. The base is clamped to [250 ms, 30 s]. O(1).
core::milliseconds jittered_retry_after(core::milliseconds base, core::random_source& random);

} // namespace snipeplank::policy

#endif
