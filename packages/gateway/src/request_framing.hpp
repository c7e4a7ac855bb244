/// @file
/// Limits the parts of requests that the HTTP library would keep whatever their size.

#ifndef SNIPEPLANK_GATEWAY_SRC_REQUEST_FRAMING_HPP
#define SNIPEPLANK_GATEWAY_SRC_REQUEST_FRAMING_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "framing_parser.hpp"

namespace snipeplank::gateway
{

/// @brief Follows the bytes of the requests on one connection.
///
/// cpp-httplib keeps a head, a chunk size or trailers of any length. It reads some requests that
/// are not well-formed; after one, only a limited number of bytes may follow.
class request_framing
{
  public:
    /// @param max_body what may arrive of the body of a request, in bytes; a declared length alone
    /// is left to the server, which answers it
    explicit request_framing(std::uint64_t max_body);

    /// @brief Adds bytes in the order in which they arrive. O(n).
    /// @return false if a part of a request is too large
    bool add(std::string_view bytes);

  private:
    void start_request();
    void parse();

    std::uint64_t m_max_body;
    std::unique_ptr<framing_parser<true>> m_parser;
    std::string m_pending; ///< bytes that the parser could not read yet
    bool m_is_too_large = false;
    bool m_is_malformed = false;
    std::size_t m_after_malformed = 0; ///< bytes
};

} // namespace snipeplank::gateway

#endif
