/// @file
/// Identifies one run of an upstream process.

#ifndef SNIPEPLANK_POLICY_UPSTREAM_RUN_KEY_HPP
#define SNIPEPLANK_POLICY_UPSTREAM_RUN_KEY_HPP

#include <snipeplank/core/strong_type.hpp>

#include <cstdint>

namespace snipeplank::policy
{

/// Hash of the id of one run of an upstream process.
using upstream_run_key = core::strong_type<std::uint64_t, struct upstream_run_key_tag>;

} // namespace snipeplank::policy

#endif
