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

/// @brief What the front serves.
struct admin_front_parts
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
class admin_front
{
  public:
    virtual ~admin_front() = default;

    virtual core::result<void> start() = 0;
    virtual void stop() = 0;
};

/// @brief Makes the front.
std::unique_ptr<admin_front> make_admin_front(admin_front_parts parts);

} // namespace snipeplank::gateway

#endif
