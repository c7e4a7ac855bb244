/// @file
/// Outcomes of ticketed calls, which run at most once.

#ifndef SNIPEPLANK_POLICY_CALL_OUTCOME_HPP
#define SNIPEPLANK_POLICY_CALL_OUTCOME_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::policy
{

/// @brief Memberwise comparison; `call_outcome` compares its refusal with it.
inline bool operator==(const refusal& a, const refusal& b)
{
    return a.reason == b.reason && a.executed == b.executed && a.remedy == b.remedy &&
           a.retry_after == b.retry_after;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Identifies one attempt of a call: its entry node and that node's number for the attempt.
struct call_key
{
    core::node_id entry;
    core::call_number number;

    friend auto operator<=>(const call_key&, const call_key&) = default;
    friend bool operator==(const call_key&, const call_key&) = default;
};

/// @brief A complete answer of an upstream.
struct upstream_answer
{
    int status = 0;
    header_list headers;
    std::string body;

    friend bool operator==(const upstream_answer&, const upstream_answer&) = default;
};

/// @brief What is proven about a ticketed call.
enum class outcome_kind
{
    not_run,         ///< proven: the ticket had not run when this outcome was made
    answered,        ///< run; `answer` is complete
    answer_not_kept, ///< run; the answer was dropped except for `answer.status`
    unknown,         ///< neither a proof nor an answer exists
};

/// Number of a reservation of an issuing node. It increases and is never reused, so a delayed
/// commit cannot match a newer reservation.
using reservation_number = core::strong_type<std::uint64_t, struct reservation_number_tag>;

/// @brief Outcome of a ticketed call.
struct call_outcome
{
    outcome_kind kind = outcome_kind::unknown;

    /// With `not_run`: no reservation up to this number will run. An attempt that has committed a
    /// newer one must discard this outcome, because it is out of date.
    reservation_number settled_through;

    refusal why;            ///< refusal for the caller, unless `kind` is `answered`
    upstream_answer answer; ///< see `kind`

    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

/// @brief An outcome in the handover from a stopping node to its successor.
struct outcome_record
{
    std::string ticket_id; ///< the ticket's signature
    std::string body_hash; ///< SHA-256 of the request body that ran
    call_outcome outcome;

    friend bool operator==(const outcome_record&, const outcome_record&) = default;
};

} // namespace snipeplank::policy

#endif
