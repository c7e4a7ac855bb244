/// @file
/// Sends streamed model calls to one entry host and measures them.

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

/// @brief What to send.
struct load_plan
{
    core::address entry;
    core::service_id service;
    std::size_t callers = 8;
    core::seconds time{10};
    std::size_t tokens = 64;
};

/// @brief What was measured. Times are in milliseconds.
struct load_report
{
    std::size_t answered = 0;
    std::size_t broken = 0;                     ///< answers that were not whole
    std::map<std::string, std::size_t> refused; ///< by reason
    std::vector<double> first_token_ms;         ///< from sending to the first event
    std::vector<double> between_tokens_ms;
};

/// @brief The value below which `part` of the sorted values lie; 0 when there are none.
double quantile(std::vector<double> values, double part);

/// @brief Runs the plan; blocks until its time is over and the last answers have ended.
load_report run_load(const load_plan& plan);

/// @brief One JSON line with counts, p50, p95 and p99.
std::string to_json_line(const load_plan& plan, const load_report& report);

} // namespace snipeplank::ctl

#endif
