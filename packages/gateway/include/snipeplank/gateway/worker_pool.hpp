/// @file
/// Threads that grow on demand up to a limit and are reused.

#ifndef SNIPEPLANK_GATEWAY_WORKER_POOL_HPP
#define SNIPEPLANK_GATEWAY_WORKER_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace snipeplank::gateway
{

/// @brief Runs blocking jobs on POSIX threads.
///
/// A new thread starts only when no idle one is left, so a quiet node keeps few threads. Jobs over
/// the limit wait in a queue.
class worker_pool
{
  public:
    explicit worker_pool(std::size_t max_threads);

    /// Waits for running and queued jobs.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// @brief Queues a job. Must not be called after `shutdown`.
    void submit(std::function<void()> job);

    /// @brief Lets queued jobs end, then joins all threads.
    void shutdown();

    /// @brief Jobs running or queued.
    std::size_t busy() const;

    std::size_t max_threads() const { return m_max_threads; }

  private:
    void run();

    const std::size_t m_max_threads;
    mutable std::mutex m_mutex;
    std::condition_variable m_available;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    std::size_t m_running = 0;
    bool m_is_stopping = false;
};

} // namespace snipeplank::gateway

#endif
