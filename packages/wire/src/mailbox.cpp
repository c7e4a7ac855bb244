#include "mailbox.hpp"

#include <sys/eventfd.h>

#include <unistd.h>

#include <cstdint>

namespace snipeplank::wire
{

namespace
{

/// The I/O thread empties the mailbox in every iteration, so it fills up only while a handler
/// blocks that thread.
constexpr std::size_t max_queued_bytes = 67'108'864;

} // namespace

mailbox::mailbox() : m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

bool mailbox::put(outgoing_frame frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_contents.is_stopped)
    {
        return false;
    }
    if (m_bytes + frame.frame.size() > max_queued_bytes)
    {
        if (frame.required.get() != 0)
        {
            m_contents.incomplete.insert(frame.required);
        }
        return false;
    }
    m_bytes += frame.frame.size();
    m_contents.frames.push_back(std::move(frame));
    if (m_contents.frames.size() == 1)
    {
        wake();
    }
    return true;
}

void mailbox::put_keys(std::vector<std::string> keys)
{
    const std::lock_guard lock(m_mutex);
    m_contents.fleet_keys = std::move(keys);
    wake();
}

void mailbox::stop()
{
    const std::lock_guard lock(m_mutex);
    m_contents.is_stopped = true;
    wake();
}

mailbox_contents mailbox::take()
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t read_bytes = ::read(m_wake.get(), &count, sizeof(count));
    mailbox_contents taken;
    taken.frames.swap(m_contents.frames);
    taken.incomplete.swap(m_contents.incomplete);
    taken.fleet_keys.swap(m_contents.fleet_keys);
    taken.is_stopped = m_contents.is_stopped;
    m_bytes = 0;
    return taken;
}

void mailbox::set_unsent(connection_number connection, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    if (bytes > 0)
    {
        m_unsent[connection] = bytes;
    }
    else
    {
        m_unsent.erase(connection);
    }
}

std::size_t mailbox::unsent(connection_number connection) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_unsent.find(connection);
    return found == m_unsent.end() ? 0 : found->second;
}

void mailbox::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wake.get(), &one, sizeof(one));
}

void mailbox::set_connected(std::vector<peer_identity> peers)
{
    const std::lock_guard lock(m_mutex);
    m_connected = std::move(peers);
}

std::vector<peer_identity> mailbox::connected() const
{
    const std::lock_guard lock(m_mutex);
    return m_connected;
}

} // namespace snipeplank::wire
