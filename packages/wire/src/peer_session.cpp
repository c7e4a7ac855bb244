#include <snipeplank/core/hash.hpp>
#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/peer_session.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::wire
{

namespace
{

/// Maximum size of a hello, which limits the memory that an unauthenticated peer can occupy.
constexpr std::size_t max_hello_bytes = 4'096;
constexpr std::size_t nonce_bytes = 32;

constexpr const char* remedy_keys = "give both nodes a common entry in fleet_keys, and set "
                                    "peer_address to the address that peers dial";
constexpr const char* remedy_release = "run the same release on both nodes";
constexpr const char* remedy_retry =
    "the node reconnects automatically; check the peer and the link";

void fail(session_output& out, session_fault fault, core::error cause)
{
    out.failure = session_failure{fault, std::move(cause)};
}

session_fault fault_of(core::error_code code)
{
    switch (code)
    {
    case core::error_code::frame_too_large:
        return session_fault::too_large;
    case core::error_code::frame_wrong_version:
        return session_fault::wrong_version;
    case core::error_code::frame_unknown_message:
        return session_fault::unknown_message;
    default:
        return session_fault::unverified;
    }
}

/// Appends a field with its length, so that different lists of fields give different texts.
void append_field(std::string& text, const std::string& field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

peer_session::peer_session(session_role role, const peer_settings& settings, core::address dialed,
                           std::string nonce, core::time_point now)
    : m_role(role), m_settings(settings), m_dialed(std::move(dialed)), m_nonce(std::move(nonce)),
      m_reader(max_hello_bytes),
      m_phase(role == session_role::dialer ? phase::awaiting_challenge : phase::awaiting_proof),
      m_started(now), m_last_sent(now), m_last_received(now), m_busy_since(now),
      m_busy_until(now + settings.busy_time)
{
}

session_output peer_session::start()
{
    session_output out;
    if (m_role == session_role::listener)
    {
        hello challenge;
        challenge.nonce = m_nonce;
        out.bytes = encode(challenge).value();
    }
    return out;
}

session_output peer_session::on_bytes(std::string_view bytes, core::time_point now)
{
    session_output out;
    m_last_received = now;
    m_reader.append(bytes);
    while (!out.failure)
    {
        auto payload = m_reader.next();
        if (!payload)
        {
            const auto& why = payload.error();
            fail(out, fault_of(why.code), why);
            break;
        }
        if (!payload.value())
        {
            break;
        }
        on_frame(*payload.value(), now, out);
    }
    if (!out.bytes.empty())
    {
        m_last_sent = now;
    }
    return out;
}

void peer_session::on_sent(core::time_point now, bool is_of_call)
{
    m_last_sent = now;
    if (is_of_call)
    {
        on_frame_of_call(now);
    }
}

void peer_session::on_frame_of_call(core::time_point now)
{
    if (!is_busy(now))
    {
        m_busy_since = now;
    }
    m_busy_until = now + m_settings.busy_time;
}

void peer_session::on_frame(const std::string& payload, core::time_point now, session_output& out)
{
    auto decoded = decode(payload);
    if (!decoded)
    {
        const auto& why = decoded.error();
        fail(out, fault_of(why.code), why);
        return;
    }
    message& received = decoded.value();
    const bool is_hello = std::holds_alternative<hello>(received);
    if (is_hello == is_open())
    {
        fail(out, session_fault::unexpected,
             {core::error_code::frame_unknown_message,
              std::string("a frame of kind ") + std::string(kind_name(received)) +
                  (is_open() ? " came after the handshake" : " came before the handshake"),
              remedy_release});
        return;
    }
    if (is_hello)
    {
        on_hello(std::get<hello>(received), out);
        return;
    }
    if (!std::holds_alternative<heartbeat>(received))
    {
        if (!std::holds_alternative<fleet::gossip>(received))
        {
            on_frame_of_call(now);
        }
        out.received.push_back(std::move(received));
    }
}

void peer_session::on_hello(const hello& received, session_output& out)
{
    if (received.nonce.size() != nonce_bytes)
    {
        fail(out, session_fault::unauthenticated,
             {core::error_code::peer_unauthenticated, "the nonce of a hello does not have 32 bytes",
              remedy_release});
        return;
    }
    if (m_phase == phase::awaiting_challenge)
    {
        answer_challenge(received, out);
        return;
    }
    verify_proof(received, out);
}

void peer_session::answer_challenge(const hello& received, session_output& out)
{
    m_peer_nonce = received.nonce;
    m_phase = phase::awaiting_proof;
    out.bytes += encode(own_hello(m_settings.fleet_keys.front())).value();
}

void peer_session::verify_proof(const hello& received, session_output& out)
{
    if (m_role == session_role::listener)
    {
        m_peer_nonce = received.nonce;
    }
    const bool is_same_nonce = received.nonce == m_peer_nonce;
    const std::optional<std::string> key = find_matching_key(received);
    if (!key || !is_same_nonce)
    {
        fail(out, session_fault::unauthenticated,
             {core::error_code::peer_unauthenticated,
              "the proof of the peer matches none of this node's fleet keys", remedy_keys});
        return;
    }
    const bool is_expected = m_dialed.get().empty() || received.node.address == m_dialed;
    if (!is_expected || received.node == m_settings.self)
    {
        fail(out, session_fault::unauthenticated,
             {core::error_code::peer_unauthenticated,
              "the node at " + m_dialed.get() + " identifies itself as " +
                  received.node.address.get(),
              "set peer_address to the address that peers dial"});
        return;
    }
    m_peer = {received.node, received.region, received.zone};
    m_phase = phase::open;
    m_reader.set_limit(max_frame_bytes);
    out.has_opened = true;
    if (m_role == session_role::listener)
    {
        // While keys are rotated, this is the only key that the dialer is certain to have.
        out.bytes += encode(own_hello(*key)).value();
    }
}

hello peer_session::own_hello(const std::string& key) const
{
    hello own;
    own.node = m_settings.self;
    own.region = m_settings.region;
    own.zone = m_settings.zone;
    own.nonce = m_nonce;
    own.proof = proof(key, m_role, own);
    return own;
}

std::string peer_session::proof(const std::string& key, session_role prover,
                                const hello& claims) const
{
    // The role prevents reflection: a node's own proof is not valid as the proof of its peer.
    std::string text = prover == session_role::dialer ? "dialer" : "listener";
    // The dialed address prevents a peer from forwarding the proof to a third node.
    append_field(text, (m_role == session_role::dialer ? m_dialed : m_settings.self.address).get());
    append_field(text, m_role == session_role::dialer ? m_nonce : m_peer_nonce);
    append_field(text, m_role == session_role::dialer ? m_peer_nonce : m_nonce);
    append_field(text, std::to_string(claims.protocol));
    append_field(text, claims.node.address.get());
    append_field(text, std::to_string(claims.node.incarnation.get()));
    append_field(text, claims.region.get());
    append_field(text, claims.zone.get());
    return core::hmac_sha256_hex(key, text);
}

std::optional<std::string> peer_session::find_matching_key(const hello& received) const
{
    const session_role prover =
        m_role == session_role::dialer ? session_role::listener : session_role::dialer;
    for (const std::string& key : m_settings.fleet_keys)
    {
        if (core::equal_constant_time(proof(key, prover, received), received.proof))
        {
            return key;
        }
    }
    return std::nullopt;
}

session_output peer_session::on_closed() const
{
    session_output out;
    if (m_reader.is_inside_frame())
    {
        fail(out, session_fault::truncated,
             {core::error_code::connection_closed, "the peer closed the connection inside a frame",
              remedy_retry});
        return out;
    }
    fail(out, session_fault::closed,
         {core::error_code::connection_closed, "the peer closed the connection", remedy_retry});
    return out;
}

session_output peer_session::on_timer(core::time_point now)
{
    session_output out;
    if (!is_open())
    {
        if (now - m_started >= m_settings.handshake_timeout)
        {
            fail(out, session_fault::handshake_timeout,
                 {core::error_code::connection_failed,
                  "the handshake did not complete within the handshake timeout", remedy_retry});
        }
        return out;
    }
    if (now >= silent_at())
    {
        fail(out, session_fault::silent,
             {core::error_code::peer_silent,
              "no data was received from " + m_peer.node.address.get() +
                  " within the silence timeout",
              remedy_retry});
        return out;
    }
    if (now >= heartbeat_due())
    {
        out.bytes = encode(heartbeat{}).value();
        m_last_sent = now;
    }
    return out;
}

/// While calls use the connection, heartbeats are frequent, so that its silence is noticed soon.
core::time_point peer_session::heartbeat_due() const
{
    const core::time_point due = m_last_sent + m_settings.heartbeat_interval;
    return due <= m_busy_until ? due : m_last_sent + m_settings.idle_heartbeat_interval;
}

/// The peer may have sent its heartbeats as on an idle connection until calls began.
core::time_point peer_session::silent_at() const
{
    const core::time_point idle_limit =
        m_last_received + m_settings.idle_heartbeat_interval + m_settings.silence_timeout;
    const core::time_point busy_limit =
        std::max(m_last_received, m_busy_since) + m_settings.silence_timeout;
    return busy_limit <= m_busy_until ? std::min(busy_limit, idle_limit) : idle_limit;
}

core::time_point peer_session::due_at() const
{
    if (!is_open())
    {
        return m_started + m_settings.handshake_timeout;
    }
    return std::min(heartbeat_due(), silent_at());
}

} // namespace snipeplank::wire
