#include <snipeplank/gateway/admin_server.hpp>

#include <utility>

#include "http_server.hpp"

namespace snipeplank::gateway
{

namespace
{

constexpr std::size_t max_admin_connections = 16;
constexpr int http_ok = 200;
constexpr int http_accepted = 202;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

class http_admin_server final : public admin_server
{
  public:
    explicit http_admin_server(admin_server_parts parts)
        : m_parts(std::move(parts)), m_server(max_admin_connections)
    {
        add_routes();
    }

    core::result<void> start() override { return m_server.start(m_parts.listen); }
    void stop() override { m_server.stop(); }

  private:
    void add_routes()
    {
        httplib::Server& server = m_server.routes();
        server.Get("/healthz", [](const httplib::Request&, httplib::Response& response)
                   { response.set_content("ok\n", "text/plain"); });
        server.Get("/readyz",
                   [this](const httplib::Request&, httplib::Response& response)
                   {
                       const bool is_ready = m_parts.is_ready();
                       response.status = is_ready ? http_ok : http_unavailable;
                       response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
                   });
        server.Get("/metrics",
                   [this](const httplib::Request&, httplib::Response& response)
                   {
                       m_parts.refresh_gauges();
                       response.set_content(m_parts.counters.render(), "text/plain; version=0.0.4");
                   });
        server.Get("/v1/status", [this](const httplib::Request&, httplib::Response& response)
                   { response.set_content(m_parts.status(), "application/json"); });
        server.Get("/v1/explain/(.+)",
                   [this](const httplib::Request& request, httplib::Response& response)
                   { explain(request.matches[1], response); });
        server.Post("/v1/drain",
                    [this](const httplib::Request&, httplib::Response& response)
                    {
                        m_parts.begin_drain();
                        response.status = http_accepted;
                        response.set_content("{\"state\":\"draining\"}", "application/json");
                    });
    }

    void explain(const std::string& request_id, httplib::Response& response) const
    {
        const std::optional<std::string> record = m_parts.log.explain(request_id);
        if (record)
        {
            response.set_content(*record, "application/json");
            return;
        }
        response.status = http_not_found;
        response.set_content(
            "{\"error\":\"no record of this request\",\"remedy\":\"ask the node and "
            "incarnation named in the id; records are kept for the last 4096 "
            "requests\"}",
            "application/json");
    }

    admin_server_parts m_parts;
    http_server m_server;
};

} // namespace

std::unique_ptr<admin_server> make_admin_server(admin_server_parts parts)
{
    return std::make_unique<http_admin_server>(std::move(parts));
}

} // namespace snipeplank::gateway
