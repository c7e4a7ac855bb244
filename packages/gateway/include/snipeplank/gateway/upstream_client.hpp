/// @file
/// Sends one call to one upstream and streams its answer.

#ifndef SNIPEPLANK_GATEWAY_UPSTREAM_CLIENT_HPP
#define SNIPEPLANK_GATEWAY_UPSTREAM_CLIENT_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/gateway/answer_stream.hpp>

#include <memory>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

/// @brief One attempt of a call at one upstream.
struct upstream_request
{
    core::address address;
    std::string method;
    std::string target; ///< path and query
    std::vector<header_field> headers;
    std::string body;
    core::time_point deadline;
    bool is_idempotent = false; ///< may use a cached connection
    bool may_resume = false;    ///< the engine supports Last-Event-ID
};

/// @brief Sends calls to upstreams.
class upstream_client
{
  public:
    virtual ~upstream_client() = default;

    /// @brief Runs the call to its end on the calling thread and passes its answer to `answer`.
    ///
    /// An answer that ends before its declared length, its last chunk or its `[DONE]` event
    /// is reported as a failure.
    virtual void run(const upstream_request& request, answer_sink& answer) = 0;
};

class metrics;

/// @brief Creates the HTTP implementation.
std::unique_ptr<upstream_client> make_http_upstream_client(metrics& counters);

} // namespace snipeplank::gateway

#endif
