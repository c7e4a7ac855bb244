/// @file
/// Common budget of retries and hedges.

#ifndef SNIPEPLANK_POLICY_EXTRA_ATTEMPT_BUDGET_HPP
#define SNIPEPLANK_POLICY_EXTRA_ATTEMPT_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace snipeplank::policy
{

/// @brief Bounds extra attempts: each first attempt earns a tenth of one. O(1).
///
/// At any time, extra attempts <= first attempts / 10 + `initial_extra`. The stored credit is
/// bounded, so that credit from a long period without failures cannot cause a retry storm.
class extra_attempt_budget
{
  public:
    /// First attempts that earn one extra attempt.
    static constexpr std::uint64_t firsts_per_extra = 10;
    /// Lets a new process retry a few calls before it has had any traffic.
    static constexpr std::uint64_t initial_extra = 3;
    /// Limit of the stored credit, in extra attempts.
    static constexpr std::uint64_t max_stored = 50;

    /// @brief Adds the credit of one first attempt.
    void on_first_attempt() { m_credit = std::min(m_credit + 1, max_stored * firsts_per_extra); }

    /// @brief Whether an extra attempt can be taken.
    bool has_extra() const { return m_credit >= firsts_per_extra; }

    /// @brief Takes one extra attempt if there is one.
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
