/// @file
/// Thread pool that grows on demand up to a limit.

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
/// A thread is started only when no idle one is left, so a node with little load has few threads.
/// Jobs over the limit wait in a queue.
class worker_pool
{
  public:
    explicit worker_pool(std::size_t max_threads);

    /// @brief Waits for running and queued jobs.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// @brief Queues a job. Must not be called after `shutdown`.
    void submit(std::function<void()> job);

    /// @brief Runs queued jobs to their end, then joins all threads.
    void shutdown();

    /// @brief Number of jobs running or queued.
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
