/// @file
/// A socket with its protocol session and write queue.

#ifndef SNIPEPLANK_WIRE_SRC_PEER_CONNECTION_HPP
#define SNIPEPLANK_WIRE_SRC_PEER_CONNECTION_HPP

#include <snipeplank/wire/peer_session.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "counter_set.hpp"
#include "socket.hpp"

namespace snipeplank::wire
{

/// @brief One connection; used only by the I/O thread.
class peer_connection
{
  public:
    peer_connection(unique_fd fd, session_role role, core::address remote, peer_session session,
                    counter_set& counters)
        : m_fd(std::move(fd)), m_role(role), m_remote(std::move(remote)),
          m_session(std::move(session)), m_counters(counters),
          m_is_connecting(role == session_role::dialer)
    {
    }

    int fd() const { return m_fd.get(); }
    session_role role() const { return m_role; }
    const core::address& remote() const { return m_remote; }
    peer_session& session() { return m_session; }
    const peer_session& session() const { return m_session; }

    /// @brief Whether to poll the socket for writability.
    bool wants_write() const { return m_is_connecting || queued() > 0; }

    std::size_t queued() const { return m_queue.size() - m_written; }

    void queue(std::string_view bytes);

    /// @brief Completes a pending connect. Returns false when it failed.
    bool finish_connecting();

    /// @brief Writes until the socket would block. Returns false when the connection is broken.
    bool write_some();

    /// @brief Reads available data and passes it to the session. The number of reads is limited, so
    /// that one peer cannot starve the others.
    session_output read_some(const clock& time);

  private:
    unique_fd m_fd;
    session_role m_role;
    core::address m_remote;
    peer_session m_session;
    counter_set& m_counters;
    bool m_is_connecting;
    std::string m_queue;
    std::size_t m_written = 0;
};

} // namespace snipeplank::wire

#endif
