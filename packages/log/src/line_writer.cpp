#include <snipeplank/log/line_writer.hpp>

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

namespace snipeplank::log
{

namespace
{

bool write_all(int descriptor, std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t count = ::write(descriptor, text.data(), text.size());
        if (count >= 0)
        {
            text.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        constexpr int no_limit = -1;
        pollfd output{descriptor, POLLOUT, 0};
        ::poll(&output, 1, no_limit);
    }
    return true;
}

/// Blocks all signals in this thread, and restores the former ones at its end: a thread that is
/// started meanwhile handles none.
class blocked_signals
{
  public:
    blocked_signals()
    {
        sigset_t all;
        sigfillset(&all);
        ::pthread_sigmask(SIG_SETMASK, &all, &m_former);
    }

    ~blocked_signals() { ::pthread_sigmask(SIG_SETMASK, &m_former, nullptr); }
    blocked_signals(const blocked_signals&) = delete;
    blocked_signals& operator=(const blocked_signals&) = delete;

  private:
    sigset_t m_former{};
};

} // namespace

class line_writer::state
{
  public:
    state(int descriptor, std::size_t capacity) : m_descriptor(descriptor), m_capacity(capacity) {}

    /// @return whether this is the first line, so that the thread is to be started
    bool push(std::string line)
    {
        const std::lock_guard lock(m_mutex);
        if (line.size() > max_line_bytes || line.size() > m_capacity)
        {
            ++m_dropped;
            return false;
        }
        for (; m_bytes + line.size() > m_capacity; ++m_dropped)
        {
            m_bytes -= m_lines.front().size();
            m_lines.pop_front();
        }
        m_bytes += line.size();
        m_lines.push_back(std::move(line));
        m_has_changed.notify_all();
        return !std::exchange(m_has_begun, true);
    }

    bool flush(core::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_has_changed.wait_for(lock, limit,
                                      [this] { return m_lines.empty() && !m_is_writing; });
    }

    std::uint64_t dropped() const
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_has_ended = true;
        m_has_changed.notify_all();
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;)
        {
            m_has_changed.wait(lock, [this] { return m_has_ended || !m_lines.empty(); });
            if (m_has_ended)
                return;
            const std::string line = std::move(m_lines.front()) + "\n";
            m_lines.pop_front();
            m_bytes -= line.size() - 1;
            m_is_writing = true;
            lock.unlock();
            const bool is_written = write_all(m_descriptor, line);
            lock.lock();
            m_is_writing = false;
            m_dropped += is_written ? 0 : 1;
            m_has_changed.notify_all();
        }
    }

  private:
    const int m_descriptor;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_has_changed;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0; ///< of the lines that wait
    std::uint64_t m_dropped = 0;
    bool m_has_begun = false;
    bool m_is_writing = false;
    bool m_has_ended = false;
};

line_writer::line_writer(int descriptor, std::size_t capacity)
    : m_state(std::make_shared<state>(descriptor, capacity))
{
}

line_writer::~line_writer()
{
    m_state->end();
}

void line_writer::push(std::string line)
{
    if (!m_state->push(std::move(line)))
        return;
    const blocked_signals blocked;
    std::thread([shared = m_state] { shared->run(); }).detach();
}

bool line_writer::flush(core::milliseconds limit)
{
    return m_state->flush(limit);
}

std::uint64_t line_writer::dropped() const
{
    return m_state->dropped();
}

} // namespace snipeplank::log
