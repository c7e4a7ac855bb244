/// @file
/// Refusals and memory accounting shared by the ticket tables.

#ifndef SNIPEPLANK_POLICY_SRC_DETAIL_TICKET_STATEMENTS_HPP
#define SNIPEPLANK_POLICY_SRC_DETAIL_TICKET_STATEMENTS_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/call_outcome.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <chrono>
#include <cstdint>

namespace snipeplank::policy::detail
{

/// Memory of an ended ticket besides its answer: keys, hashes and map nodes.
constexpr std::uint64_t entry_bytes = 512;

constexpr core::milliseconds retry_soon{1'000};

inline core::milliseconds since_epoch(core::time_point now)
{
    return std::chrono::duration_cast<core::milliseconds>(now.time_since_epoch());
}

inline core::bytes size_of(const upstream_answer& answer)
{
    core::bytes size{answer.body.size()};
    for (const auto& [name, value] : answer.headers)
    {
        size.count += name.size() + value.size();
    }
    return size;
}

inline refusal another_body()
{
    return {refusal_reason::ticket_in_use,
            execution::no,
            "the ticket belongs to another body; get a new ticket for this one",
            {}};
}

inline refusal expired()
{
    return {refusal_reason::ticket_expired,
            execution::unknown,
            "check with the application whether the call was run, then get a new ticket",
            {}};
}

inline refusal unused()
{
    return {refusal_reason::outcome_unknown, execution::no, "repeat the call with the same ticket",
            retry_soon};
}

inline refusal draining()
{
    return {
        refusal_reason::draining, execution::no, "get a new ticket from another entry point", {}};
}

inline refusal deadline_missed()
{
    return {refusal_reason::deadline_passed,
            execution::no,
            "repeat the call with the same ticket and a longer deadline",
            {}};
}

/// For a call that has run but whose answer is no longer available.
inline refusal not_kept()
{
    return {refusal_reason::answer_not_kept,
            execution::yes,
            "the call was run; read its result from the application",
            {}};
}

} // namespace snipeplank::policy::detail

#endif
