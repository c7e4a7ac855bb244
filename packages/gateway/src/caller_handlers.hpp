/// @file
/// Handlers behind the callers' HTTP interface.

#ifndef SNIPEPLANK_GATEWAY_SRC_CALLER_HANDLERS_HPP
#define SNIPEPLANK_GATEWAY_SRC_CALLER_HANDLERS_HPP

#include <snipeplank/gateway/caller_server.hpp>
#include <snipeplank/gateway/request_parser.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace snipeplank::gateway
{

/// @brief Counts a request from its headers to the end of its answer.
class flight
{
  public:
    explicit flight(std::atomic<std::size_t>& count) : m_count(count) { ++m_count; }
    ~flight() { --m_count; }
    flight(const flight&) = delete;
    flight& operator=(const flight&) = delete;

  private:
    std::atomic<std::size_t>& m_count;
};

/// @brief Request line and headers as the parser takes them.
request_head make_head(const httplib::Request& request);

/// @brief The callers' HTTP server and its handlers.
class caller_handlers final : public caller_front
{
  public:
    explicit caller_handlers(const caller_front_parts& parts);

    core::result<void> start() override { return m_server.start(m_parts.settings.caller_address); }
    std::size_t in_flight() const override { return m_in_flight; }
    void stop() override { m_server.stop(); }

  private:
    using request_t = httplib::Request;
    using response_t = httplib::Response;

    void add_routes();

    void ready(response_t& response);

    /// Answers a refusal and counts it.
    void give(response_t& response, policy::refusal why, const std::string& request_id);

    /// Jitter keeps refused callers from coming back at the same moment.
    void spread(policy::refusal& why);

    /// Refuses what the HTTP library rejected before a route was found.
    void protocol_error(response_t& response);

    std::optional<policy::refusal> check_node(const request_head& head);

    /// Tickets already issued are honoured until the node's work is done.
    bool names_own_ticket(const request_head& head) const;

    /// Decides on the headers alone, while the caller still holds the body back.
    int check_before_body(const request_t& request, response_t& response);

    static bool is_own_path(const std::string& path) { return path == "/v1/tickets"; }

    void serve(const request_t& http, response_t& response, const httplib::ContentReader* reader);

    /// Reads the body; of a refused request it is read and dropped, so that the connection can
    /// carry the next request.
    std::optional<policy::refusal> read_body(const httplib::ContentReader& reader,
                                             const response_t& response, bool is_refused,
                                             std::string& body);

    std::optional<policy::refusal> admit_account(const call& request, const request_t& http);

    static call_record make_record(const call& request);

    void give_and_record(response_t& response, const call& request, const policy::refusal& why,
                         std::vector<attempt_record> attempts);

    void serve_call(const call& request, response_t& response, std::shared_ptr<flight> in_flight);

    void give_whole(const call& request, call_record record, running_answer& answer,
                    response_t& response);

    void stream(std::unique_ptr<running_answer> answer, call_record record,
                core::time_point received, std::shared_ptr<flight> in_flight, response_t& response);

    /// Passes one chunk on. False aborts the connection, so a broken answer never ends cleanly.
    static bool pass_on(running_answer& answer, httplib::DataSink& sink);

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

    caller_front_parts m_parts;
    http_server m_server;
    std::atomic<std::size_t> m_in_flight{0};
    std::mutex m_random_mutex;
    core::seeded_random m_random;
};

} // namespace snipeplank::gateway

#endif
