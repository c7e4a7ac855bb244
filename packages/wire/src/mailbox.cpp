#include "mailbox.hpp"

#include <sys/eventfd.h>

#include <unistd.h>

#include <cstdint>

namespace snipeplank::wire
{

namespace
{

/// The I/O thread empties the mailbox in each turn, so this is reached only when it is held up.
constexpr std::size_t most_bytes = 67'108'864;

} // namespace

mailbox::mailbox() : m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

bool mailbox::put(outgoing frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_mail.is_stopped || m_bytes + frame.frame.size() > most_bytes)
    {
        return false;
    }
    m_bytes += frame.frame.size();
    m_mail.frames.push_back(std::move(frame));
    if (m_mail.frames.size() == 1)
    {
        wake();
    }
    return true;
}

void mailbox::put_keys(std::vector<std::string> keys)
{
    const std::lock_guard lock(m_mutex);
    m_mail.fleet_keys = std::move(keys);
    wake();
}

void mailbox::stop()
{
    const std::lock_guard lock(m_mutex);
    m_mail.is_stopped = true;
    wake();
}

mail mailbox::take()
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t read_bytes = ::read(m_wake.get(), &count, sizeof(count));
    mail taken;
    taken.frames.swap(m_mail.frames);
    taken.fleet_keys.swap(m_mail.fleet_keys);
    taken.is_stopped = m_mail.is_stopped;
    m_bytes = 0;
    return taken;
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
