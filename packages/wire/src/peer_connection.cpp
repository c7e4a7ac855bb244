#include "peer_connection.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <iterator>
#include <utility>

namespace snipeplank::wire
{

void peer_connection::queue(std::string_view bytes)
{
    m_queue.append(bytes);
}

bool peer_connection::finish_connecting()
{
    return !std::exchange(m_is_connecting, false) || is_connected(m_fd.get());
}

bool peer_connection::write_some()
{
    while (!m_is_connecting && queued() > 0)
    {
        const ssize_t count =
            ::send(m_fd.get(), m_queue.data() + m_written, queued(), MSG_NOSIGNAL);
        if (count < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        m_written += static_cast<std::size_t>(count);
        m_counters.add(&peer_counters::bytes_sent, static_cast<std::uint64_t>(count));
    }
    constexpr std::size_t compaction_threshold = 65'536;
    if (m_written == m_queue.size() || m_written > compaction_threshold)
    {
        m_queue.erase(0, m_written);
        m_written = 0;
    }
    return true;
}

session_output peer_connection::read_some(const clock& time)
{
    constexpr std::size_t read_bytes = 65'536;
    constexpr int max_reads_per_event = 4;
    std::array<char, read_bytes> buffer;
    session_output all;
    for (int i = 0; i < max_reads_per_event && !all.failure; ++i)
    {
        const ssize_t count = ::recv(m_fd.get(), buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
        {
            break;
        }
        if (count <= 0)
        {
            all.failure = m_session.on_closed().failure;
            break;
        }
        m_counters.add(&peer_counters::bytes_received, static_cast<std::uint64_t>(count));
        session_output one =
            m_session.on_bytes({buffer.data(), static_cast<std::size_t>(count)}, time.now());
        all.bytes += one.bytes;
        all.has_opened = all.has_opened || one.has_opened;
        all.failure = std::move(one.failure);
        std::move(one.received.begin(), one.received.end(), std::back_inserter(all.received));
    }
    return all;
}

} // namespace snipeplank::wire
