/// @file
/// HTTP interface for operators.

#ifndef SNIPEPLANK_GATEWAY_ADMIN_SERVER_HPP
#define SNIPEPLANK_GATEWAY_ADMIN_SERVER_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/metrics.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeplank::gateway
{

/// @brief Address, data sources and actions of the admin server.
struct admin_server_parts
{
    core::address listen;
    decision_log& log;
    metrics& counters;
    std::function<std::string()> status; ///< JSON
    std::function<bool()> is_ready;
    std::function<void()> begin_drain;
    std::function<void()> refresh_gauges; ///< called before metrics are rendered
};

/// @brief The operators' HTTP server.
class admin_server
{
  public:
    virtual ~admin_server() = default;

    virtual core::result<void> start() = 0;
    virtual void stop() = 0;
};

/// @brief Creates the HTTP implementation.
std::unique_ptr<admin_server> make_admin_server(admin_server_parts parts);

} // namespace snipeplank::gateway

#endif
