/// @file
/// Budget for work beyond first attempts: retries and hedges together.

#ifndef SNIPEPLANK_POLICY_WORK_BUDGET_HPP
#define SNIPEPLANK_POLICY_WORK_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace snipeplank::policy
{

/// @brief Each first attempt earns a tenth of an extra attempt. O(1).
///
/// At any time, extra attempts <= first attempts / 10 + `initial_extra`. The stored credit is
/// bounded, so that a long quiet time does not pay for a storm of retries.
class work_budget
{
  public:
    /// First attempts that earn one extra attempt.
    static constexpr std::uint64_t firsts_per_extra = 10;
    /// A fresh process may retry a few calls before it has seen any traffic.
    static constexpr std::uint64_t initial_extra = 3;
    /// Most extra attempts that can be stored.
    static constexpr std::uint64_t most_stored = 50;

    /// @brief A first attempt was started.
    void on_first_attempt() { m_credit = std::min(m_credit + 1, most_stored * firsts_per_extra); }

    /// @brief Whether an extra attempt could be taken.
    bool has_extra() const { return m_credit >= firsts_per_extra; }

    /// @brief Takes one extra attempt, or nothing.
    bool take_extra()
    {
        if (!has_extra())
            return false;
        m_credit -= firsts_per_extra;
        return true;
    }

  private:
    std::uint64_t m_credit = initial_extra * firsts_per_extra; ///< in first attempts
};

} // namespace snipeplank::policy

#endif
