#include <snipeplank/policy/refusal.hpp>

#include <array>

namespace snipeplank::policy
{

namespace
{

struct reason_row
{
    std::string_view name;
    int status;
};

/// In the order of `refusal_reason`.
constexpr std::array<reason_row, refusal_reason_count> reason_rows{{
    {"bad_request", 400},
    {"unknown_service", 404},
    {"unknown_account", 403},
    {"unauthorized", 401},
    {"header_forbidden", 400},
    {"body_too_large", 413},
    {"deadline_passed", 400},
    {"deadline_too_short", 503},
    {"overloaded", 503},
    {"account_limit", 429},
    {"residency", 403},
    {"wrong_region", 421},
    {"loop", 508},
    {"no_upstream", 503},
    {"upstream_failed", 502},
    {"upstream_refused", 503},
    {"peer_unreachable", 502},
    {"draining", 503},
    {"not_ready", 503},
    {"ticket_required", 428},
    {"ticket_invalid", 400},
    {"ticket_expired", 410},
    {"ticket_issuer_gone", 409},
    {"ticket_in_use", 409},
    {"answer_not_kept", 409},
    {"outcome_unknown", 504},
    {"internal", 500},
    {"quarantined", 503},
    {"upstream_throttled", 503},
    {"stream_origin_unknown", 503},
    {"stream_version_gone", 503},
    {"configuration_unconfirmed", 503},
}};

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return reason_rows[static_cast<std::size_t>(reason)].name;
}

std::string_view to_string(execution executed)
{
    switch (executed)
    {
    case execution::no:
        return "no";
    case execution::yes:
        return "yes";
    case execution::unknown:
        break;
    }
    return "unknown";
}

int http_status(refusal_reason reason)
{
    return reason_rows[static_cast<std::size_t>(reason)].status;
}

} // namespace snipeplank::policy
