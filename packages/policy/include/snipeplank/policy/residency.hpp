/// @file
/// Whether a call may leave its region.

#ifndef SNIPEPLANK_POLICY_RESIDENCY_HPP
#define SNIPEPLANK_POLICY_RESIDENCY_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <optional>
#include <string_view>

namespace snipeplank::policy
{

/// @brief Returns the stricter of two residencies: free only when both are.
settings::residency stricter_of(settings::residency first, settings::residency second);

/// @brief Returns the residency of a call: the stricter of the service's and the caller's.
/// @param service residency configured for the service
/// @param header value of `Snipeplank-Residency`, if present; an unknown value means bound
settings::residency effective_residency(settings::residency service,
                                        std::optional<std::string_view> header);

/// @brief Whether a call may be served in, or sent to, a region.
/// @param residency residency of the call
/// @param home home region of the call; a bound call with an empty home may be served nowhere
/// @param region region that would serve it
bool may_be_served_in(settings::residency residency, const core::region_id& home,
                      const core::region_id& region);

} // namespace snipeplank::policy

#endif
