/// @file
/// Memory and CPU charged to the node whose code runs.

#ifndef SNIPEPLANK_TOOLS_SLOPES_ACCOUNTING_HPP
#define SNIPEPLANK_TOOLS_SLOPES_ACCOUNTING_HPP

#include <cstddef>
#include <cstdint>

namespace snipeplank::slopes
{

constexpr std::size_t max_accounts = 128;
constexpr std::size_t no_account = 0;

/// @brief Heap bytes that are live and were allocated for `account`, with 16 bytes of overhead
/// each.
std::int64_t live_bytes(std::size_t account);

/// @brief Highest value of `live_bytes` since the last reset.
std::int64_t peak_bytes(std::size_t account);

/// @brief Makes the present value the highest one of every account.
void reset_peaks();

/// @brief CPU time of this thread in seconds.
double thread_cpu_seconds();

/// @brief Charges allocations to an account, and adds the CPU time of its scope to a sum.
class charge
{
  public:
    charge(std::size_t account, double& cpu_seconds);
    ~charge();
    charge(const charge&) = delete;
    charge& operator=(const charge&) = delete;

  private:
    std::size_t m_former;
    double& m_cpu_seconds;
    double m_started;
};

} // namespace snipeplank::slopes

#endif
