#include <standins/server/health.hpp>

#include <string_view>

namespace snipeplank::standins
{

namespace
{

constexpr int not_found = 404;
constexpr int unavailable = 503;
constexpr std::string_view body = "healthy\n";

/// Sends the body, then ends the connection or the last chunk.
auto body_writer(bool ends_connection)
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

} // namespace

void health::set_way(const std::string& way)
{
    const std::lock_guard lock(m_mutex);
    m_way = way;
}

void health::set_delay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

int health::checks() const
{
    const std::lock_guard lock(m_mutex);
    return m_checks;
}

void health::answer(httplib::Response& out, std::chrono::milliseconds cold_for, bool is_leaving)
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
        out.status = not_found;
        return;
    }
    if (way == "shed")
    {
        out.status = unavailable;
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
        out.status = unavailable;
    else if (way == "body")
        out.set_content(std::string(body), "text/plain");
    else if (way == "chunked")
        out.set_chunked_content_provider("text/plain", body_writer(false));
    else if (way == "until_close")
        out.set_content_provider("text/plain", body_writer(true));
    else if (way == "cut")
        out.set_content_provider(
            2 * body.size(), "text/plain",
            [write = body_writer(true)](std::size_t offset, std::size_t, httplib::DataSink& sink)
            { return write(offset, sink); });
}

} // namespace snipeplank::standins
