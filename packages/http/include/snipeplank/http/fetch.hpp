/// @file
/// Requests without a body whose whole answer is read.

#ifndef SNIPEPLANK_HTTP_FETCH_HPP
#define SNIPEPLANK_HTTP_FETCH_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/client.hpp>
#include <snipeplank/http/message.hpp>
#include <snipeplank/http/request_target.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace snipeplank::http
{

/// @brief Limits of a body whose end the server decides.
///
/// How long a body takes depends on its size and on the link. It is therefore given up when it
/// makes no progress; the limit for the whole body only ends one that never ends.
struct body_limits
{
    core::milliseconds progress; ///< longest time without a further byte
    core::milliseconds total;    ///< longest time for the whole body
    std::size_t bytes = 0;
};

/// @brief Sends a GET and reads the head of the answer.
/// @param limit for the head; the connection is closed when it passes
boost::asio::awaitable<core::result<response_head>>
fetch_head(client_connection& connection, const request_target& target, core::milliseconds limit);

/// @brief Reads the whole body behind the head.
/// @return the body; `answer_too_large`, or the error of the connection, which is closed when a
/// limit of time passes
boost::asio::awaitable<core::result<std::string>> fetch_body(client_connection& connection,
                                                             body_limits limits);

} // namespace snipeplank::http

#endif
