#include <snipeplank/policy/retry_reason.hpp>

#include <array>

namespace snipeplank::policy
{

std::string_view to_string(retry_reason reason)
{
    static constexpr std::array<std::string_view, retry_reason_count> names{
        "connect_failed",   "refused_before_run", "upstream_failed",
        "answer_truncated", "peer_unreachable",
    };
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace snipeplank::policy
