/// @file
/// Tickets: names of calls that may run at most once.

#ifndef SNIPEPLANK_POLICY_TICKET_HPP
#define SNIPEPLANK_POLICY_TICKET_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace snipeplank::policy
{

/// The ticket's signature. It cannot be guessed, so it also guards the stored outcome where the
/// signing key is not known.
using ticket_id = core::strong_type<std::string, struct ticket_id_tag>;

/// @brief What a ticket says.
struct ticket
{
    core::node_id issuer;
    core::service_id service;
    std::uint64_t number = 0;         ///< random, unique within the issuer
    core::milliseconds expires_at{0}; ///< on the issuer's monotonic clock; meaningless elsewhere
    ticket_id id;                     ///< the signature
};

/// @brief Reads a ticket without checking its signature.
///
/// The text consists of URL-safe fields in lower-case hexadecimal, so it fits a header and a path.
/// Only the canonical spelling is accepted.
/// @return the ticket, or `ticket_malformed`
/// O(n). @code auto parsed = parse_ticket(idempotency_key); @endcode
core::result<ticket> parse_ticket(std::string_view text);

/// @brief The secret of one incarnation that signs its tickets with HMAC-SHA256.
class ticket_signer
{
  public:
    explicit ticket_signer(std::string secret) : m_secret(std::move(secret)) {}

    /// @brief Text of the signed ticket; `contents.id` is ignored.
    std::string sign(const ticket& contents) const;

    /// @brief Parses and checks the signature, not the issuer or the expiry.
    /// @return the ticket, `ticket_malformed` or `ticket_bad_signature`
    core::result<ticket> verify(std::string_view text) const;

  private:
    std::string m_secret;
};

} // namespace snipeplank::policy

#endif
