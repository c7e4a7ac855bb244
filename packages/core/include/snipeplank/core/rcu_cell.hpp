/// @file
/// An immutable object that many threads read while one thread replaces it.

#ifndef SNIPEPLANK_CORE_RCU_CELL_HPP
#define SNIPEPLANK_CORE_RCU_CELL_HPP

#include <snipeplank/core/detail/rcu.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace snipeplank::core
{

/// @brief Read-copy-update cell over liburcu.
///
/// Readers take no lock and never wait for a writer. A writer waits for the readers that started
/// before the replacement, so keep read sections short and free of I/O.
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

    /// @brief Publishes `next` and frees the former object once no reader can see it.
    void replace(std::unique_ptr<const Value> next)
    {
        const std::lock_guard lock(m_writer);
        const Value* former = m_current.exchange(next.release(), std::memory_order_acq_rel);
        detail::rcu_wait_for_readers();
        delete former;
    }

  private:
    std::atomic<const Value*> m_current;
    std::mutex m_writer;
};

} // namespace snipeplank::core

#endif
