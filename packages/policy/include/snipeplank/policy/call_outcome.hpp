/// @file
/// What became of a call that may run at most once.

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

/// @brief Memberwise comparison, for the outcomes that hold a refusal.
inline bool operator==(const refusal& a, const refusal& b)
{
    return a.reason == b.reason && a.executed == b.executed && a.remedy == b.remedy &&
           a.retry_after == b.retry_after;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief One attempt of a call: the node where the caller sent it, and that node's number for it.
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

enum class outcome_kind
{
    not_run,         ///< proven: the ticket had not been run when this was stated
    answered,        ///< run; `answer` is whole
    answer_not_kept, ///< run; only `answer.status` is known
    unknown,         ///< neither proof nor answer
};

/// Number of one reservation of an issuing node: rising, never reused, so that a late commit
/// cannot match a newer reservation.
using reservation_number = core::strong_type<std::uint64_t, struct reservation_number_tag>;

/// @brief Outcome of a ticketed call.
struct call_outcome
{
    outcome_kind kind = outcome_kind::unknown;

    /// With `not_run`: no reservation up to this number will run. An attempt that has committed a
    /// newer one received the statement late and must not pass it on.
    reservation_number settled_through;

    refusal why;            ///< what to tell the caller, unless `kind` is `answered`
    upstream_answer answer; ///< see `kind`

    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

/// @brief An outcome as it is handed to the successor of a stopping node.
struct outcome_record
{
    std::string ticket_id; ///< the ticket's signature
    std::string body_hash; ///< SHA-256 of the body it ran with
    call_outcome outcome;

    friend bool operator==(const outcome_record&, const outcome_record&) = default;
};

} // namespace snipeplank::policy

#endif
