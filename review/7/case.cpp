/// CONFIG (`StrictRevoke`): the operator removes the last tenant. Its key is accepted on, requests
/// need no key any more, and servers get the key and a tenant that the client has made up.

#include "../harness-2/harness.hpp"

using namespace snipeplank::review;

namespace
{

/// `RevokeMs` of the deployment, and what a client adds to be sure.
constexpr milliseconds revoke_limit{5'000};
constexpr milliseconds client_margin{1'000};
constexpr milliseconds interval{100};
constexpr unsigned requests = 30;
constexpr char ip[] = "127.0.0.1";
constexpr char zone[] = "santiago-a";
constexpr char key[] = "k-7d1f0c55a2";
constexpr char tenant[] = "studio-norte";
constexpr char other_tenant[] = "studio-sur";

/// @param tenants JSON list
std::string configuration(unsigned version, const std::string& tenants)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"order","Host":"portal.example","PathPrefix":"/order/",)"
           R"("Kind":"non_idempotent","TimeoutMs":4000,"GoalMs":600,"Priority":2,"MaxAttempts":1,)"
           R"("Service":"portal-app"}],"Services":[{"Name":"portal-app",)"
           R"("HealthPath":"/healthz"}],"Tenants":)" +
           tenants +
           R"(,"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000}})";
}

verdict run()
{
    // The stand-ins live to the end of the process.
    store& platform = *new store;
    server& portal = *new server("i-77b0aa10", "portal-app", zone);
    registry& reports = *new registry(platform);
    const std::string held = std::string(R"([{"Name":")") + tenant + R"(","ApiKeys":[")" + key +
                             R"("],"RatePerS":0,"Burst":0}])";
    platform.put("op/config", configuration(1, held));
    reports.add(portal);
    portal.answer_with(
        [](int descriptor, const message& request)
        {
            const std::string attempt = request.header("Attempt-Id");
            record("  " + attempt + " came with Tenant '" + request.header("Tenant") +
                   "' and Credential '" + request.header("Credential") + "'");
            return write_all(descriptor, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                                             "\r\nServer-Signature: 3e1b.07." + attempt +
                                             "\r\nContent-Length: 7\r\n\r\nordered");
        });
    fleet machines(zone_map{{zone, "santiago"}});
    machines.start(
        {{"front-santiago-a-1", ip, zone, "santiago", 260, platform.add_path().server->address()}});
    const std::string front = machines.front(ip);
    const auto order = [&](const std::string& id, header_list more)
    {
        more.insert(more.begin(),
                    {{"Host", "portal.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "3000"}});
        return call(front, "POST", "/order/1", more, "a render").status();
    };
    unsigned number = 0;
    const auto is_served = [&] {
        return order("first-" + std::to_string(++number), {{"Credential", key}}) == 200;
    };
    if (!wait_until(is_served, milliseconds{20'000}))
        throw setup_error{"no order is served"};
    const int refused = order("unknown-key", {{"Credential", "k-unknown"}});
    if (refused != 401)
        throw setup_error{"an unknown key was answered with " + std::to_string(refused)};
    pause_for(milliseconds{2'000});
    if (has_trouble())
    {
        platform.put("op/config", configuration(2, "[]"));
        record("version 2, which takes the only key away, is confirmed");
    }
    pause_for(revoke_limit + client_margin);
    unsigned ran = 0;
    for (unsigned i = 0; i < requests; ++i)
    {
        const std::string id = "order-" + std::to_string(i);
        const bool has_key = i % 2 == 0;
        const int status =
            order(id, {has_key ? std::pair<std::string, std::string>{"Credential", key}
                               : std::pair<std::string, std::string>{"Credential", "k-made-up"},
                       {"Tenant", other_tenant}});
        ran += portal.runs_of(id);
        record(id + (has_key ? ", with the key of version 1" : ", with a key that was never held") +
               ", answered " + std::to_string(status) + ", runs " +
               std::to_string(portal.runs_of(id)));
        pause_for(interval);
    }
    record("orders that ran: " + std::to_string(ran) + " of " + std::to_string(requests));
    if (has_trouble())
        return ran > 0 ? verdict::broken : verdict::held;
    return ran == requests / 2 ? verdict::held : verdict::broken;
}

} // namespace

int main()
{
    return run_case(run);
}
