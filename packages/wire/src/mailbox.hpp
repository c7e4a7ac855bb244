/// @file
/// Queue of frames and requests from any thread to the I/O thread.

#ifndef SNIPEPLANK_WIRE_SRC_MAILBOX_HPP
#define SNIPEPLANK_WIRE_SRC_MAILBOX_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "socket.hpp"

namespace snipeplank::wire
{

/// @brief What becomes of a frame that finds the write queue full.
enum class frame_kind
{
    other,       ///< closes the connection, since the peer waits for it
    load_report, ///< is dropped; a later report replaces it
    call,        ///< is dropped and reported, so that the call can go elsewhere
};

/// @brief A frame for an address, optionally restricted to one incarnation there.
struct outgoing_frame
{
    core::address to;
    std::optional<core::incarnation> required_incarnation;
    std::string frame;
    frame_kind kind = frame_kind::other;
    core::call_number number{};   ///< of a call
    connection_number required{}; ///< the only connection that may carry the frame, if set
};

/// @brief Frames and requests that were added since the last `take`.
struct mailbox_contents
{
    std::vector<outgoing_frame> frames;
    std::set<connection_number> incomplete; ///< connections whose frames were not taken
    std::optional<std::vector<std::string>> fleet_keys;
    bool is_stopped = false;
};

/// @brief Thread-safe queue, limited in bytes.
class mailbox
{
  public:
    mailbox();

    /// @brief Adds a frame. Returns false when the mailbox is full or stopped. A full mailbox
    /// remembers the connection that the frame required: the peer waits for the frame.
    bool put(outgoing_frame frame);

    void put_keys(std::vector<std::string> keys);
    void stop();

    /// @brief Removes and returns the contents. Called by the I/O thread.
    mailbox_contents take();

    /// @brief Event descriptor that is readable when the mailbox has new contents.
    int wake_fd() const { return m_wake.get(); }

    /// @brief Records the bytes that wait to be written on a connection.
    void set_unsent(connection_number connection, std::size_t bytes);
    std::size_t unsent(connection_number connection) const;

    void set_connected(std::vector<peer_identity> peers);
    std::vector<peer_identity> connected() const;

  private:
    void wake() const;

    mutable std::mutex m_mutex;
    mailbox_contents m_contents;
    std::size_t m_bytes = 0;
    std::vector<peer_identity> m_connected;
    std::map<connection_number, std::size_t> m_unsent; ///< of the connections with much to write
    unique_fd m_wake;
};

} // namespace snipeplank::wire

#endif
