/// @file
/// Non-template wrappers around liburcu, so that its header is not part of the public interface.

#ifndef SNIPEPLANK_CORE_DETAIL_RCU_HPP
#define SNIPEPLANK_CORE_DETAIL_RCU_HPP

namespace snipeplank::core::detail
{

/// @brief Scoped read-side critical section; registers the thread with liburcu on first use.
class rcu_read_section
{
  public:
    rcu_read_section();
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// @brief Waits for a grace period: until every read section that began before the call has ended.
void rcu_wait_for_readers();

} // namespace snipeplank::core::detail

#endif
