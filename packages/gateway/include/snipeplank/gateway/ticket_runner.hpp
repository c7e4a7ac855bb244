/// @file
/// Runs a committed call at an upstream.

#ifndef SNIPEPLANK_GATEWAY_TICKET_RUNNER_HPP
#define SNIPEPLANK_GATEWAY_TICKET_RUNNER_HPP

#include <snipeplank/gateway/call.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/dispatch_guard.hpp>
#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/upstream_client.hpp>
#include <snipeplank/policy/call_outcome.hpp>

#include <functional>

namespace snipeplank::gateway
{

/// @brief Runs a call that must not run twice, on a new connection.
///
/// Another upstream is tried only after proof that the previous one did not run the call.
class ticket_runner
{
  public:
    ticket_runner(const config_cell& config, dispatch_guard& dispatch, upstream_client& upstreams,
                  metrics& counters)
        : m_config(config), m_dispatch(dispatch), m_upstreams(upstreams), m_metrics(counters)
    {
    }

    /// @brief Runs the call; blocks until its outcome is known.
    /// @param may_send called right before each attempt is sent; false ends the call
    policy::call_outcome run(const call& request, call_record& record,
                             const std::function<bool()>& may_send);

  private:
    policy::call_outcome attempt(const call& request, const core::address& upstream);

    const config_cell& m_config;
    dispatch_guard& m_dispatch;
    upstream_client& m_upstreams;
    metrics& m_metrics;
};

} // namespace snipeplank::gateway

#endif
