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

/// @brief Residency that holds for a call: the stricter of the service's and the caller's.
/// @param service residency configured for the service
/// @param header text of `Snipeplank-Residency`, or nothing when absent; unknown text means bound
settings::residency effective_residency(settings::residency service,
                                        std::optional<std::string_view> header);

/// @brief Whether a call may be served in, or sent to, a region.
/// @param residency of the call
/// @param home region of the call; a bound call with an empty home may go nowhere
/// @param region where it would be served
bool may_be_served_in(settings::residency residency, const core::region_id& home,
                      const core::region_id& region);

} // namespace snipeplank::policy

#endif
