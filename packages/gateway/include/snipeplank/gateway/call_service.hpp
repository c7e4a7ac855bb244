/// @file
/// Runs a call: routing, attempts, retries and hedges.

#ifndef SNIPEPLANK_GATEWAY_CALL_SERVICE_HPP
#define SNIPEPLANK_GATEWAY_CALL_SERVICE_HPP

#include <snipeplank/gateway/call.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/dispatch_guard.hpp>
#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/region_client.hpp>
#include <snipeplank/gateway/upstream_client.hpp>
#include <snipeplank/gateway/worker_pool.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace snipeplank::gateway
{

/// @brief Collaborators of a call service. All must outlive it.
struct call_service_parts
{
    const config_cell& config;
    dispatch_guard& dispatch;
    upstream_client& upstreams;
    region_client& regions;
    worker_pool& workers;
    metrics& counters;
};

/// @brief One attempt in progress.
struct attempt
{
    policy::attempt_id id;
    std::shared_ptr<answer_stream> stream;
    core::address upstream; ///< empty for a remote region
    core::region_id region;
    core::time_point started;
    std::size_t record = 0; ///< index into `call_record::attempts`
};

/// @brief An answer whose head has arrived and whose body may still be streaming.
///
/// Destroying it before the end cancels the call at the upstream.
class running_answer
{
  public:
    running_answer(attempt winner, dispatch_guard& dispatch, metrics& counters);
    ~running_answer();
    running_answer(const running_answer&) = delete;
    running_answer& operator=(const running_answer&) = delete;

    const answer_head& head() const { return m_attempt.stream->head(); }

    /// @brief The next chunk; nothing at the end, on failure or after `limit`.
    std::optional<std::string> next(core::duration limit);

    /// @brief True when the whole answer has been taken.
    bool is_complete() const { return m_attempt.stream->is_drained(); }

    /// @brief The failure that ended the answer early, if any.
    std::optional<attempt_failure> failure() const;

  private:
    void interrupt_if_silent(core::time_point now);

    attempt m_attempt;
    dispatch_guard& m_dispatch;
    metrics& m_metrics;
    core::time_point m_last_chunk;
};

using call_result = std::variant<std::unique_ptr<running_answer>, policy::refusal>;

/// @brief Makes attempts until one has an answer or the call is refused.
class call_service
{
  public:
    explicit call_service(call_service_parts parts) : m_parts(parts) {}

    /// @brief Blocks until the head of an answer has arrived or the call is refused.
    /// @param[in,out] record each attempt is appended to it
    call_result start(const call& request, call_record& record);

  private:
    class run;

    call_service_parts m_parts;
};

} // namespace snipeplank::gateway

#endif
