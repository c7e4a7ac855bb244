/// @file
/// Hands messages and requests from any thread to the I/O thread.

#ifndef SNIPEPLANK_WIRE_SRC_MAILBOX_HPP
#define SNIPEPLANK_WIRE_SRC_MAILBOX_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "socket.hpp"

namespace snipeplank::wire
{

/// @brief A frame for an address, and for one incarnation there if it is named.
struct outgoing
{
    core::address to;
    std::optional<core::incarnation> only;
    std::string frame;
};

/// @brief What was put in since the last time.
struct mail
{
    std::vector<outgoing> frames;
    std::optional<std::vector<std::string>> fleet_keys;
    bool is_stopped = false;
};

/// @brief Thread-safe; bounded in bytes.
class mailbox
{
  public:
    mailbox();

    /// @brief Adds a frame; false when the bound is reached or the mailbox is stopped.
    bool put(outgoing frame);

    void put_keys(std::vector<std::string> keys);
    void stop();

    /// @brief Takes everything. Called by the I/O thread.
    mail take();

    /// @brief Readable when there is something to take.
    int wake_fd() const { return m_wake.get(); }

    void set_connected(std::vector<peer_identity> peers);
    std::vector<peer_identity> connected() const;

  private:
    void wake() const;

    mutable std::mutex m_mutex;
    mail m_mail;
    std::size_t m_bytes = 0;
    std::vector<peer_identity> m_connected;
    unique_fd m_wake;
};

} // namespace snipeplank::wire

#endif
