/// @file
/// HTTP interface for callers.

#ifndef SNIPEPLANK_GATEWAY_CALLER_SERVER_HPP
#define SNIPEPLANK_GATEWAY_CALLER_SERVER_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/gateway/call_number_generator.hpp>
#include <snipeplank/gateway/call_service.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/dispatch_guard.hpp>
#include <snipeplank/gateway/fleet_view.hpp>
#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/ticket_service.hpp>
#include <snipeplank/settings/node_settings.hpp>

#include <atomic>
#include <memory>

namespace snipeplank::gateway
{

/// @brief Collaborators of the server. All must outlive it.
struct caller_server_parts
{
    const settings::node_settings& settings;
    core::node_id admin; ///< names this node in request ids
    const config_cell& config;
    const fleet_view_cell& view;
    const std::atomic<bool>& is_draining;
    dispatch_guard& dispatch;
    call_service& calls;
    ticket_service& tickets;
    call_number_generator& numbers;
    decision_log& log;
    metrics& counters;
};

/// @brief The callers' HTTP server.
class caller_server
{
  public:
    virtual ~caller_server() = default;

    /// @brief Binds the caller address and serves on its own threads.
    virtual core::result<void> start() = 0;

    /// @brief Number of requests whose answer is not finished.
    virtual std::size_t in_flight() const = 0;

    /// @brief Stops accepting, waits for requests in flight and joins all threads.
    virtual void stop() = 0;
};

/// @brief Creates the HTTP implementation.
std::unique_ptr<caller_server> make_caller_server(const caller_server_parts& parts);

} // namespace snipeplank::gateway

#endif
