/// @file
/// Upstream faults that a test sets at run time, and the code that injects them into a call.

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

/// @brief The faults to inject into one call.
struct call_fault
{
    double slow_factor = 1.0;
    int refuse_status = 0;                          ///< HTTP status of the refusal; 0 for none
    std::string close_at;                           ///< `before_execution` or `after_execution`
    std::string silent_at;                          ///< as `close_at`
    std::size_t close_after_bytes = no_byte_limit;  ///< bytes of the answer's body
    std::size_t silent_after_bytes = no_byte_limit; ///< as `close_after_bytes`
    std::size_t end_after_bytes = no_byte_limit;    ///< a stream ends cleanly, but too early
    bool freeze_reports = false;
};

/// @brief Holds the active faults.
///
/// `POST /standin/faults` replaces all of them; `{}` clears them. `"calls": N` limits them to
/// the next N calls.
class fault_registry
{
  public:
    /// @brief Adds the route that sets the faults.
    void add_routes(httplib::Server& server);

    /// @brief The fault of the next call; counts against a limit set by `calls`.
    call_fault fault_for_next_call();

    /// @brief The active faults; does not count against the limit.
    call_fault current() const;

  private:
    mutable std::mutex m_mutex;
    call_fault m_fault;
    std::optional<std::size_t> m_calls_left;
};

/// @brief Injects the silence or the close that `fault` schedules at `step`.
/// @return whether the connection was cut, which ends the call
bool inject_fault(const http_server& server, const call_fault& fault, const std::string& step);

/// @brief Writes the body of one answer chunk by chunk, under the byte limits of a fault.
class faulty_body_writer
{
  public:
    faulty_body_writer(const http_server& server, const call_fault& fault);

    /// @brief Writes as much of `chunk` as the fault allows.
    /// @return whether the answer may continue
    bool write(httplib::DataSink& sink, std::string_view chunk);

  private:
    bool stop_early(httplib::DataSink& sink);

    const http_server& m_server;
    call_fault m_fault;
    std::size_t m_limit;
    std::size_t m_written = 0;
};

/// @brief Answers with `body` and a Content-Length, under the byte limits of `fault`.
void send_whole(const http_server& server, httplib::Response& response, const call_fault& fault,
                int status, const std::string& body);

} // namespace snipeplank::standins

#endif
