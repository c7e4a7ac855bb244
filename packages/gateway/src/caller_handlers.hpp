/// @file
/// Handlers of the callers' HTTP server.

#ifndef SNIPEPLANK_GATEWAY_SRC_CALLER_HANDLERS_HPP
#define SNIPEPLANK_GATEWAY_SRC_CALLER_HANDLERS_HPP

#include <snipeplank/gateway/caller_server.hpp>
#include <snipeplank/gateway/request_parser.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace snipeplank::gateway
{

/// @brief Counts a request as in flight from its headers to the end of its answer.
class in_flight_guard
{
  public:
    explicit in_flight_guard(std::atomic<std::size_t>& count) : m_count(count) { ++m_count; }
    ~in_flight_guard() { --m_count; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

  private:
    std::atomic<std::size_t>& m_count;
};

/// @brief Converts request line and headers for the parser.
request_head make_head(const httplib::Request& request);

/// @brief The callers' HTTP server and its handlers.
class caller_handlers final : public caller_server
{
  public:
    explicit caller_handlers(const caller_server_parts& parts);

    core::result<void> start() override { return m_server.start(m_parts.settings.caller_address); }
    std::size_t in_flight() const override { return m_in_flight; }
    void stop() override { m_server.stop(); }

  private:
    using request_t = httplib::Request;
    using response_t = httplib::Response;

    void add_routes();

    void send_readiness(response_t& response);

    /// Sends a refusal and counts it.
    void send_refusal(response_t& response, policy::refusal why, const std::string& request_id);

    /// Adds jitter to the retry delay, so that refused callers do not retry at the same moment.
    void add_jitter(policy::refusal& why);

    /// Sends a refusal for a request that the HTTP library rejected before routing.
    void refuse_protocol_error(response_t& response);

    std::optional<policy::refusal> check_node(const request_head& head);

    /// Whether the request carries a ticket of this node. These are served even while draining.
    bool has_own_ticket(const request_head& head) const;

    /// Handles `Expect: 100-continue`: decides on the headers before the caller sends the body.
    int check_before_body(const request_t& request, response_t& response);

    static bool is_ticket_path(const std::string& path) { return path == "/v1/tickets"; }

    void serve(const request_t& http, response_t& response, const httplib::ContentReader* reader);

    /// Reads the body. The body of a refused request is read and discarded, so that the connection
    /// can be reused.
    std::optional<policy::refusal> read_body(const httplib::ContentReader& reader,
                                             const response_t& response, bool is_refused,
                                             std::string& body);

    std::optional<policy::refusal> admit_account(const call& request, const request_t& http);

    static call_record make_record(const call& request);

    void record_and_refuse(response_t& response, const call& request, const policy::refusal& why,
                           std::vector<attempt_record> attempts);

    void serve_call(const call& request, response_t& response,
                    std::shared_ptr<in_flight_guard> in_flight);

    void send_buffered(const call& request, call_record record, running_answer& answer,
                       response_t& response);

    void send_stream(std::unique_ptr<running_answer> answer, call_record record,
                     core::time_point received, std::shared_ptr<in_flight_guard> in_flight,
                     response_t& response);

    /// Forwards one chunk. False aborts the connection, so that the caller detects a truncated
    /// answer.
    /// @param record_end called before the caller is sent the end
    static bool forward_chunk(running_answer& answer, httplib::DataSink& sink,
                              const std::function<void()>& record_end);

    void finish(call_record record, core::time_point received, std::string result);

    void serve_ticketed(const call& request, response_t& response);

    void issue_ticket(const request_t& http, const std::string& body, response_t& response,
                      const std::string& request_id);

    void ticket_outcome(const request_t& http, response_t& response);

    static nlohmann::json describe(const policy::call_outcome& outcome);

    void entry_points(const request_t& http, response_t& response);

    std::vector<core::address> addresses_for(const core::region_id& home, const request_t& http);

    static const settings::account_config* find_account(const settings::published_config& config,
                                                        const request_t& http);

    caller_server_parts m_parts;
    http_server m_server;
    std::atomic<std::size_t> m_in_flight{0};
    std::mutex m_random_mutex;
    core::seeded_random m_random;
};

} // namespace snipeplank::gateway

#endif
