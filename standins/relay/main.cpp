/// Stand-in for a network path: a TCP relay that injects faults and counts markers.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/relay/tcp_relay.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(target, "", "IP:PORT to relay connections to");
DEFINE_bool(ends_by_reset, false, "end cut connections, and those with lost bytes, with a reset");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT of the HTTP interface that sets faults");

namespace snipeplank::standins
{
namespace
{

constexpr int no_content = 204;
constexpr int bad_request = 400;

/// Replaces all persistent faults, and applies `cut` and `silence_existing` once.
void apply(tcp_relay& relay, const nlohmann::json& document)
{
    link_state& link = relay.link();
    link.refuse = document.value("refuse", false);
    link.delay_ms = document.value("delay_ms", std::int64_t{0});
    const std::string dropped = document.value("drop", "");
    link.drop_to_target = dropped == "to_target";
    link.drop_to_client = dropped == "to_client";
    link.rate = document.value("rate_bytes_per_s", std::uint64_t{0});
    if (document.value("cut", false))
    {
        relay.cut_existing();
    }
    if (document.value("silence_existing", false))
    {
        relay.silence_existing();
    }
}

nlohmann::json counts(const link_state& link)
{
    return {{"connections", link.connections.load()},
            {"open", link.open.load()},
            {"refused", link.refused.load()},
            {"bytes_to_target", link.bytes_to_target.load()},
            {"bytes_to_client", link.bytes_to_client.load()},
            {"markers", link.markers.hits()}};
}

void add_routes(http_server& server, tcp_relay& relay)
{
    server.Post("/standin/faults",
                [&relay](const httplib::Request& request, httplib::Response& response)
                {
                    const auto document = nlohmann::json::parse(request.body, nullptr, false);
                    response.status = document.is_object() ? no_content : bad_request;
                    if (document.is_object())
                    {
                        apply(relay, document);
                    }
                });
    server.Put("/standin/markers",
               [&relay](const httplib::Request& request, httplib::Response& response)
               {
                   const auto document = nlohmann::json::parse(request.body, nullptr, false);
                   response.status = document.is_array() ? no_content : bad_request;
                   if (document.is_array())
                   {
                       relay.link().markers.set(document.get<std::vector<std::string>>());
                   }
               });
    server.Get("/standin/counts", [&relay](const httplib::Request&, httplib::Response& response)
               { response.set_content(counts(relay.link()).dump(), "application/json"); });
}

int run()
{
    const host_port listen = parse_host_port(FLAGS_address);
    http_server server;
    tcp_relay relay(listen, parse_host_port(FLAGS_target), FLAGS_ends_by_reset);
    add_routes(server, relay);
    return server.run(FLAGS_control, listen.host + ":" + std::to_string(relay.port()));
}

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return snipeplank::standins::run();
    }
    catch (const std::runtime_error& error)
    {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
