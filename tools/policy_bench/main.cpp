/// Compares the dispatcher with the baselines under the same seeded arrivals and prints one JSON
/// line for each scenario, policy and seed.
///
/// Usage: policy_bench [SCENARIO|all] [SEED...]

#include <algorithm>
#include <cstdio>
#include <string>

#include "scenarios.hpp"

namespace
{

using namespace snipeplank::bench;

constexpr const char* policies[] = {"adaptive", "round_robin", "least_outstanding", "random_of_two",
                                    "least_outstanding_across"};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

double ratio(double part, double whole)
{
    return whole == 0 ? 0 : part / whole;
}

void print(const scenario& plan, const std::string& policy, std::uint64_t seed, const run& state,
           const figures& seen)
{
    std::string refused;
    for (const auto& [reason, count] : seen.refused)
    {
        refused += (refused.empty() ? "\"" : ",\"") + reason + "\":" + std::to_string(count);
    }
    const double seconds = (plan.measure_to_ms - plan.measure_from_ms) / 1'000;
    const auto first_attempts = static_cast<double>(seen.first_attempts);
    std::printf(
        "{\"scene\":\"%s\",\"policy\":\"%s\",\"seed\":%llu,\"offered\":%llu,"
        "\"p50_ms\":%.0f,\"p95_ms\":%.0f,\"p99_ms\":%.0f,\"goodput_per_s\":%.1f,"
        "\"good_share\":%.3f,\"late\":%llu,\"failed\":%llu,\"refused\":{%s},"
        "\"away_share\":%.4f,\"link_mbytes\":%.2f,\"engine_s_per_answer\":%.3f,"
        "\"retries\":%llu,\"hedges\":%llu,\"extra_share\":%.4f}\n",
        plan.name.c_str(), policy.c_str(), static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(seen.offered), quantile(seen.first_token_ms, 0.5),
        quantile(seen.first_token_ms, 0.95), quantile(seen.first_token_ms, 0.99),
        static_cast<double>(seen.good_in_time) / seconds,
        ratio(static_cast<double>(seen.good), static_cast<double>(seen.offered)),
        static_cast<unsigned long long>(seen.late), static_cast<unsigned long long>(seen.failed),
        refused.c_str(), ratio(static_cast<double>(seen.sent_to_remote), first_attempts),
        seen.link_bytes / 1e6,
        ratio(state.engine_seconds(), static_cast<double>(seen.answered_in_run)),
        static_cast<unsigned long long>(seen.retries), static_cast<unsigned long long>(seen.hedges),
        ratio(static_cast<double>(seen.retries + seen.hedges), first_attempts));
}

} // namespace

int main(int argc, char** argv)
{
    const std::string wanted = argc > 1 ? argv[1] : "all";
    std::vector<std::uint64_t> seeds;
    for (int i = 2; i < argc; ++i)
    {
        seeds.push_back(std::stoull(argv[i]));
    }
    if (seeds.empty())
        seeds = {1, 2, 3};
    for (const scenario& plan : make_scenarios())
    {
        if (wanted != "all" && wanted != plan.name)
            continue;
        for (const char* policy : policies)
        {
            for (const std::uint64_t seed : seeds)
            {
                run state(plan, policy, seed);
                const figures seen = state.play();
                print(plan, policy, seed, state, seen);
            }
        }
    }
    return 0;
}
