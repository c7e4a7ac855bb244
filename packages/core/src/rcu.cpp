#include <snipeplank/core/detail/rcu.hpp>

#include <urcu/urcu-memb.h>

namespace snipeplank::core::detail
{

namespace
{

/// Registers a thread with liburcu at its first read section and unregisters it at thread exit.
struct thread_registration
{
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;
};

} // namespace

rcu_read_section::rcu_read_section()
{
    thread_local const thread_registration registration;
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    urcu_memb_read_unlock();
}

void rcu_wait_for_readers()
{
    urcu_memb_synchronize_rcu();
}

} // namespace snipeplank::core::detail
