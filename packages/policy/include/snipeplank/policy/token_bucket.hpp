/// @file
/// Token bucket.

#ifndef SNIPEPLANK_POLICY_TOKEN_BUCKET_HPP
#define SNIPEPLANK_POLICY_TOKEN_BUCKET_HPP

#include <snipeplank/core/units.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::policy
{

/// @brief Admits `rate` units a second with bursts of at most `capacity`. Starts full. O(1).
///
/// In any interval t the bucket grants at most `capacity + rate * t`. It has no clock of its own.
class token_bucket
{
  public:
    token_bucket() = default;
    token_bucket(double rate, double capacity)
        : m_rate(rate), m_capacity(capacity), m_tokens(capacity)
    {
    }

    /// @brief Changes the rate and the capacity; tokens above the new capacity are dropped.
    void resize(double rate, double capacity)
    {
        m_rate = rate;
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, capacity);
    }

    /// @brief Whether `amount` units are available now.
    bool has(double amount, core::time_point now)
    {
        refill(now);
        return m_tokens >= amount;
    }

    /// @brief Takes `amount` units if they are available.
    bool take(double amount, core::time_point now)
    {
        if (!has(amount, now))
            return false;
        m_tokens -= amount;
        return true;
    }

    /// @brief Time until `amount` units are available, at most one minute; one minute also when
    /// they never will be.
    core::milliseconds time_until(double amount, core::time_point now)
    {
        constexpr double max_wait_ms = 60'000;
        refill(now);
        if (m_tokens >= amount)
            return core::milliseconds{0};
        if (m_rate <= 0 || amount > m_capacity)
            return core::milliseconds{static_cast<long>(max_wait_ms)};
        const double ms = (amount - m_tokens) / m_rate * 1'000;
        return core::milliseconds{static_cast<long>(std::min(ms + 1, max_wait_ms))};
    }

    /// @brief Whether the bucket is full, so that deleting it loses no state.
    bool is_full(core::time_point now) const
    {
        token_bucket later = *this;
        later.refill(now);
        return later.m_tokens >= m_capacity;
    }

  private:
    void refill(core::time_point now)
    {
        if (m_last == core::time_point{} || now < m_last)
        {
            m_last = std::max(m_last, now);
            return;
        }
        const double elapsed = std::chrono::duration<double>(now - m_last).count();
        m_tokens = std::min(m_capacity, m_tokens + elapsed * m_rate);
        m_last = now;
    }

    double m_rate = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    core::time_point m_last{};
};

} // namespace snipeplank::policy

#endif
