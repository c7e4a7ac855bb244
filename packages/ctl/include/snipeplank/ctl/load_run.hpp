/// @file
/// Load generator: sends streamed model calls to one entry host and measures their latency.

#ifndef SNIPEPLANK_CTL_LOAD_RUN_HPP
#define SNIPEPLANK_CTL_LOAD_RUN_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace snipeplank::ctl
{

/// @brief Parameters of a load run.
struct load_plan
{
    core::address entry;
    core::service_id service;
    std::size_t callers = 8;
    core::seconds run_time{10};
    std::size_t tokens = 64;
};

/// @brief Measurements of a load run. Latencies are in milliseconds.
struct load_report
{
    std::size_t answered = 0;
    std::size_t broken = 0;                     ///< calls without a complete answer
    std::map<std::string, std::size_t> refused; ///< by reason
    std::vector<double> first_token_ms;         ///< from sending to the first event
    std::vector<double> between_tokens_ms;
};

/// @brief The quantile `part` (0 to 1) of `values`; 0 when there are none.
double quantile(std::vector<double> values, double part);

/// @brief Runs the plan; blocks until it has elapsed and the last answers have ended.
load_report run_load(const load_plan& plan);

/// @brief One JSON line with the parameters, the counts and p50, p95 and p99 of the latencies.
std::string to_json_line(const load_plan& plan, const load_report& report);

} // namespace snipeplank::ctl

#endif
