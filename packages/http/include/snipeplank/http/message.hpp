/// @file
/// Heads of HTTP/1.1 messages as plain values.

#ifndef SNIPEPLANK_HTTP_MESSAGE_HPP
#define SNIPEPLANK_HTTP_MESSAGE_HPP

#include <snipeplank/core/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeplank::http
{

/// Header fields in the order of the message; names keep their spelling.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Request line and header fields.
struct request_head
{
    std::string method;
    std::string target; ///< path and query, byte for byte; see `request_target` for composed ones
    header_list headers;
};

/// @brief Status line and header fields.
struct response_head
{
    int status = 0;
    header_list headers;
};

/// @brief Value of the first field with this name, or nothing. O(fields).
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

/// @brief Whether two field names are equal, ignoring case.
bool same_name(std::string_view a, std::string_view b);

/// @brief Whether a field is hop-by-hop and must not be forwarded (RFC 9110, 7.6.1).
/// @param connection value of the message's `Connection` field, which may name further such fields
bool is_hop_by_hop(std::string_view name, std::string_view connection);

/// @brief Parses a non-negative decimal integer that spans the whole text, or returns nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// @brief Names and values of a query in their order, with percent escapes decoded. A part without
/// an equals sign is left out.
std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view query);

/// @brief Value of a query parameter with percent escapes decoded, or nothing.
/// @param target path and query
std::optional<std::string> query_value(std::string_view target, std::string_view name);

/// @brief The path of a target, without its query.
std::string_view path_of(std::string_view target);

/// @brief The query of a request target, without the question mark; empty if there is none.
std::string_view query_of(std::string_view target);

/// @brief Whether the text can be the value of a header field and is received as it was sent: not
/// empty, no control characters, no space at either end (RFC 9110, 5.5).
bool is_field_value(std::string_view text);

/// @brief Text form of a request head with the empty line at its end.
///
/// Method, target, names and values may come from other programs. A head in which one of them would
/// end its line or its field is not written.
/// @return the text, or `message_invalid` with the part that is invalid
core::result<std::string> to_text(const request_head& head);

/// @brief Text form of a response head with the empty line at its end.
/// @return the text, or `message_invalid` with the part that is invalid
core::result<std::string> to_text(const response_head& head);

/// @brief Standard reason phrase of a status code.
std::string_view reason_phrase(int status);

} // namespace snipeplank::http

#endif
