/// @file
/// Smoothed delay of an upstream, and quantiles of a service's delays.

#ifndef SNIPEPLANK_POLICY_LATENCY_ESTIMATE_HPP
#define SNIPEPLANK_POLICY_LATENCY_ESTIMATE_HPP

#include <snipeplank/core/units.hpp>

#include <array>
#include <cstddef>

namespace snipeplank::policy
{

/// @brief Exponentially weighted mean that decays without samples.
///
/// An upstream that appears slow gets no calls and so no new samples. The estimate is halved for
/// each ten seconds without a sample, so that the upstream gets calls and is measured again. A
/// sample far below the estimate shows that a stall has ended and gets a weight of one half.
class latency_estimate
{
  public:
    static constexpr double weight_of_sample = 0.2;
    static constexpr double weight_after_stall = 0.5;
    static constexpr double stall_factor = 4;
    static constexpr core::seconds half_life{10};

    /// @brief Adds a sample. O(1).
    void add(double ms, core::time_point now);

    /// @brief The estimate in ms; 0 when there is no sample. O(1).
    double value(core::time_point now) const;

    /// @brief Number of samples since the start or the last `forget`.
    std::size_t samples() const { return m_samples; }

    /// @brief When the latest sample was added.
    core::time_point last_sample() const { return m_last; }

    /// @brief Drops all samples.
    void forget() { *this = latency_estimate{}; }

  private:
    double m_mean = 0;
    std::size_t m_samples = 0;
    core::time_point m_last{};
};

/// @brief Quantiles of the latest samples. O(1) to add, O(window) to read.
class latency_window
{
  public:
    static constexpr std::size_t window = 128;

    /// @brief Adds a sample; the oldest one is dropped.
    void add(double ms);

    /// @brief The `fraction` quantile in ms; 0 without samples.
    double quantile(double fraction) const;

    std::size_t size() const { return m_size; }

  private:
    std::array<double, window> m_samples{};
    std::size_t m_size = 0;
    std::size_t m_next = 0;
};

} // namespace snipeplank::policy

#endif
