/// Prints the encoded size and the encoding and decoding time of each kind of message.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/wire/codec.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

using namespace snipeplank;

namespace
{

constexpr int rounds = 2'000;
constexpr std::size_t body_bytes = 4'096;
constexpr std::size_t chunk_bytes = 1'024;

core::node_id node(int number)
{
    return {core::address{"10.120.30." + std::to_string(100 + number) + ":7001"},
            core::incarnation{0x9e3779b97f4a7c15U * static_cast<unsigned>(number + 1)}};
}

wire::call_request request()
{
    wire::call_request to;
    to.service = core::service_id{"scheduling-model"};
    to.account = core::account_id{"account-004711"};
    to.home = core::region_id{"salzkammer"};
    to.request_id = "10.120.30.101:7001-1234567890123456789-4711";
    to.remaining = core::milliseconds(10'000);
    to.path.push_back({to.home, core::zone_id{"salzkammer-a"}, node(1)});
    to.method = "POST";
    to.target = "/v1/chat/completions";
    to.headers = {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}};
    to.body = std::string(body_bytes, 'x');
    return to;
}

fleet::member_update member(int number)
{
    return {node(number), core::address{"10.120.30." + std::to_string(100 + number) + ":8080"},
            core::zone_id{"salzkammer-a"}, fleet::member_state::alive, 3};
}

/// Gossip message with all kinds of items, filled up to the estimated size limit.
fleet::gossip full_gossip()
{
    fleet::gossip to;
    to.kind = fleet::gossip_kind::ping;
    to.sequence = 1;
    to.sender = member(0);
    to.sender_region = core::region_id{"salzkammer"};
    to.digest = {core::config_version{123'456}, core::sha256_hex("manifest"), true};
    fleet::region_summary summary;
    summary.region = core::region_id{"ennstal"};
    summary.entry_points.assign(fleet::max_summary_entry_points,
                                {node(1).address, core::address{"10.120.30.101:8080"}});
    summary.services.assign(4, {1, 20, 300, 40});
    to.regions.push_back(summary);
    to.leaving.assign(2, {1, 2'000});
    to.members.assign(2, member(1));
    const fleet::upstream_load load{1, 2, 3, 4, 5, 600, 7};
    const std::size_t taken = fleet::estimated_size(fleet::message(to));
    const std::size_t left = taken < fleet::max_gossip_bytes ? fleet::max_gossip_bytes - taken : 0;
    to.loads.assign(left / fleet::estimated_size(load), load);
    return to;
}

std::vector<wire::message> samples()
{
    const core::call_number number{4'711};
    const std::string ticket(250, 't');
    const std::string hash = core::sha256_hex("body");
    const policy::refusal why{policy::refusal_reason::overloaded, policy::execution::no,
                              "come back later", core::milliseconds(800)};
    policy::call_outcome answered;
    answered.kind = policy::outcome_kind::answered;
    answered.answer = {200, request().headers, std::string(chunk_bytes, 'x')};
    wire::handover handover{node(1), core::milliseconds(1), 0, 1, {}};
    handover.records.assign(100, {hash, hash, answered});
    fleet::config_request config_request;
    config_request.items.assign(2, {hash, hash});
    fleet::config_reply config_reply;
    config_reply.hash = hash;
    config_reply.found = true;
    config_reply.text = std::string(body_bytes, 'x');
    wire::hello hello;
    hello.node = node(1);
    hello.region = core::region_id{"salzkammer"};
    hello.zone = core::zone_id{"salzkammer-a"};
    hello.nonce = std::string(32, 'n');
    hello.proof = hash;
    return {hello,
            wire::heartbeat{},
            full_gossip(),
            config_request,
            config_reply,
            wire::call{number, request()},
            wire::call_head{number, 200, request().headers, {}},
            wire::call_chunk{number, 0, std::string(chunk_bytes, 'x')},
            wire::call_end{number, chunk_bytes, 1},
            wire::call_refused{number, why},
            wire::cancel{number, ticket},
            wire::reserve{number, ticket, hash, core::milliseconds(10'000)},
            wire::reserved{number, policy::reservation_number{1}},
            wire::commit{number, policy::reservation_number{1}, ticket, request()},
            wire::outcome_request{number, core::incarnation{1}, ticket},
            wire::outcome{number, answered},
            handover,
            wire::handover_ack{node(1), 0}};
}

template <typename Work>
double nanoseconds_per_call(Work work)
{
    const auto started = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
    {
        work();
    }
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - started;
    return taken.count() / rounds;
}

} // namespace

int main()
{
    std::printf("%-16s %10s %12s %12s\n", "message", "bytes", "encode ns", "decode ns");
    for (const wire::message& sample : samples())
    {
        const std::string frame = wire::encode(sample).value();
        const std::string payload = frame.substr(wire::length_bytes);
        std::size_t sink = 0;
        const double encoding =
            nanoseconds_per_call([&] { sink += wire::encode(sample).value().size(); });
        const double decoding =
            nanoseconds_per_call([&] { sink += wire::decode(payload).has_value() ? 1 : 0; });
        const std::string name(wire::kind_name(sample));
        std::printf("%-16s %10zu %12.0f %12.0f\n", name.c_str(), frame.size(), encoding, decoding);
        if (sink == 0)
        {
            return 1;
        }
    }
    const fleet::gossip gossip = full_gossip();
    std::printf("full gossip: %zu members, %zu loads, %zu leaving, %zu regions; estimate %zu\n",
                gossip.members.size(), gossip.loads.size(), gossip.leaving.size(),
                gossip.regions.size(), fleet::estimated_size(fleet::message(gossip)));
    return 0;
}
