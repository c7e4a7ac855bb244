/// @file
/// One connection between two nodes as a pure state machine: handshake, heartbeats, silence.
///
/// The handshake, with the listener's challenge first:
/// 1. listener: hello with a nonce and nothing else
/// 2. dialer: hello with its identity, its nonce and an HMAC over both nonces, the dialed address
/// and
///    the identity
/// 3. listener: the same for itself, only after the dialer's proof was accepted
///
/// A stranger thus learns the protocol version and a random number, and a recorded proof is of no
/// use, since each connection has its own nonces.

#ifndef SNIPEPLANK_WIRE_PEER_SESSION_HPP
#define SNIPEPLANK_WIRE_PEER_SESSION_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/wire/framing.hpp>
#include <snipeplank/wire/messages.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::wire
{

enum class session_role
{
    dialer,
    listener,
};

/// @brief Why a connection is closed; one counter each.
enum class session_fault
{
    closed, ///< by the peer, between two frames
    truncated,
    too_large,
    unverified,
    wrong_version,
    unknown_message,
    unexpected,
    unauthenticated,
    silent,
    handshake_timeout,
};

/// @brief A fault and its description.
struct session_failure
{
    session_fault fault = session_fault::closed;
    core::error cause;
};

/// @brief What to do after an event.
struct session_output
{
    std::string bytes;                      ///< to write
    std::vector<message> received;          ///< to deliver; whole and from an authenticated peer
    bool has_opened = false;                ///< the peer has just proven its identity
    std::optional<session_failure> failure; ///< close the connection
};

/// @brief State of one connection. Bytes and time in, bytes and messages out.
class peer_session
{
  public:
    /// @param dialed address that a dialer expects to reach; empty for a listener
    /// @param nonce 32 random bytes, never used before
    /// @param settings outlives the session
    peer_session(session_role role, const peer_settings& settings, core::address dialed,
                 std::string nonce, core::time_point now);

    /// @brief The first bytes to write.
    session_output start();

    session_output on_bytes(std::string_view bytes, core::time_point now);

    /// @brief The peer closed the connection.
    session_output on_closed() const;

    /// @brief Sends a heartbeat or gives up, when due.
    session_output on_time(core::time_point now);

    /// @brief Notes that a frame was written, which makes a heartbeat unnecessary.
    void on_sent(core::time_point now) { m_last_sent = now; }

    /// @brief When `on_time` is due next.
    core::time_point due_at() const;

    bool is_open() const { return m_phase == phase::open; }

    /// @brief Who is at the other end; valid once the session is open.
    const peer_identity& peer() const { return m_peer; }

  private:
    enum class phase
    {
        awaiting_challenge,
        awaiting_proof,
        open,
    };

    void on_frame(const std::string& payload, session_output& out);
    void on_hello(const hello& received, session_output& out);
    void answer_challenge(const hello& received, session_output& out);
    void check_proof(const hello& received, session_output& out);
    hello own_hello(const std::string& key) const;
    std::string proof(const std::string& key, session_role prover, const hello& claims) const;
    std::optional<std::string> key_of_proof(const hello& received) const;

    session_role m_role;
    const peer_settings& m_settings;
    core::address m_dialed;
    std::string m_nonce;
    std::string m_peer_nonce;
    frame_reader m_reader;
    phase m_phase;
    peer_identity m_peer;
    core::time_point m_started;
    core::time_point m_last_sent;
    core::time_point m_last_received;
};

} // namespace snipeplank::wire

#endif
