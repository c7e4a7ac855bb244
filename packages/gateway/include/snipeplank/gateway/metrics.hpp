/// @file
/// Counters and latency summaries of a node, rendered in the Prometheus text format.

#ifndef SNIPEPLANK_GATEWAY_METRICS_HPP
#define SNIPEPLANK_GATEWAY_METRICS_HPP

#include <snipeplank/policy/dispatcher.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace snipeplank::gateway
{

/// @brief Plain counters, one per event kind.
enum class counter
{
    calls,
    answered,
    cancelled_by_caller,
    aborted_answers,
    upstream_attempts,
    hedges,
    stream_resumes,
    forwarded_out,
    forwarded_in,
    tickets_issued,
    frames_dropped,
    config_service_reads,
    config_rejected,
    config_conflicts,
    host_list_reads,
    load_reports,
    view_expired,
    own_link_suspected,
};

constexpr std::size_t counter_count = static_cast<std::size_t>(counter::own_link_suspected) + 1;

/// @brief Latencies that are reported as summaries.
enum class latency
{
    first_byte,
    between_tokens,
    whole_call,
    gateway_overhead,
};

constexpr std::size_t latency_count = static_cast<std::size_t>(latency::gateway_overhead) + 1;

/// @brief All metrics of one node. Thread-safe; counting is one atomic addition.
class metrics
{
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Adds to a plain counter.
    void count(counter which, std::uint64_t amount = 1);

    /// @brief Counts one refused request.
    void count_refusal(policy::refusal_reason reason);

    /// @brief Counts one retry.
    void count_retry(policy::retry_reason reason);

    /// @brief Sets a gauge.
    /// @param name full metric name with labels
    void set_gauge(const std::string& name, double value);

    /// @brief Adds an observation.
    /// @param milliseconds the observed time
    void observe(latency which, double milliseconds);

    /// @brief Value of a plain counter.
    std::uint64_t value(counter which) const;

    /// @brief Renders all metrics in the Prometheus text format. O(number of metrics).
    std::string render() const;

  private:
    struct summary;

    std::array<std::atomic<std::uint64_t>, counter_count> m_counters{};
    std::array<std::atomic<std::uint64_t>, policy::refusal_reason_count> m_refusals{};
    std::array<std::atomic<std::uint64_t>, policy::retry_reason_count> m_retries{};
    std::array<std::unique_ptr<summary>, latency_count> m_latencies;
    mutable std::mutex m_gauge_mutex;
    std::map<std::string, double> m_gauges;
};

} // namespace snipeplank::gateway

#endif
