/// @file
/// Refusals: their reason, whether the request was executed, and the remedy.

#ifndef SNIPEPLANK_POLICY_REFUSAL_HPP
#define SNIPEPLANK_POLICY_REFUSAL_HPP

#include <snipeplank/core/units.hpp>

#include <string>
#include <string_view>

namespace snipeplank::policy
{

/// @brief Reason of a refusal; each has a counter of its own.
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
    quarantined,               ///< upstreams crashed under the request or a part of its prompt
    upstream_throttled,        ///< the upstreams take no request now, by their own word
    stream_origin_unknown,     ///< no node knows which software version began the stream
    stream_version_gone,       ///< no upstream of the software version that began the stream serves
    configuration_unconfirmed, ///< keys or homes may have changed since the last confirmation
};

constexpr refusal_reason last_refusal_reason = refusal_reason::configuration_unconfirmed;
constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(last_refusal_reason) + 1;

/// @brief Whether an upstream executed the refused request.
enum class execution
{
    no,
    unknown,
    yes, ///< executed, but its answer is no longer available
};

/// @brief Final answer to a request that is not served. `executed` states no more than is proven.
struct refusal
{
    refusal_reason reason = refusal_reason::internal;
    execution executed = execution::no;
    std::string remedy;
    core::milliseconds retry_after{0};
    bool has_reached_upstream = true; ///< false: no byte of the request was sent to an upstream
};

/// @brief Name of the reason in answers and metrics.
std::string_view to_string(refusal_reason reason);

/// @brief `no`, `unknown` or `yes`.
std::string_view to_string(execution executed);

/// @brief HTTP status for a reason.
int http_status(refusal_reason reason);

} // namespace snipeplank::policy

#endif
