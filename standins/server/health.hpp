/// @file
/// Answers of a server to health checks.

#ifndef SNIPEPLANK_STANDINS_SERVER_HEALTH_HPP
#define SNIPEPLANK_STANDINS_SERVER_HEALTH_HPP

#include <standins/support/http_server.hpp>

#include <chrono>
#include <mutex>
#include <string>
#include <string_view>

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

namespace detail
{

inline constexpr int not_found = 404;
inline constexpr int unavailable = 503;
inline constexpr std::string_view body = "healthy\n";

/// Sends the body, then ends the connection or the last chunk.
inline auto body_writer(bool ends_connection)
{
    return [ends_connection](std::size_t, httplib::DataSink& sink)
    {
        sink.write(body.data(), body.size());
        if (ends_connection)
            connection::current().cut();
        else
            sink.done();
        return !ends_connection;
    };
}

} // namespace detail

inline void health::set_way(const std::string& way)
{
    const std::lock_guard lock(m_mutex);
    m_way = way;
}

inline void health::set_delay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

inline int health::checks() const
{
    const std::lock_guard lock(m_mutex);
    return m_checks;
}

inline void health::answer(httplib::Response& out, std::chrono::milliseconds cold_for,
                           bool is_leaving)
{
    std::string way;
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        ++m_checks;
        way = m_way;
        delay = m_delay;
    }
    if (!m_server.wait_for(delay))
        return;
    if (way == "mute")
        m_server.stay_silent();
    if (way == "none")
    {
        out.status = detail::not_found;
        return;
    }
    if (way == "shed")
    {
        out.status = detail::unavailable;
        out.set_header("Not-Executed", "1");
        return;
    }
    if (way != "no_id")
        out.set_header("Instance-Id", way == "other_id" ? m_id + "-other" : m_id);
    if (cold_for.count() > 0)
        out.set_header("Warmup-Ms", std::to_string(cold_for.count()));
    if (is_leaving)
        out.set_header("Connection", "close");
    if (way == "failing" || is_leaving)
        out.status = detail::unavailable;
    else if (way == "body")
        out.set_content(std::string(detail::body), "text/plain");
    else if (way == "chunked")
        out.set_chunked_content_provider("text/plain", detail::body_writer(false));
    else if (way == "until_close")
        out.set_content_provider("text/plain", detail::body_writer(true));
    else if (way == "cut")
        out.set_content_provider(2 * detail::body.size(), "text/plain",
                                 [write = detail::body_writer(true)](
                                     std::size_t offset, std::size_t, httplib::DataSink& sink)
                                 { return write(offset, sink); });
}

} // namespace snipeplank::standins

#endif
