/// @file
/// Continuous batching of the stand-in engine: a fixed number of slots and an ordered queue.

#ifndef SNIPEPLANK_STANDINS_ENGINE_BATCH_HPP
#define SNIPEPLANK_STANDINS_ENGINE_BATCH_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

namespace snipeplank::standins
{

/// @brief Slots of the running batch. A freed slot goes to the waiting request with the lowest
/// priority number, in order of arrival among equals.
class batch
{
  public:
    /// @brief Called with the numbers of running and waiting requests after each change.
    using observer = std::function<void(std::size_t running, std::size_t waiting)>;

    batch(std::size_t slots, observer changed) : m_slots(slots), m_changed(std::move(changed)) {}

    /// @brief Handle of a slot; destroying it frees the slot.
    using slot = std::shared_ptr<void>;

    /// @brief Waits for a slot.
    /// @param is_cancelled polled every few milliseconds; the wait ends when it returns true
    /// @return the slot, or null when the wait was cancelled
    slot enter(int priority, const std::function<bool()>& is_cancelled);

  private:
    void leave();

    const std::size_t m_slots;
    const observer m_changed;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    std::set<std::pair<int, std::uint64_t>> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::size_t m_running = 0;
};

} // namespace snipeplank::standins

#endif
