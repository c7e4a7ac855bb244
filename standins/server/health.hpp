/// @file
/// Answers of a server to health checks.

#ifndef SNIPEPLANK_STANDINS_SERVER_HEALTH_HPP
#define SNIPEPLANK_STANDINS_SERVER_HEALTH_HPP

#include <standins/support/http_server.hpp>

#include <chrono>
#include <mutex>
#include <string>

namespace snipeplank::standins
{

/// @brief Answers health checks as a test says. Thread-safe.
///
/// The way of answering is empty for a healthy server, or one of
/// - `failing`: 503 with its id
/// - `shed`: 503 because no slot is free
/// - `none`: 404, as a server without health checks
/// - `other_id`: 200 with the id of another server
/// - `no_id`: 200 without an id
/// - `body`, `chunked`, `until_close`: 200 with bytes in this framing
/// - `cut`: the connection ends inside the answer
/// - `mute`: no answer
class health
{
  public:
    health(http_server& server, std::string id) : m_server(server), m_id(std::move(id)) {}

    void set_way(const std::string& way);
    void set_delay(std::chrono::milliseconds delay);

    /// @brief Number of the checks that it was sent.
    int checks() const;

    /// @param cold_for how long the server stays cold
    void answer(httplib::Response& out, std::chrono::milliseconds cold_for, bool is_leaving);

  private:
    http_server& m_server;
    std::string m_id;
    mutable std::mutex m_mutex;
    std::string m_way;
    std::chrono::milliseconds m_delay{0};
    int m_checks = 0;
};

} // namespace snipeplank::standins

#endif
