/// @file
/// Parses and validates a caller's HTTP request.

#ifndef SNIPEPLANK_GATEWAY_REQUEST_PARSER_HPP
#define SNIPEPLANK_GATEWAY_REQUEST_PARSER_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/gateway/call.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <optional>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Request line and headers of a caller's request.
struct request_head
{
    std::string method;
    std::string path;   ///< without the query
    std::string target; ///< path and query
    std::vector<header_field> headers;
};

/// @brief Whether the path belongs to the model API.
bool is_model_path(const std::string& path);

/// @brief Validates the headers before any byte of the body is read.
///
/// For a model path the service is known only from the body, so residency is decided as if the
/// service were bound, unless the caller sends `Snipeplank-Residency: free`.
/// @param[out] parsed the call without its body
/// @return a refusal, or nothing
std::optional<policy::refusal> parse_head(const request_head& head, config_ptr config,
                                          const core::region_id& here, core::time_point now,
                                          call& parsed);

/// @brief Checks only the account, for requests other than calls, such as ticket requests.
/// @return a refusal, or nothing
std::optional<policy::refusal> check_account(const request_head& head, config_ptr config);

/// @brief Adds the body. For a model call, also determines service, prefix hash and residency.
/// @return a refusal, or nothing
std::optional<policy::refusal> parse_body(std::string body, const core::region_id& here,
                                          call& parsed);

} // namespace snipeplank::gateway

#endif
