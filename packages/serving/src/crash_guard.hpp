/// @file
/// Keeps requests under which upstreams crash away from them.

#ifndef SNIPEPLANK_SERVING_SRC_CRASH_GUARD_HPP
#define SNIPEPLANK_SERVING_SRC_CRASH_GUARD_HPP

#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/http/client.hpp>
#include <snipeplank/policy/crash_quarantine.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "call_log.hpp"

namespace snipeplank::serving
{

/// What a request may have in common with others: hashes of the parts of its prompt that other
/// prompts may share, in sequence, and behind them the hash of all that identifies it.
using request_parts = std::vector<policy::request_part_key>;

/// @brief The parts of a request, which is identified by its method, caller, target, prompt and
/// body, but not by the id of its attempt.
request_parts parts_of(const http::request_head& head, const std::string& body,
                       const caller_request& request);

/// @brief A request whose answer ended with its connection after little more than its beginning.
struct broken_request
{
    std::string id;
    request_parts parts;
    core::time_point sent;
    bool may_be_whole =
        false; ///< an answer without length, whose end looks like that of a whole one
};

/// @brief Learns from broken answers which upstreams crashed, and refuses the requests under which
/// they do. Used on the event loop only.
///
/// Only an upstream that refuses connections right after an answer ended with its connection has
/// crashed; one that accepts a connection and keeps it for a moment has failed this request only,
/// and one that does not reply in time may be cut off.
class crash_guard
{
  public:
    /// @param pool, log outlive the object
    crash_guard(boost::asio::io_context& loop, http::connection_pool& pool, call_log& log);

    /// @brief Sets what is called after a crash of an upstream was recorded, to tell other nodes.
    void on_crash(std::function<void(const upstream_id&)> action)
    {
        m_on_crash = std::move(action);
    }

    /// @brief How long requests with these parts are not to be sent; nothing when they may be.
    /// @param forgiven_crashes crashes under the whole request that do not hold it back
    std::optional<core::milliseconds> quarantine_left(const request_parts& parts,
                                                      std::size_t forgiven_crashes) const;

    /// @brief Whether an upstream crashed under one of the parts since its last answer.
    bool is_suspect(const request_parts& parts) const;

    /// @brief Records a whole answer to a request with these parts.
    void on_answered(const request_parts& parts);

    /// @brief Checks whether the upstream crashed, and records it under the parts of the request;
    /// if it did not, an answer that may be whole was.
    void on_broken(const upstream& target, broken_request request);

    /// @brief Adds to a message what the other nodes should know; nothing in calm times.
    /// @return whether there was anything
    bool add_evidence(fleet::gossip& message) const;

    /// @brief Handles the evidence of another node.
    void on_evidence(const fleet::gossip& received);

    /// @brief Crashes of upstreams that this node saw under requests.
    std::uint64_t crashes() const { return m_crashes; }

    /// @brief Number of whole requests and prompt parts in quarantine.
    std::size_t quarantined() const;

  private:
    /// Requests that broke off at one upstream, until it is known whether that crashed.
    struct crash_check
    {
        core::time_point broken_at;
        std::vector<broken_request> requests;
    };

    boost::asio::awaitable<void> check(upstream target);
    boost::asio::awaitable<bool> has_crashed(const upstream& target);
    void record_answer(const request_parts& parts, core::time_point at);
    void record_whole_answers(const crash_check& checked);
    void record_crash(const upstream& target, const crash_check& checked);

    boost::asio::io_context& m_loop;
    http::connection_pool& m_pool;
    call_log& m_log;
    policy::crash_quarantine m_quarantine;
    std::map<upstream_id, crash_check> m_checks;
    std::function<void(const upstream_id&)> m_on_crash;
    std::uint64_t m_crashes = 0;
};

} // namespace snipeplank::serving

#endif
