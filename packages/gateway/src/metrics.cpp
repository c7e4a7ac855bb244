#include <snipeplank/gateway/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <spdlog/fmt/fmt.h>

namespace snipeplank::gateway
{

namespace
{

namespace acc = boost::accumulators;

using summary_set =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square_quantile(acc::quadratic)>>;

constexpr std::array<double, 3> reported_quantiles{0.5, 0.95, 0.99};

/// Quantiles tracked by the estimator; the additional ones improve its accuracy.
constexpr std::array<double, 5> tracked_quantiles{0.25, 0.5, 0.95, 0.99, 0.999};

constexpr std::array<std::string_view, counter_count> counter_names{
    "calls",           "answered",          "cancelled_by_caller",
    "aborted_answers", "upstream_attempts", "hedges",
    "stream_resumes",  "forwarded_out",     "forwarded_in",
    "tickets_issued",  "frames_dropped",    "config_service_reads",
    "config_rejected", "config_conflicts",  "host_list_reads",
    "load_reports",    "view_expired",      "own_link_suspected",
};

constexpr std::array<std::string_view, latency_count> latency_names{
    "first_byte",
    "between_tokens",
    "whole_call",
    "gateway_overhead",
};

template <typename Enum>
std::size_t index_of(Enum value)
{
    return static_cast<std::size_t>(value);
}

} // namespace

struct metrics::summary
{
    mutable std::mutex mutex;
    summary_set values{acc::extended_p_square_probabilities = tracked_quantiles};
};

metrics::metrics()
{
    for (auto& entry : m_latencies)
    {
        entry = std::make_unique<summary>();
    }
}

metrics::~metrics() = default;

void metrics::count(counter which, std::uint64_t amount)
{
    m_counters[index_of(which)].fetch_add(amount, std::memory_order_relaxed);
}

void metrics::count_refusal(policy::refusal_reason reason)
{
    m_refusals[index_of(reason)].fetch_add(1, std::memory_order_relaxed);
}

void metrics::count_retry(policy::retry_reason reason)
{
    m_retries[index_of(reason)].fetch_add(1, std::memory_order_relaxed);
}

void metrics::set_gauge(const std::string& name, double value)
{
    const std::lock_guard lock(m_gauge_mutex);
    m_gauges[name] = value;
}

void metrics::observe(latency which, double milliseconds)
{
    summary& target = *m_latencies[index_of(which)];
    const std::lock_guard lock(target.mutex);
    target.values(milliseconds);
}

std::uint64_t metrics::value(counter which) const
{
    return m_counters[index_of(which)].load(std::memory_order_relaxed);
}

std::string metrics::render() const
{
    std::string text;
    for (std::size_t i = 0; i < counter_count; ++i)
    {
        text += fmt::format("# TYPE snipeplank_{0}_total counter\nsnipeplank_{0}_total {1}\n",
                            counter_names[i], m_counters[i].load(std::memory_order_relaxed));
    }
    text += "# TYPE snipeplank_refusals_total counter\n";
    for (std::size_t i = 0; i < policy::refusal_reason_count; ++i)
    {
        text += fmt::format("snipeplank_refusals_total{{reason=\"{}\"}} {}\n",
                            policy::to_string(static_cast<policy::refusal_reason>(i)),
                            m_refusals[i].load(std::memory_order_relaxed));
    }
    text += "# TYPE snipeplank_retries_total counter\n";
    for (std::size_t i = 0; i < policy::retry_reason_count; ++i)
    {
        text += fmt::format("snipeplank_retries_total{{reason=\"{}\"}} {}\n",
                            policy::to_string(static_cast<policy::retry_reason>(i)),
                            m_retries[i].load(std::memory_order_relaxed));
    }
    for (std::size_t i = 0; i < latency_count; ++i)
    {
        const summary& source = *m_latencies[i];
        const std::lock_guard lock(source.mutex);
        const auto observations = acc::count(source.values);
        text += fmt::format("# TYPE snipeplank_{}_ms summary\n", latency_names[i]);
        for (const double quantile : reported_quantiles)
        {
            if (observations == 0)
                continue;
            text += fmt::format("snipeplank_{}_ms{{quantile=\"{}\"}} {:.3f}\n", latency_names[i],
                                quantile,
                                acc::quantile(source.values, acc::quantile_probability = quantile));
        }
        text += fmt::format("snipeplank_{0}_ms_sum {1:.3f}\nsnipeplank_{0}_ms_count {2}\n",
                            latency_names[i], acc::sum(source.values), observations);
    }
    const std::lock_guard lock(m_gauge_mutex);
    for (const auto& [name, value] : m_gauges)
    {
        text += fmt::format("{} {}\n", name, value);
    }
    return text;
}

} // namespace snipeplank::gateway
