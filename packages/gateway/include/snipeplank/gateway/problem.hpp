/// @file
/// HTTP form of refusals.

#ifndef SNIPEPLANK_GATEWAY_PROBLEM_HPP
#define SNIPEPLANK_GATEWAY_PROBLEM_HPP

#include <snipeplank/policy/refusal.hpp>

#include <string>

namespace snipeplank::gateway
{

/// @brief The `application/problem+json` body of a refusal.
std::string to_problem_json(const policy::refusal& refused, const std::string& request_id);

/// @brief Whole seconds for the `Retry-After` header, at least 1; 0 when no header is sent.
long retry_after_seconds(const policy::refusal& refused);

} // namespace snipeplank::gateway

#endif
