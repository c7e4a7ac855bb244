/// @file
/// Why a request is refused, and what the caller may conclude from it.

#ifndef SNIPEPLANK_POLICY_REFUSAL_HPP
#define SNIPEPLANK_POLICY_REFUSAL_HPP

#include <snipeplank/core/units.hpp>

#include <string>
#include <string_view>

namespace snipeplank::policy
{

/// @brief One reason, one counter.
enum class refusal_reason
{
    bad_request,
    unknown_service,
    unknown_account,
    unauthorized,
    header_forbidden,
    body_too_large,
    deadline_passed,
    deadline_too_short,
    overloaded,
    account_limit,
    residency,
    wrong_region,
    loop,
    no_upstream,
    upstream_failed,
    upstream_refused,
    peer_unreachable,
    draining,
    not_ready,
    ticket_required,
    ticket_invalid,
    ticket_expired,
    ticket_issuer_gone,
    ticket_in_use,
    answer_not_kept,
    outcome_unknown,
    internal,
};

constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(refusal_reason::internal) + 1;

/// @brief Whether the refused request was run by an upstream.
enum class execution
{
    no,
    unknown,
    yes, ///< run, but its answer can no longer be given
};

/// @brief An honest final answer to a request that is not served.
struct refusal
{
    refusal_reason reason = refusal_reason::internal;
    execution executed = execution::no;
    std::string remedy;
    core::milliseconds retry_after{0};
};

/// @brief Name of the reason as callers and metrics see it.
std::string_view to_string(refusal_reason reason);

/// @brief `no`, `unknown` or `yes`.
std::string_view to_string(execution executed);

/// @brief HTTP status for a reason.
int http_status(refusal_reason reason);

} // namespace snipeplank::policy

#endif
