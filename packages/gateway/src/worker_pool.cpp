#include <snipeplank/gateway/worker_pool.hpp>

#include <utility>

namespace snipeplank::gateway
{

worker_pool::worker_pool(std::size_t max_threads) : m_max_threads(max_threads) {}

worker_pool::~worker_pool()
{
    shutdown();
}

void worker_pool::submit(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs.push_back(std::move(job));
    if (m_idle < m_jobs.size() && m_threads.size() < m_max_threads)
        m_threads.emplace_back([this] { run(); });
    m_available.notify_one();
}

void worker_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
        threads.swap(m_threads);
        m_available.notify_all();
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

std::size_t worker_pool::busy() const
{
    const std::lock_guard lock(m_mutex);
    return m_running + m_jobs.size();
}

void worker_pool::run()
{
    std::unique_lock lock(m_mutex);
    for (;;)
    {
        ++m_idle;
        m_available.wait(lock, [&] { return m_is_stopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty())
            return;
        std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        ++m_running;
        lock.unlock();
        job();
        job = nullptr; // destroys captured state without holding the lock
        lock.lock();
        --m_running;
    }
}

} // namespace snipeplank::gateway
