#include "call_statistics.hpp"

#include <spdlog/fmt/fmt.h>

namespace snipeplank::serving
{

namespace
{

/// Upper bounds of the buckets; the first value is the lower bound of the first bucket.
const std::vector<double> bucket_bounds_ms{0,   5,     10,    25,    50,     100,   250,
                                           500, 1'000, 2'500, 5'000, 10'000, 30'000};

} // namespace

latency_histogram::latency_histogram() : m_buckets(axis(bucket_bounds_ms)) {}

void latency_histogram::add(double ms)
{
    m_buckets(ms);
    m_sum_ms += ms;
}

std::string latency_histogram::render(const std::string& name) const
{
    std::string text = fmt::format("# TYPE {} histogram\n", name);
    std::uint64_t count = m_buckets.at(-1);
    const int buckets = m_buckets.axis().size();
    for (int i = 0; i < buckets; ++i)
    {
        count += m_buckets.at(i);
        text +=
            fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, m_buckets.axis().value(i + 1), count);
    }
    count += m_buckets.at(buckets);
    text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2:.3f}\n{0}_count {1}\n", name,
                        count, m_sum_ms);
    return text;
}

void call_statistics::add(const call_outcome_line& ended)
{
    ++m_outcomes[ended.outcome];
    if (ended.cut_by != cut_cause::none)
        ++m_cut_answers[ended.cut_by];
    if (ended.first_byte_ms > 0)
        m_first_byte.add(ended.first_byte_ms);
    if (ended.longest_pause_ms > 0)
        m_longest_pause.add(ended.longest_pause_ms);
    m_whole_call.add(ended.total_ms);
}

std::string call_statistics::render() const
{
    std::string text = "# HELP snipeplank_calls_total Requests by outcome.\n"
                       "# TYPE snipeplank_calls_total counter\n";
    for (const auto& [outcome, count] : m_outcomes)
    {
        text += fmt::format("snipeplank_calls_total{{outcome=\"{}\"}} {}\n", outcome, count);
    }
    text += "# TYPE snipeplank_retries_total counter\n";
    for (const auto& [reason, count] : m_retries)
    {
        text += fmt::format("snipeplank_retries_total{{reason=\"{}\"}} {}\n",
                            policy::to_string(reason), count);
    }
    text += fmt::format("# TYPE snipeplank_denied_retries_total counter\n"
                        "snipeplank_denied_retries_total {}\n",
                        m_denied_retries);
    text += "# HELP snipeplank_cut_answers_total Answers that ended early, by who ended them.\n"
            "# TYPE snipeplank_cut_answers_total counter\n";
    for (const auto& [cause, count] : m_cut_answers)
    {
        text +=
            fmt::format("snipeplank_cut_answers_total{{by=\"{}\"}} {}\n", to_string(cause), count);
    }
    text += "# HELP snipeplank_rejected_requests_total Requests that were not read to a call.\n"
            "# TYPE snipeplank_rejected_requests_total counter\n";
    for (const auto& [status, count] : m_rejected)
    {
        text +=
            fmt::format("snipeplank_rejected_requests_total{{status=\"{}\"}} {}\n", status, count);
    }
    text +=
        "# HELP snipeplank_upstream_verifications_total Health checks of upstreams' processes.\n"
        "# TYPE snipeplank_upstream_verifications_total counter\n";
    for (const auto& [result, count] : m_verifications)
    {
        text += fmt::format("snipeplank_upstream_verifications_total{{result=\"{}\"}} {}\n",
                            to_string(result), count);
    }
    return text + m_first_byte.render("snipeplank_first_byte_ms") +
           m_longest_pause.render("snipeplank_longest_pause_ms") +
           m_whole_call.render("snipeplank_whole_call_ms");
}

} // namespace snipeplank::serving
