/// @file
/// Reasons for retries.

#ifndef SNIPEPLANK_POLICY_RETRY_REASON_HPP
#define SNIPEPLANK_POLICY_RETRY_REASON_HPP

#include <cstddef>
#include <string_view>

namespace snipeplank::policy
{

/// @brief Why a call is to be retried.
enum class retry_reason
{
    connect_failed,     ///< no byte was handed to a socket: proven not run
    refused_before_run, ///< status configured as refusing before execution: proven not run
    upstream_failed,    ///< may have run
    answer_truncated,   ///< may have run
    peer_unreachable,   ///< may have run
};

constexpr std::size_t retry_reason_count =
    static_cast<std::size_t>(retry_reason::peer_unreachable) + 1;

/// @brief Name for logs and metrics.
std::string_view to_string(retry_reason reason);

} // namespace snipeplank::policy

#endif
