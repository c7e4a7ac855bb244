/// @file
/// One attempt of a request, at an upstream or at a node of another region.

#ifndef SNIPEPLANK_SERVING_SRC_ATTEMPT_HPP
#define SNIPEPLANK_SERVING_SRC_ATTEMPT_HPP

#include <snipeplank/http/client.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/serving/protocols.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace snipeplank::serving
{

/// @brief What came of the start of an attempt.
struct attempt_start
{
    answer_kind kind = answer_kind::broken; ///< `success` for any answer from another region
    http::response_head head;               ///< of the answer, for `success` and `failure`
    bool was_sent = false;                  ///< any byte may have reached the other end
    bool is_unreachable = false;            ///< no connection
    std::string cause;                      ///< why there is no answer

    /// @brief Whether the upstream has certainly not run the request and never will.
    bool is_proven_not_run() const
    {
        return !was_sent || kind == answer_kind::not_run || kind == answer_kind::wrong_server;
    }
};

/// @brief One attempt. `cancel` may be called at any moment; what waits then fails at once.
class attempt
{
  public:
    virtual ~attempt() = default;

    /// @brief Sends the request and waits for the head of its answer.
    virtual boost::asio::awaitable<attempt_start> start() = 0;

    /// @brief The next piece of the body, or why the answer broke off.
    virtual boost::asio::awaitable<core::result<http::body_chunk>> next() = 0;

    /// @brief Ends the work at the other end.
    virtual void cancel() = 0;

    /// @brief The answer was read whole.
    virtual void finish() = 0;
};

} // namespace snipeplank::serving

#endif
