/// @file
/// Lock-free reads of an immutable object that a writer replaces.

#ifndef SNIPEPLANK_CORE_RCU_CELL_HPP
#define SNIPEPLANK_CORE_RCU_CELL_HPP

#include <snipeplank/core/detail/rcu.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace snipeplank::core
{

/// @brief Holds an immutable object that is replaced by read-copy-update (liburcu).
///
/// Readers take no lock and never wait for a writer. A writer blocks until all readers that started
/// before the replacement have finished, so read sections must be short and must not do I/O.
/// @code
/// rcu_cell<routing_table> table{std::make_unique<routing_table>()};
/// auto size = table.read([](const routing_table& t) { return t.size(); });
/// table.replace(std::make_unique<routing_table>(next));
/// @endcode
template <typename Value>
class rcu_cell
{
  public:
    explicit rcu_cell(std::unique_ptr<const Value> initial) : m_current(initial.release()) {}
    ~rcu_cell() { delete m_current.load(); }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    /// @brief Calls `reader` with the current object and returns its result by value. Wait-free.
    template <typename Reader>
    auto read(Reader&& reader) const
    {
        const detail::rcu_read_section section;
        return std::forward<Reader>(reader)(*m_current.load(std::memory_order_acquire));
    }

    /// @brief Publishes `next` and deletes the previous object after a grace period.
    void replace(std::unique_ptr<const Value> next)
    {
        const std::lock_guard lock(m_writer);
        const Value* previous = m_current.exchange(next.release(), std::memory_order_acq_rel);
        detail::rcu_wait_for_readers();
        delete previous;
    }

  private:
    std::atomic<const Value*> m_current;
    std::mutex m_writer;
};

} // namespace snipeplank::core

#endif
