/// @file
/// One attempt of a request, at an upstream or at a node of another region.

#ifndef SNIPEPLANK_SERVING_SRC_ATTEMPT_HPP
#define SNIPEPLANK_SERVING_SRC_ATTEMPT_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/http/client.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/software_version_key.hpp>
#include <snipeplank/serving/protocols.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace snipeplank::serving
{

/// @brief Result of starting an attempt.
struct attempt_start
{
    answer_kind kind = answer_kind::broken; ///< `success` for any answer from another region
    http::response_head head;               ///< of the answer, for `success` and `failure`
    bool was_sent = false;                  ///< some byte may have reached an upstream
    bool is_unreachable = false;            ///< no connection could be made
    bool is_closed = false;                 ///< the connection was refused: nothing listens there
    std::string cause;                      ///< why there is no answer
    /// What an upstream of this region says of itself.
    std::optional<policy::upstream_statement> said;
    /// Software version of the upstream that answers; 0 if it is not known.
    policy::software_version_key software_version;
    /// Refusal of a node of another region.
    std::optional<policy::refusal> refused;

    /// @brief Whether the upstream has certainly not run the request and never will.
    bool is_proven_not_run() const
    {
        return !was_sent || kind == answer_kind::not_run || kind == answer_kind::wrong_server;
    }
};

/// @brief One attempt of a request. `cancel` may be called at any time; pending operations then
/// fail immediately.
class attempt
{
  public:
    virtual ~attempt() = default;

    /// @brief Sends the request and waits for the head of its answer.
    virtual boost::asio::awaitable<attempt_start> start() = 0;

    /// @brief The next chunk of the body, or the error that truncated the answer.
    virtual boost::asio::awaitable<core::result<http::body_chunk>> next() = 0;

    /// @brief Aborts the request at the other end.
    virtual void cancel() = 0;

    /// @brief The node of another region that the attempt is sent to; nothing for an upstream.
    virtual std::optional<core::address> node() const { return std::nullopt; }

    /// @brief Called after the whole answer was read.
    virtual void finish() = 0;
};

} // namespace snipeplank::serving

#endif
