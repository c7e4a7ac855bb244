#include <snipeplank/gateway/answer_stream.hpp>

#include <utility>

namespace snipeplank::gateway
{

answer_stream::answer_stream(std::shared_ptr<stream_signal> signal) : m_signal(std::move(signal)) {}

answer_stream::~answer_stream()
{
    if (m_offered)
        m_offered->remove(m_queued_bytes);
}

void answer_stream::put_head(answer_head head)
{
    const std::lock_guard lock(m_signal->mutex);
    m_head = std::move(head);
    m_signal->changed.notify_all();
}

bool answer_stream::put_chunk(std::string chunk)
{
    std::unique_lock lock(m_signal->mutex);
    m_signal->changed.wait(lock,
                           [&] { return m_is_cancelled || m_queued_bytes < max_queued_bytes; });
    if (m_is_cancelled)
        return false;
    m_queued_bytes += chunk.size();
    m_chunks.push_back(std::move(chunk));
    m_signal->changed.notify_all();
    return true;
}

bool answer_stream::try_put_chunk(std::string chunk)
{
    const std::lock_guard lock(m_signal->mutex);
    const std::size_t queued = m_queued_bytes + chunk.size();
    const bool is_over_part = m_offered && m_offered->is_full() && queued > max_queued_bytes;
    if (m_is_cancelled || queued > max_offered_bytes || is_over_part)
        return false;
    m_queued_bytes = queued;
    if (m_offered)
        m_offered->add(chunk.size());
    m_chunks.push_back(std::move(chunk));
    m_signal->changed.notify_all();
    return true;
}

void answer_stream::count_with(std::shared_ptr<offered_bytes> all)
{
    const std::lock_guard lock(m_signal->mutex);
    m_offered = std::move(all);
}

void answer_stream::finish()
{
    const std::lock_guard lock(m_signal->mutex);
    m_is_finished = true;
    m_on_cancel = nullptr;
    m_signal->changed.notify_all();
}

void answer_stream::fail(attempt_failure failure)
{
    const std::lock_guard lock(m_signal->mutex);
    m_failure = std::move(failure);
    m_on_cancel = nullptr;
    m_signal->changed.notify_all();
}

void answer_stream::on_cancel(std::function<void()> action)
{
    const std::lock_guard lock(m_signal->mutex);
    m_on_cancel = std::move(action);
    if (m_is_cancelled && m_on_cancel)
        m_on_cancel();
}

bool answer_stream::is_cancelled() const
{
    const std::lock_guard lock(m_signal->mutex);
    return m_is_cancelled;
}

answer_stream::state answer_stream::current_state() const
{
    const std::lock_guard lock(m_signal->mutex);
    if (m_failure)
        return state::failed;
    if (m_is_finished)
        return state::finished;
    return m_head ? state::streaming : state::waiting;
}

bool answer_stream::has_head() const
{
    const std::lock_guard lock(m_signal->mutex);
    return m_head.has_value();
}

bool answer_stream::has_head_or_failure() const
{
    return m_head.has_value() || m_failure.has_value() || m_is_finished;
}

std::optional<std::string> answer_stream::next(core::duration limit)
{
    std::unique_lock lock(m_signal->mutex);
    m_signal->changed.wait_for(
        lock, limit, [&] { return !m_chunks.empty() || m_failure.has_value() || m_is_finished; });
    if (m_chunks.empty())
        return std::nullopt;
    std::string chunk = std::move(m_chunks.front());
    m_chunks.pop_front();
    m_queued_bytes -= chunk.size();
    if (m_offered)
        m_offered->remove(chunk.size());
    m_signal->changed.notify_all();
    return chunk;
}

attempt_failure answer_stream::failure() const
{
    const std::lock_guard lock(m_signal->mutex);
    return *m_failure;
}

bool answer_stream::is_drained() const
{
    const std::lock_guard lock(m_signal->mutex);
    return m_is_finished && m_chunks.empty();
}

void answer_stream::interrupt()
{
    const std::lock_guard lock(m_signal->mutex);
    if (m_on_cancel)
        m_on_cancel();
}

void answer_stream::cancel()
{
    const std::lock_guard lock(m_signal->mutex);
    m_is_cancelled = true;
    if (m_on_cancel)
        m_on_cancel();
    m_signal->changed.notify_all();
}

} // namespace snipeplank::gateway
