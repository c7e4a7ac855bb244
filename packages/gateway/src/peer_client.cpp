#include <snipeplank/gateway/peer_client.hpp>
#include <snipeplank/policy/residency.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using core::error_code;
using policy::assembly_step;
using std::chrono::steady_clock;

attempt_failure peer_failure(const core::address& peer, const std::string& what,
                             bool may_have_been_sent)
{
    return {{error_code::connection_closed, "peer " + peer.get() + " " + what,
             "retry; check the link between the regions"},
            may_have_been_sent,
            std::nullopt};
}

} // namespace

peer_client::peer_client(node_location self, wire::peer_network& network,
                         const fleet_view_cell& view, call_number_generator& numbers)
    : m_self(std::move(self)), m_network(network), m_view(view), m_numbers(numbers),
      m_random(core::system_seed())
{
}

void peer_client::start(const call& request, const core::region_id& region,
                        const std::vector<core::zone_id>& zones,
                        std::shared_ptr<answer_stream> answer)
{
    const core::address peer = choose_peer(region, zones);
    if (peer.get().empty())
    {
        answer->fail(peer_failure(peer, "of region " + region.get() + " is not known", false));
        return;
    }
    if (!policy::may_be_served_in(request.residency, request.home, region))
    {
        // The dispatcher never selects such a region; this is a second check before sending.
        answer->fail(peer_failure(peer, "must not receive a call bound to another region", false));
        return;
    }
    const core::call_number number = m_numbers.next();
    {
        const std::lock_guard lock(m_mutex);
        auto entry = std::make_shared<remote_call>();
        entry->peer = peer;
        entry->answer = answer;
        m_calls.emplace(number, std::move(entry));
    }
    answer->count_with(m_offered);
    answer->on_cancel([this, number, peer] { cancel(number, peer); });
    wire::call message{number, to_wire(request, m_self, steady_clock::now())};
    if (m_network.send(peer, message))
        return;
    remove_call(number);
    answer->fail(peer_failure(peer, "cannot be sent to", false));
}

bool peer_client::on_head(const wire::peer_identity& from, const wire::call_head& head)
{
    const auto entry = find(from, head.number);
    if (!entry)
        return false;
    if (entry->assembly.on_head(head.status).step == assembly_step::forward)
        entry->answer->put_head(make_answer_head(head.status, head.headers));
    else
        abort_call(head.number, *entry, "sent a second head");
    return true;
}

bool peer_client::on_chunk(const wire::peer_identity& from, const wire::call_chunk& chunk)
{
    const auto entry = find(from, chunk.number);
    if (!entry)
        return false;
    const policy::assembly_result result = entry->assembly.on_chunk(chunk.offset, chunk.data);
    if (result.step == assembly_step::broken)
        abort_call(chunk.number, *entry, "left a gap in its answer");
    if (result.step != assembly_step::forward || result.fresh.empty())
        return true;
    if (!entry->answer->try_put_chunk(std::string(result.fresh)))
        abort_call(chunk.number, *entry, "sent more than the caller takes");
    return true;
}

bool peer_client::on_end(const wire::peer_identity& from, const wire::call_end& end)
{
    const auto entry = find(from, end.number);
    if (!entry)
        return false;
    if (entry->assembly.on_end(end.length, end.checksum).step != assembly_step::finished)
    {
        abort_call(end.number, *entry, "sent an answer with a wrong length or checksum");
        return true;
    }
    remove_call(end.number);
    entry->answer->finish();
    return true;
}

bool peer_client::on_refused(const wire::peer_identity& from, const wire::call_refused& refused)
{
    const auto entry = find(from, refused.number);
    if (!entry)
        return false;
    remove_call(refused.number);
    attempt_failure failure = peer_failure(
        entry->peer, "refused: " + std::string(policy::to_string(refused.why.reason)), true);
    failure.refused = refused.why;
    entry->answer->fail(std::move(failure));
    return true;
}

void peer_client::on_connection_lost(const core::address& peer)
{
    fail_calls(peer, true);
}

void peer_client::on_unreachable(const core::address& peer)
{
    fail_calls(peer, false);
}

std::shared_ptr<peer_client::remote_call> peer_client::find(const wire::peer_identity& from,
                                                            core::call_number number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(number);
    if (found == m_calls.end() || found->second->peer != from.node.address)
        return nullptr;
    return found->second;
}

void peer_client::remove_call(core::call_number number)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(number);
}

void peer_client::cancel(core::call_number number, const core::address& peer)
{
    remove_call(number);
    m_network.send(peer, wire::cancel{number, {}});
}

void peer_client::abort_call(core::call_number number, remote_call& broken, const std::string& why)
{
    cancel(number, broken.peer);
    broken.answer->fail(peer_failure(broken.peer, why, true));
}

void peer_client::fail_calls(const core::address& peer, bool may_have_been_sent)
{
    std::vector<std::shared_ptr<remote_call>> lost;
    {
        const std::lock_guard lock(m_mutex);
        for (auto entry = m_calls.begin(); entry != m_calls.end();)
        {
            if (entry->second->peer != peer)
            {
                ++entry;
                continue;
            }
            lost.push_back(entry->second);
            entry = m_calls.erase(entry);
        }
    }
    for (const auto& entry : lost)
    {
        entry->answer->fail(peer_failure(peer, "is not reachable", may_have_been_sent));
    }
}

core::address peer_client::choose_peer(const core::region_id& region,
                                       const std::vector<core::zone_id>& zones)
{
    const fleet_view_ptr view = m_view.get();
    const auto nodes = view->remote_nodes.find(region);
    if (nodes == view->remote_nodes.end())
        return {};
    std::vector<core::address> usable;
    for (const node_addresses& node : nodes->second)
    {
        const bool is_allowed = node.zone.get().empty() || zones.empty() ||
                                std::find(zones.begin(), zones.end(), node.zone) != zones.end();
        if (is_allowed)
            usable.push_back(node.peer);
    }
    if (usable.empty())
        return {};
    const std::lock_guard lock(m_mutex);
    return usable[m_random.below(usable.size())];
}

} // namespace snipeplank::gateway
