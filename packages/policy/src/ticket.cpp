#include <snipeplank/core/hash.hpp>
#include <snipeplank/policy/ticket.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace snipeplank::policy
{

namespace
{

// tk1~ADDRESS~INCARNATION~NUMBER~EXPIRY~SERVICE~SIGNATURE
constexpr std::string_view format_name = "tk1";
constexpr char separator = '~';
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t number_digits = 16;
constexpr std::size_t signature_digits = 64;
constexpr std::size_t field_count = 7;
constexpr std::size_t max_text_length = 1'024;

std::string to_hex(std::string_view text)
{
    std::string hex;
    for (const char byte : text)
    {
        const auto value = static_cast<unsigned char>(byte);
        hex += digits[value / digits.size()];
        hex += digits[value % digits.size()];
    }
    return hex;
}

std::string to_hex(std::uint64_t value)
{
    std::string hex(number_digits, '0');
    for (std::size_t i = number_digits; i > 0; --i)
    {
        hex[i - 1] = digits[value % digits.size()];
        value /= digits.size();
    }
    return hex;
}

bool is_hex(std::string_view text)
{
    return text.find_first_not_of(digits) == std::string_view::npos;
}

std::optional<std::uint64_t> number_from_hex(std::string_view hex)
{
    if (hex.size() != number_digits || !is_hex(hex))
    {
        return std::nullopt;
    }
    constexpr int base = 16;
    std::uint64_t value = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), value, base);
    return value;
}

std::optional<std::string> text_from_hex(std::string_view hex)
{
    if (hex.empty() || hex.size() % 2 != 0 || !is_hex(hex))
    {
        return std::nullopt;
    }
    std::string text;
    for (std::size_t i = 0; i < hex.size(); i += 2)
    {
        const std::size_t value = digits.find(hex[i]) * digits.size() + digits.find(hex[i + 1]);
        text += static_cast<char>(value);
    }
    return text;
}

std::optional<std::array<std::string_view, field_count>> split(std::string_view text)
{
    std::array<std::string_view, field_count> fields;
    for (std::size_t i = 0; i + 1 < field_count; ++i)
    {
        const std::size_t end = text.find(separator);
        if (end == std::string_view::npos)
        {
            return std::nullopt;
        }
        fields[i] = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    fields[field_count - 1] = text;
    return fields;
}

std::string signed_part(const ticket& contents)
{
    std::string text(format_name);
    text += separator + to_hex(contents.issuer.address.get());
    text += separator + to_hex(contents.issuer.incarnation.get());
    text += separator + to_hex(contents.number);
    text += separator + to_hex(static_cast<std::uint64_t>(contents.expires_at.count()));
    text += separator + to_hex(contents.service.get());
    return text;
}

auto malformed()
{
    return core::fail(core::error_code::ticket_malformed, "the key is not a ticket",
                      "get a ticket with POST /v1/tickets and send it unchanged");
}

} // namespace

core::result<ticket> parse_ticket(std::string_view text)
{
    const auto fields = split(text.substr(0, max_text_length + 1));
    if (text.size() > max_text_length || !fields || fields->front() != format_name)
    {
        return malformed();
    }
    const auto [name, address, incarnation, number, expiry, service, signature] = *fields;
    const auto address_text = text_from_hex(address);
    const auto incarnation_value = number_from_hex(incarnation);
    const auto number_value = number_from_hex(number);
    const auto expiry_value = number_from_hex(expiry);
    const auto service_text = text_from_hex(service);
    const bool is_signed = signature.size() == signature_digits && is_hex(signature);
    constexpr std::uint64_t max_expiry = std::uint64_t{1} << 53;
    if (!address_text || !incarnation_value || !number_value || !expiry_value || !service_text ||
        !is_signed || *expiry_value > max_expiry)
    {
        return malformed();
    }
    ticket parsed;
    parsed.issuer = {core::address{*address_text}, core::incarnation{*incarnation_value}};
    parsed.service = core::service_id{*service_text};
    parsed.number = *number_value;
    parsed.expires_at = core::milliseconds(static_cast<std::int64_t>(*expiry_value));
    parsed.id = ticket_id{std::string(signature)};
    return parsed;
}

std::string ticket_signer::sign(const ticket& contents) const
{
    const std::string text = signed_part(contents);
    return text + separator + core::hmac_sha256_hex(m_secret, text);
}

core::result<ticket> ticket_signer::verify(std::string_view text) const
{
    core::result<ticket> parsed = parse_ticket(text);
    if (!parsed)
    {
        return parsed;
    }
    const std::string expected = core::hmac_sha256_hex(m_secret, signed_part(parsed.value()));
    if (!core::equal_constant_time(expected, parsed.value().id.get()))
    {
        return core::fail(core::error_code::ticket_bad_signature,
                          "the ticket was not signed by this node",
                          "get a ticket with POST /v1/tickets and send it unchanged");
    }
    return parsed;
}

} // namespace snipeplank::policy
