/// @file
/// Who is served while callers compete for too little room. Pure.
///
/// Handles these load patterns: callers that want two to five times what fits, one account that
/// sends many times its usual, and callers that repeat at once. A queue that is filled up to the
/// deadlines serves everyone late, and serves many in vain: their callers leave. A request is
/// therefore admitted only while it is likely to begin within its objective, and the room is shared
/// by accounts: one that takes more than its fair part is refused earlier, one that takes less
/// later.

#ifndef SNIPEPLANK_POLICY_FAIR_ADMISSION_HPP
#define SNIPEPLANK_POLICY_FAIR_ADMISSION_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>

#include <map>

namespace snipeplank::policy
{

/// @brief What each account has had admitted at one service lately. Not thread-safe.
class fair_admission
{
  public:
    /// Time in which what was admitted counts half.
    static constexpr core::milliseconds half_life{2'000};
    /// Wait for room, in parts of the objective, up to which an account is admitted that takes
    /// exactly its fair part.
    static constexpr double usual_wait = 0.8;
    /// The same for an account that takes nothing, and for one that takes everything.
    static constexpr double longest_wait = 1.0;
    static constexpr double shortest_wait = 0.4;

    /// @brief Records an admitted request.
    /// @param units work that it causes, in any unit that all requests of the service share
    void on_admitted(const core::account_id& account, double units, core::time_point now);

    /// @brief Longest wait, in parts of the objective, after which a request of the account may
    /// begin. O(accounts).
    double wait_limit(const core::account_id& account, core::time_point now);

  private:
    struct usage
    {
        double units = 0;
        core::time_point at{};
    };

    static double current(const usage& of, core::time_point now);

    std::map<core::account_id, usage> m_usage;
};

} // namespace snipeplank::policy

#endif
