/// @file
/// Faults of an upstream that a test sets at run time, and their effect on one answer.

#ifndef SNIPEPLANK_STANDINS_SUPPORT_CALL_FAULTS_HPP
#define SNIPEPLANK_STANDINS_SUPPORT_CALL_FAULTS_HPP

#include <nlohmann/json_fwd.hpp>
#include <standins/support/http_server.hpp>

#include <cstddef>
#include <limits>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace snipeplank::standins
{

constexpr std::size_t no_byte_limit = std::numeric_limits<std::size_t>::max();

/// @brief What goes wrong with one call.
struct call_fault
{
    double slow_factor = 1.0;
    int refuse_status = 0;                          ///< 0 refuses nothing
    std::string close_at;                           ///< `before_execution`, `after_execution`
    std::string silent_at;                          ///< likewise
    std::size_t close_after_bytes = no_byte_limit;  ///< of the answer's body
    std::size_t silent_after_bytes = no_byte_limit; ///< likewise
    std::size_t end_after_bytes = no_byte_limit;    ///< a stream ends cleanly, but too early
    bool freeze_reports = false;
};

/// @brief The faults in force.
///
/// `POST /standin/faults` replaces them as a whole; `{}` clears them. `"calls": N` limits them to
/// the next N calls.
class fault_board
{
  public:
    /// @brief Adds the routes that set and show the faults.
    void add_routes(httplib::Server& server);

    /// @brief The fault of the next call; uses up one of the limited calls.
    call_fault take();

    /// @brief The faults in force, without using up a call.
    call_fault current() const;

  private:
    mutable std::mutex m_mutex;
    call_fault m_fault;
    std::optional<std::size_t> m_calls_left;
};

/// @brief Carries out a fault at a step of a call.
/// @return whether the call ends here because the connection was cut
bool strike(const http_server& server, const call_fault& fault, const std::string& step);

/// @brief Applies the byte limits of a fault to the pieces of one answer.
class faulty_body
{
  public:
    faulty_body(const http_server& server, const call_fault& fault);

    /// @brief Writes as much of `piece` as the fault allows.
    /// @return whether the answer may go on
    bool write(httplib::DataSink& sink, std::string_view piece);

  private:
    bool stop_early(httplib::DataSink& sink);

    const http_server& m_server;
    call_fault m_fault;
    std::size_t m_limit;
    std::size_t m_written = 0;
};

/// @brief Sends `body` whole with a Content-Length, under the byte limits of `fault`.
void send_whole(const http_server& server, httplib::Response& response, const call_fault& fault,
                int status, const std::string& body);

} // namespace snipeplank::standins

#endif
