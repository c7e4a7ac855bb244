#include <nlohmann/json.hpp>
#include <standins/support/call_faults.hpp>

#include <algorithm>
#include <memory>

namespace snipeplank::standins
{
namespace
{

call_fault parse_fault(const nlohmann::json& document)
{
    call_fault fault;
    fault.slow_factor = document.value("slow_factor", fault.slow_factor);
    fault.refuse_status = document.value("refuse_status", fault.refuse_status);
    fault.close_at = document.value("close_at", fault.close_at);
    fault.silent_at = document.value("silent_at", fault.silent_at);
    fault.close_after_bytes = document.value("close_after_bytes", fault.close_after_bytes);
    fault.silent_after_bytes = document.value("silent_after_bytes", fault.silent_after_bytes);
    fault.end_after_bytes = document.value("end_after_bytes", fault.end_after_bytes);
    fault.freeze_reports = document.value("freeze_reports", fault.freeze_reports);
    return fault;
}

/// Returns the first unknown key, or an empty string. A misspelt key is an error, because the test
/// would run without the fault.
std::string unknown_key(const nlohmann::json& document)
{
    static const char* const known[] = {
        "slow_factor",        "refuse_status",   "close_at",       "silent_at", "close_after_bytes",
        "silent_after_bytes", "end_after_bytes", "freeze_reports", "calls"};
    for (const auto& [key, value] : document.items())
    {
        if (std::find(std::begin(known), std::end(known), key) == std::end(known))
        {
            return key;
        }
    }
    return "";
}

} // namespace

void fault_registry::add_routes(httplib::Server& server)
{
    server.Post("/standin/faults",
                [this](const httplib::Request& request, httplib::Response& response)
                {
                    const auto document = nlohmann::json::parse(request.body, nullptr, false);
                    if (!document.is_object() || !unknown_key(document).empty())
                    {
                        response.status = 400;
                        response.set_content("not an object of known faults\n", "text/plain");
                        return;
                    }
                    const std::lock_guard lock(m_mutex);
                    m_fault = parse_fault(document);
                    m_calls_left.reset();
                    if (document.contains("calls"))
                    {
                        m_calls_left = document["calls"].get<std::size_t>();
                    }
                    response.status = 204;
                });
}

call_fault fault_registry::fault_for_next_call()
{
    const std::lock_guard lock(m_mutex);
    if (!m_calls_left)
    {
        return m_fault;
    }
    if (*m_calls_left == 0)
    {
        return {};
    }
    --*m_calls_left;
    return m_fault;
}

call_fault fault_registry::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_fault;
}

bool inject_fault(const http_server& server, const call_fault& fault, const std::string& step)
{
    if (fault.silent_at == step)
    {
        server.stay_silent();
        return true;
    }
    if (fault.close_at == step)
    {
        connection::current().cut();
        return true;
    }
    return false;
}

faulty_body_writer::faulty_body_writer(const http_server& server, const call_fault& fault)
    : m_server(server), m_fault(fault),
      m_limit(std::min({fault.close_after_bytes, fault.silent_after_bytes, fault.end_after_bytes}))
{
}

bool faulty_body_writer::write(httplib::DataSink& sink, std::string_view chunk)
{
    const std::size_t allowed = std::min(chunk.size(), m_limit - m_written);
    if (allowed > 0 && !sink.write(chunk.data(), allowed))
    {
        return false;
    }
    m_written += allowed;
    return allowed == chunk.size() || stop_early(sink);
}

bool faulty_body_writer::stop_early(httplib::DataSink& sink)
{
    if (m_limit == m_fault.end_after_bytes && sink.done)
    {
        sink.done();
        return false;
    }
    if (m_limit == m_fault.silent_after_bytes)
    {
        m_server.stay_silent();
    }
    connection::current().cut();
    return false;
}

void send_whole(const http_server& server, httplib::Response& response, const call_fault& fault,
                int status, const std::string& body)
{
    response.status = status;
    response.set_content_provider(
        body.size(), "application/json",
        [body, writer = std::make_shared<faulty_body_writer>(server, fault)](
            std::size_t offset, std::size_t length, httplib::DataSink& sink)
        { return writer->write(sink, std::string_view(body).substr(offset, length)); });
}

} // namespace snipeplank::standins
