/// @file
/// Tickets, which identify calls that run at most once.

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

/// The ticket's signature. It cannot be guessed, so it also protects the stored outcome on the
/// successor, which does not have the signing key.
using ticket_id = core::strong_type<std::string, struct ticket_id_tag>;

/// @brief Contents of a ticket. Its issuer, the node that issued it, decides whether it may run.
struct ticket
{
    core::node_id issuer;
    core::service_id service;
    std::uint64_t number = 0;         ///< random, unique within the issuer
    core::milliseconds expires_at{0}; ///< on the issuer's monotonic clock; not valid on other nodes
    ticket_id id;                     ///< the signature
};

/// @brief Parses a ticket without checking its signature. O(n).
///
/// The text consists of URL-safe fields in lower-case hexadecimal, so it is valid in a header and
/// in a path. Only the canonical form is accepted.
/// @return the ticket, or `ticket_malformed`
/// @code auto parsed = parse_ticket(idempotency_key); @endcode
core::result<ticket> parse_ticket(std::string_view text);

/// @brief Signs and verifies the tickets of one incarnation with HMAC-SHA256.
class ticket_signer
{
  public:
    explicit ticket_signer(std::string secret) : m_secret(std::move(secret)) {}

    /// @brief Returns the text of the signed ticket; `contents.id` is ignored.
    std::string sign(const ticket& contents) const;

    /// @brief Parses and checks the signature, not the issuer or the expiry.
    /// @return the ticket, `ticket_malformed` or `ticket_bad_signature`
    core::result<ticket> verify(std::string_view text) const;

  private:
    std::string m_secret;
};

} // namespace snipeplank::policy

#endif
