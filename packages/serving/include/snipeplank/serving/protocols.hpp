/// @file
/// Interfaces of the protocols that callers and upstreams use; adapters implement them.

#ifndef SNIPEPLANK_SERVING_PROTOCOLS_HPP
#define SNIPEPLANK_SERVING_PROTOCOLS_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/message.hpp>
#include <snipeplank/http/server.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/policy/upstream_feedback.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::serving
{

/// @brief A part of a prompt that other prompts may share.
struct prompt_part
{
    std::string id;
    double tokens = 0;
};

/// @brief A caller's request, decoded.
struct caller_request
{
    std::string id; ///< of this attempt by the caller; empty when it sent none
    std::string host;
    std::optional<core::milliseconds> timeout; ///< how long the caller waits for the answer
    double prompt_tokens = 0;
    double max_output_tokens = 0;
    bool names_tokens = false;       ///< whether the request says how many tokens it has
    std::string key;                 ///< of its client account; empty: none
    std::vector<prompt_part> prompt; ///< in sequence; the last part is never shared
    std::string last_event_id;       ///< of a stream that the caller resumes
    /// Id of the caller's attempt that brought the first event of that stream; empty: not named.
    std::string resumes;
};

/// @brief Reads callers' requests and writes the system's own answers.
class caller_protocol
{
  public:
    virtual ~caller_protocol() = default;

    /// @brief Decodes a request head, or returns why it is invalid.
    virtual core::result<caller_request> read(const http::request_head& head) const = 0;

    /// @brief The answer to a request that is not served.
    virtual http::response refuse(const caller_request& request,
                                  const policy::refusal& why) const = 0;

    /// @brief The head that the caller receives for an upstream's answer.
    virtual http::response_head forward(const http::response_head& answer) const = 0;
};

/// @brief Meaning of an upstream's answer head.
enum class answer_kind
{
    success,
    failure,      ///< the upstream's own failure; it may have run the request
    not_run,      ///< proven: the upstream has not run the request and never will
    wrong_server, ///< proven not run: another upstream has this address now
    mismatched,   ///< answers a different request
    broken,       ///< incomplete or lacks required headers
};

/// @brief A decoded answer head.
struct upstream_answer_head
{
    answer_kind kind = answer_kind::broken;
    core::milliseconds idle_time{0}; ///< how long the upstream keeps the connection open
    bool closes_connection = false;  ///< the upstream announced that it closes its connections
    /// The answer repeats the request's id. Without it an answer on a connection that was used
    /// before may be a copy of an earlier one.
    bool names_request = false;
    /// What the upstream says of itself; nothing when the answer may be another one's.
    std::optional<policy::upstream_statement> said;
};

/// @brief A decoded answer to the question which process serves a connection.
struct process_answer
{
    bool is_of_target = false;      ///< the expected upstream says that it is in service
    core::milliseconds cold_for{0}; ///< how long it stays cold by its own word
    /// It may answer another request: what comes next on the connection may do so, too.
    bool is_mismatched = false;
    core::milliseconds idle_time{0}; ///< how long the upstream keeps the connection open
};

/// @brief Values that are added to a request for an upstream.
struct send_options
{
    const upstream* target = nullptr;
    core::milliseconds remaining{0};
    unsigned priority = 5;
    std::string last_event_id; ///< the stream resumes after this event; empty: from the start
    /// Where the configuration lists accounts: that of the request, or an empty name. The key of
    /// the request is not sent then.
    std::optional<core::account_id> account = std::nullopt;
};

/// @brief Writes requests to upstreams and reads their answers.
class upstream_protocol
{
  public:
    virtual ~upstream_protocol() = default;

    virtual http::request_head compose(const http::request_head& request, std::size_t body_size,
                                       const send_options& options) const = 0;

    /// @brief Returns the request as a resumption of its stream after this event; unchanged when
    /// the id is empty.
    virtual http::request_head resume(const http::request_head& request,
                                      const std::string& last_event_id) const = 0;

    /// @brief Returns the request without the key of its client account.
    virtual http::request_head without_key(const http::request_head& request) const = 0;

    /// @param request_id id of the request that was sent, to detect answers to other requests
    virtual upstream_answer_head read(const http::response_head& answer,
                                      std::string_view request_id) const = 0;

    /// @brief Asks which process serves a connection to `target`, and whether it is cold.
    /// @param path of the service's health check
    /// @param remaining how long the answer is waited for
    virtual http::request_head ask_process(const upstream& target, const std::string& path,
                                           core::milliseconds remaining) const = 0;

    virtual process_answer read_process(const http::response_head& answer,
                                        const upstream& target) const = 0;
};

/// @brief Kind of a control request (readiness or directory).
enum class control_question
{
    is_ready,
    entry_points,
    unknown,
};

/// @brief A decoded control request of a client or of the platform.
struct control_request
{
    control_question question = control_question::unknown;
    core::region_id region; ///< region of the client that asks for entry points
    core::zone_id zone;
    std::string host; ///< host to which the client will send its requests
};

/// @brief Decodes control requests and writes the directory's answers.
class control_protocol
{
  public:
    virtual ~control_protocol() = default;

    virtual control_request read(const http::request_head& head) const = 0;
    virtual http::response entry_points(const std::vector<core::address>& addresses,
                                        core::milliseconds lifetime) const = 0;
};

} // namespace snipeplank::serving

#endif
