/// @file
/// Outcome of a request.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_OUTCOME_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_OUTCOME_HPP

#include <cstdint>
#include <string>

namespace snipeplank::serving
{

/// @brief How a request ended, for its log line and the metrics.
struct call_outcome_line
{
    std::string request_id;
    std::string route;
    std::string service;
    std::uint64_t config_version = 0;
    std::string attempts;  ///< targets and their results in order
    std::string upstreams; ///< states of the candidates, when it was refused
    std::string outcome;   ///< answered, or the reason of the refusal
    int status = 0;
    std::string executed;
    double predicted_ms = 0;
    double remaining_ms = 0;
    double retry_after_ms = 0;
    double first_byte_ms = 0;    ///< from the request to the first byte forwarded
    double longest_pause_ms = 0; ///< between two events forwarded
    double prompt_tokens = 0;
    double total_ms = 0;
};

} // namespace snipeplank::serving

#endif
