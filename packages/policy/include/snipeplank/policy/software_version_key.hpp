/// @file
/// Identifies one version of the software of a service's upstreams.

#ifndef SNIPEPLANK_POLICY_SOFTWARE_VERSION_KEY_HPP
#define SNIPEPLANK_POLICY_SOFTWARE_VERSION_KEY_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace snipeplank::policy
{

/// Hash of a service and of a software version of its upstreams; 0: none, or not known.
using software_version_key = core::strong_type<std::uint32_t, struct software_version_key_tag>;

/// Stands for several versions that one may be.
inline const software_version_key several_versions{0xFFFF'FFFFU};

/// @brief The key of a software version of a service, never 0 or `several_versions`. O(length).
inline software_version_key software_version_of(const core::service_id& service,
                                                std::string_view version)
{
    const auto hash =
        static_cast<std::uint32_t>(core::hash64(version, core::hash64(service.get())));
    return software_version_key{std::clamp<std::uint32_t>(hash, 1, several_versions.get() - 1)};
}

} // namespace snipeplank::policy

#endif
