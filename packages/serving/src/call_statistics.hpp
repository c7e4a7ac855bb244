/// @file
/// Counters and latency histograms of calls, in the Prometheus text format.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_STATISTICS_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_STATISTICS_HPP

#include <snipeplank/policy/retry_reason.hpp>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "call_outcome.hpp"

namespace snipeplank::serving
{

/// @brief Times in buckets, with their sum.
class latency_histogram
{
  public:
    latency_histogram();

    /// @brief Adds one observation. O(log buckets).
    void add(double ms);

    /// @brief All buckets, the sum and the count under this name.
    std::string render(const std::string& name) const;

  private:
    using axis = boost::histogram::axis::variable<double>;
    using storage = boost::histogram::storage_adaptor<std::vector<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_buckets;
    double m_sum_ms = 0;
};

/// @brief What became of all calls since the start. Lives on the event loop.
class call_statistics
{
  public:
    void add(const call_outcome_line& ended);
    void count_retry(policy::retry_reason reason) { ++m_retries[reason]; }

    /// @brief Every counter and histogram as text.
    std::string render() const;

  private:
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<policy::retry_reason, std::uint64_t> m_retries;
    latency_histogram m_first_byte;
    latency_histogram m_longest_pause;
    latency_histogram m_whole_call;
};

} // namespace snipeplank::serving

#endif
