/// @file
/// Calls into liburcu, kept out of templates so that its header stays private.

#ifndef SNIPEPLANK_CORE_DETAIL_RCU_HPP
#define SNIPEPLANK_CORE_DETAIL_RCU_HPP

namespace snipeplank::core::detail
{

/// @brief Marks a read-side critical section; registers the thread at its first use.
class rcu_read_section
{
  public:
    rcu_read_section();
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// @brief Waits until every read section that had started before the call has ended.
void rcu_wait_for_readers();

} // namespace snipeplank::core::detail

#endif
