/// @file
/// Reads the body of an answer that nobody wants.

#ifndef SNIPEPLANK_SERVING_SRC_ANSWER_BODY_HPP
#define SNIPEPLANK_SERVING_SRC_ANSWER_BODY_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/http/client.hpp>

#include <boost/asio/awaitable.hpp>

namespace snipeplank::serving
{

/// @brief Reads and drops the rest of an answer, so that the connection can be used on.
/// @return the error of a body that breaks off, or is too large to be dropped
boost::asio::awaitable<core::result<void>> drop_body(http::client_connection& from);

} // namespace snipeplank::serving

#endif
