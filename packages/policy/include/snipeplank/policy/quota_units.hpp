/// @file
/// Units of a quota that carry their age, so that a bound over all nodes holds wherever they go.

#ifndef SNIPEPLANK_POLICY_QUOTA_UNITS_HPP
#define SNIPEPLANK_POLICY_QUOTA_UNITS_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/quota_limit.hpp>

#include <deque>
#include <vector>

namespace snipeplank::policy
{

/// @brief Units that were filled at one time, or a little later.
struct aged_units
{
    core::time_point filled_at{};
    double amount = 0;
};

/// @brief Units that this node holds of one quota.
///
/// Units older than `max_age` are void. What all nodes use in a window was therefore filled in that
/// window or at most `max_age` before, whichever nodes held it meanwhile.
class quota_units
{
  public:
    /// Units that wait longer for a request are of no more use to callers than those that are
    /// filled meanwhile, and each further second of age is a second's worth of excess.
    static constexpr core::milliseconds max_age{2'000};

    void add(aged_units added);
    void add(const std::vector<aged_units>& added);

    /// @brief Sum of the units that are not void.
    double available(core::time_point now);

    /// @brief Takes up to `amount` units, the oldest first.
    std::vector<aged_units> take(double amount, core::time_point now);

  private:
    void remove_void(core::time_point now);

    std::deque<aged_units> m_batches; ///< oldest first
    double m_sum = 0;
};

/// @brief Longest time from the charge of a request to its arrival at an upstream.
constexpr core::milliseconds max_charge_age{1'000};

/// @brief Units a second that all nodes together fill of a limit.
///
/// At most the limit's rate, and less where window x rate, with what is filled before the window
/// and used in it, would exceed the bound.
double fill_rate(const quota_limit& limit, const quota_bound& bound);

/// @brief Fills a node's part of one quota as time passes.
class quota_fill
{
  public:
    /// @param since when the node began to fill; at most `quota_units::max_age` of it counts
    explicit quota_fill(double per_second = 0, core::time_point since = {})
        : m_per_second(per_second), m_filled_until(since)
    {
    }

    /// @brief Adds what was filled since the last call.
    void fill(quota_units& into, core::time_point now);

    /// @brief Changes the rate from now on; call `fill` before.
    void set_rate(double per_second) { m_per_second = per_second; }
    double rate() const { return m_per_second; }

  private:
    double m_per_second;
    core::time_point m_filled_until;
};

} // namespace snipeplank::policy

#endif
