/// @file
/// Protocol of one connection between two nodes, without I/O: handshake, heartbeats, timeouts.
///
/// Mutual authentication by challenge and response:
/// 1. listener: hello with a nonce only
/// 2. dialer: hello with its identity, its nonce and an HMAC over its role, the dialed
///    address, both nonces and the identity
/// 3. listener: hello with the same fields, sent only after it accepted the proof of the dialer
///
/// An unauthenticated peer therefore receives only the protocol version and a nonce. A recorded
/// proof cannot be replayed, because each connection has new nonces.

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

/// @brief Why a connection is closed. Each value has a counter in `peer_counters`.
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

/// @brief A fault and the error that describes it.
struct session_failure
{
    session_fault fault = session_fault::closed;
    core::error cause;
};

/// @brief Actions that the owner of the connection takes after an event.
struct session_output
{
    std::string bytes;                      ///< write to the socket
    std::vector<message> received;          ///< deliver; the peer is authenticated
    bool has_opened = false;                ///< the peer has just been authenticated
    std::optional<session_failure> failure; ///< close the connection
};

/// @brief State machine of one connection: consumes bytes and time, produces bytes and messages.
class peer_session
{
  public:
    /// @param dialed address that the dialer connects to; empty for a listener
    /// @param nonce 32 random bytes, new for each connection
    /// @param settings must outlive the session
    peer_session(session_role role, const peer_settings& settings, core::address dialed,
                 std::string nonce, core::time_point now);

    /// @brief Starts the handshake. A listener sends its challenge, a dialer waits for it.
    session_output start();

    session_output on_bytes(std::string_view bytes, core::time_point now);

    /// @brief The peer closed the connection.
    session_output on_closed() const;

    /// @brief Sends a heartbeat or fails with a timeout, when due.
    session_output on_timer(core::time_point now);

    /// @brief Records that a frame was queued, which postpones the next heartbeat.
    /// @param is_of_call whether the frame belongs to a call, so that somebody waits for the peer
    void on_sent(core::time_point now, bool is_of_call);

    /// @brief When `on_timer` is due next.
    core::time_point due_at() const;

    bool is_open() const { return m_phase == phase::open; }

    /// @brief Identity of the peer; valid once the session is open.
    const peer_identity& peer() const { return m_peer; }

  private:
    enum class phase
    {
        awaiting_challenge,
        awaiting_proof,
        open,
    };

    void on_frame(const std::string& payload, core::time_point now, session_output& out);
    void on_frame_of_call(core::time_point now);
    bool is_busy(core::time_point now) const { return now < m_busy_until; }
    core::time_point heartbeat_due() const;
    core::time_point silent_at() const;
    void on_hello(const hello& received, session_output& out);
    void answer_challenge(const hello& received, session_output& out);
    void verify_proof(const hello& received, session_output& out);
    hello own_hello(const std::string& key) const;
    std::string proof(const std::string& key, session_role prover, const hello& claims) const;
    std::optional<std::string> find_matching_key(const hello& received) const;

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
    core::time_point m_busy_since; ///< silence before calls were sent is judged as on an idle one
    core::time_point m_busy_until;
};

} // namespace snipeplank::wire

#endif
