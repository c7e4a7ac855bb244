/// @file
/// Counters and latency histograms of calls, in the Prometheus text format.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_STATISTICS_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_STATISTICS_HPP

#include <snipeplank/policy/retry_reason.hpp>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "call_outcome.hpp"

namespace snipeplank::serving
{

/// @brief What the process of an upstream said when it was asked which one it is.
enum class verification_result
{
    warm,
    cold,
    no_answer, ///< nothing usable
};

constexpr std::string_view to_string(verification_result result)
{
    constexpr std::array<std::string_view, 3> names{"warm", "cold", "no_answer"};
    return names.at(static_cast<std::size_t>(result));
}

/// @brief Histogram of durations, with their sum.
class latency_histogram
{
  public:
    latency_histogram();

    /// @brief Adds one observation. O(log buckets).
    void add(double ms);

    /// @brief Renders all buckets, the sum and the count as the metric `name`.
    std::string render(const std::string& name) const;

  private:
    using axis = boost::histogram::axis::variable<double>;
    using storage = boost::histogram::storage_adaptor<std::vector<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_buckets;
    double m_sum_ms = 0;
};

/// @brief Counts the outcomes of all calls since the start. Used on the event loop only.
class call_statistics
{
  public:
    void add(const call_outcome_line& ended);
    void count_retry(policy::retry_reason reason) { ++m_retries[reason]; }

    /// @brief Counts a retry that was due but is beyond this node's share of the bound.
    void count_denied_retry() { ++m_denied_retries; }

    /// @brief Counts a request that the protocol or a limit of its size or time forbids.
    void count_rejected(int status) { ++m_rejected[status]; }

    /// @brief Counts a question to an upstream's process.
    void count_verification(verification_result result) { ++m_verifications[result]; }

    /// @brief Renders every counter and histogram.
    std::string render() const;

  private:
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<policy::retry_reason, std::uint64_t> m_retries;
    std::uint64_t m_denied_retries = 0;
    std::map<cut_cause, std::uint64_t> m_cut_answers;
    std::map<int, std::uint64_t> m_rejected; ///< by status
    std::map<verification_result, std::uint64_t> m_verifications;
    latency_histogram m_first_byte;
    latency_histogram m_longest_pause;
    latency_histogram m_whole_call;
};

} // namespace snipeplank::serving

#endif
