/// @file
/// Attributes memory and CPU time to the node whose code runs.

#ifndef SNIPEPLANK_TOOLS_SLOPES_ACCOUNTING_HPP
#define SNIPEPLANK_TOOLS_SLOPES_ACCOUNTING_HPP

#include <cstddef>
#include <cstdint>

namespace snipeplank::slopes
{

constexpr std::size_t max_accounts = 128;
constexpr std::size_t no_account = 0;

/// @brief Live heap bytes allocated for `account`, with 16 bytes of overhead for each allocation.
std::int64_t live_bytes(std::size_t account);

/// @brief Maximum of `live_bytes` since the last reset.
std::int64_t peak_bytes(std::size_t account);

/// @brief Resets the maximum of every account to its current value.
void reset_peaks();

/// @brief CPU time of this thread in seconds.
double thread_cpu_seconds();

/// @brief Scope guard that attributes allocations to an account and adds the scope's CPU time to a
/// sum.
class account_scope
{
  public:
    account_scope(std::size_t account, double& cpu_seconds);
    ~account_scope();
    account_scope(const account_scope&) = delete;
    account_scope& operator=(const account_scope&) = delete;

  private:
    std::size_t m_previous_account;
    double& m_cpu_seconds;
    double m_started;
};

} // namespace snipeplank::slopes

#endif
