/// @file
/// Thread-safe counters of a peer network.

#ifndef SNIPEPLANK_WIRE_SRC_COUNTER_SET_HPP
#define SNIPEPLANK_WIRE_SRC_COUNTER_SET_HPP

#include <snipeplank/wire/peer_network.hpp>
#include <snipeplank/wire/peer_session.hpp>

#include <cstdint>
#include <mutex>

namespace snipeplank::wire
{

/// @brief `peer_counters` guarded by a mutex.
class counter_set
{
  public:
    using counter = std::uint64_t peer_counters::*;

    void add(counter which, std::uint64_t amount = 1)
    {
        const std::lock_guard lock(m_mutex);
        m_counters.*which += amount;
    }

    peer_counters read() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

  private:
    mutable std::mutex m_mutex;
    peer_counters m_counters;
};

/// @brief The counter of a fault. `connections_closed` counts every closed connection in addition.
inline counter_set::counter counter_of(session_fault fault)
{
    switch (fault)
    {
    case session_fault::truncated:
        return &peer_counters::frame_truncated;
    case session_fault::too_large:
        return &peer_counters::frame_too_large;
    case session_fault::unverified:
        return &peer_counters::frame_unverified;
    case session_fault::wrong_version:
        return &peer_counters::frame_wrong_version;
    case session_fault::unknown_message:
        return &peer_counters::frame_unknown_message;
    case session_fault::unexpected:
        return &peer_counters::frame_unexpected;
    case session_fault::unauthenticated:
        return &peer_counters::peer_unauthenticated;
    case session_fault::silent:
        return &peer_counters::peer_silent;
    case session_fault::handshake_timeout:
        return &peer_counters::handshake_timeout;
    case session_fault::closed:
        break;
    }
    return &peer_counters::closed_by_peer;
}

} // namespace snipeplank::wire

#endif
