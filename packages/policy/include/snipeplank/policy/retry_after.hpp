/// @file
/// When a refused caller should come back.

#ifndef SNIPEPLANK_POLICY_RETRY_AFTER_HPP
#define SNIPEPLANK_POLICY_RETRY_AFTER_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>

namespace snipeplank::policy
{

/// @brief Spreads a time to come back over [base, 2 * base), so that callers refused together do
/// not return together. The base is held to [250 ms, 30 s]. O(1).
core::milliseconds jittered_retry_after(core::milliseconds base, core::random_source& random);

} // namespace snipeplank::policy

#endif
