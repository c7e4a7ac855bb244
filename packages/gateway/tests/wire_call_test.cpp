/// Guards against accepting invalid calls from a peer: forged paths, bound data, no time left.

#include <snipeplank/gateway/wire_call.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipeplank;
using namespace snipeplank::gateway;
using policy::refusal_reason;

namespace
{

node_location make_location(const char* region, const char* zone, const char* address)
{
    return {{core::address{address}, core::incarnation{7}},
            core::region_id{region},
            core::zone_id{zone}};
}

const node_location sender = make_location("salzkammer", "salzkammer-a", "10.0.0.1:9000");
const node_location receiver = make_location("ennstal", "ennstal-a", "10.1.0.1:9000");

config_ptr make_config()
{
    auto config = std::make_shared<settings::published_config>();
    settings::service_config drafting;
    drafting.name = core::service_id{"drafting"};
    drafting.residency = settings::residency::free;
    config->services[drafting.name] = drafting;
    settings::service_config booking;
    booking.name = core::service_id{"booking"};
    config->services[booking.name] = booking;
    return config;
}

wire::call_request make_request(const char* service, settings::residency residency)
{
    call request;
    request.config = make_config();
    request.service = core::service_id{service};
    request.home = sender.region;
    request.residency = residency;
    request.deadline = core::time_point{core::seconds{11}};
    request.method = "POST";
    return to_wire(request, sender, core::time_point{core::seconds{10}});
}

std::variant<call, policy::refusal> receive(wire::call_request request)
{
    return from_wire(std::move(request), make_config(), {sender.node, sender.region, sender.zone},
                     receiver, core::time_point{core::seconds{500}});
}

wire::hop hop_of(const node_location& where)
{
    return {where.region, where.zone, where.node};
}

} // namespace

TEST_GROUP(wire_call){};

TEST(wire_call, calls_are_accepted_or_refused_with_the_expected_reason)
{
    struct row
    {
        const char* what;
        wire::call_request request;
        std::optional<refusal_reason> refused;
    };
    const auto free = settings::residency::free;
    row rows[] = {
        {"free call", make_request("drafting", free), std::nullopt},
        {"bound by the caller", make_request("drafting", settings::residency::bound),
         refusal_reason::residency},
        {"bound by the service", make_request("booking", free), refusal_reason::residency},
        {"unknown service", make_request("other", free), refusal_reason::unknown_service},
        {"no path", make_request("drafting", free), refusal_reason::loop},
        {"path that ends elsewhere", make_request("drafting", free), refusal_reason::loop},
        {"path that has been here", make_request("drafting", free), refusal_reason::loop},
        {"path that left its region before", make_request("drafting", free), refusal_reason::loop},
        {"no time left", make_request("drafting", free), refusal_reason::deadline_passed},
    };
    const node_location third = make_location("murtal", "murtal-a", "10.2.0.1:9000");
    rows[4].request.path.clear();
    rows[5].request.path.push_back(hop_of(third));
    rows[6].request.path.insert(rows[6].request.path.begin(), hop_of(receiver));
    rows[7].request.path.insert(rows[7].request.path.begin(), hop_of(third));
    rows[8].request.remaining = core::milliseconds{0};
    for (row& each : rows)
    {
        const auto result = receive(std::move(each.request));
        const auto* refused = std::get_if<policy::refusal>(&result);
        CHECK_EQUAL_TEXT(each.refused.has_value(), refused != nullptr, each.what);
        if (refused == nullptr)
            continue;
        const std::string expected{policy::to_string(*each.refused)};
        const std::string seen{policy::to_string(refused->reason)};
        STRCMP_EQUAL_TEXT(expected.c_str(), seen.c_str(), each.what);
    }
}

TEST(wire_call, the_deadline_is_relative_to_the_receivers_clock)
{
    const auto result = receive(make_request("drafting", settings::residency::free));
    const auto& accepted = std::get<call>(result);
    CHECK_TRUE(accepted.deadline == core::time_point{core::seconds{501}});
    LONGS_EQUAL(1, accepted.path.hops().size());
}
