#include <snipeplank/core/json_text.hpp>
#include <snipeplank/gateway/problem.hpp>

#include <nlohmann/json.hpp>

namespace snipeplank::gateway
{

std::string to_problem_json(const policy::refusal& refused, const std::string& request_id)
{
    const std::string reason{policy::to_string(refused.reason)};
    const nlohmann::json body = {
        {"type", "urn:snipeplank:refusal:" + reason},      {"title", "request refused: " + reason},
        {"status", policy::http_status(refused.reason)},   {"reason", reason},
        {"executed", policy::to_string(refused.executed)}, {"remedy", refused.remedy},
        {"retry_after_ms", refused.retry_after.count()},   {"request_id", request_id},
    };
    return core::json_text(body);
}

long retry_after_seconds(const policy::refusal& refused)
{
    constexpr long ms_per_second = 1'000;
    if (refused.retry_after.count() <= 0)
        return 0;
    return (static_cast<long>(refused.retry_after.count()) + ms_per_second - 1) / ms_per_second;
}

} // namespace snipeplank::gateway
