#include <snipeplank/settings/address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstring>
#include <string>

namespace snipeplank::settings
{

namespace
{

constexpr const char* address_remedy =
    "write IP:port with a port of 1 to 65535, for example 127.0.0.1:9100 or [::1]:9100";

/// Canonical form of an IP address, or an empty string when it is invalid or unspecified.
std::string canonical_ip(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    std::array<char, INET6_ADDRSTRLEN> printed{};
    // inet_pton stops at a NUL byte and would ignore the text after it.
    if (text.find('\0') != std::string::npos || inet_pton(family, text.c_str(), parsed.data()) != 1)
    {
        return {};
    }
    if (parsed == std::array<unsigned char, sizeof(in6_addr)>{})
    {
        return {};
    }
    inet_ntop(family, parsed.data(), printed.data(), printed.size());
    return printed.data();
}

/// Port number, or 0 when the text is not a valid port.
unsigned parse_port(const std::string& text)
{
    unsigned short port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, port);
    return status == std::errc{} && stop == end ? port : 0;
}

} // namespace

core::result<core::address> parse_address(const std::string& text)
{
    const auto make_failure = [&text]
    {
        return core::fail(core::error_code::invalid_address, "\"" + text + "\" is not IP:port",
                          address_remedy);
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return make_failure();
    }
    const unsigned port = parse_port(text.substr(colon + 1));
    const bool bracketed = text.front() == '[' && text[colon - 1] == ']' && colon >= 2;
    const std::string ip = bracketed ? canonical_ip(AF_INET6, text.substr(1, colon - 2))
                                     : canonical_ip(AF_INET, text.substr(0, colon));
    if (port == 0 || ip.empty())
    {
        return make_failure();
    }
    return core::address{(bracketed ? "[" + ip + "]" : ip) + ":" + std::to_string(port)};
}

} // namespace snipeplank::settings
