#include <cstring>

#include "encoder.hpp"
#include "sha256_text.hpp"

namespace snipeplank::wire
{

namespace
{

std::vector<fb::StreamOrigin> to_structs(const std::vector<fleet::stream_origin>& origins)
{
    std::vector<fb::StreamOrigin> structs;
    structs.reserve(origins.size());
    for (const fleet::stream_origin& item : origins)
    {
        structs.emplace_back(item.stream_key, item.version_key, item.left_ms);
    }
    return structs;
}

} // namespace

flatbuffers::Offset<fb::MemberUpdate> encoder::member(const fleet::member_update& value)
{
    const auto address = text(value.id.address.get());
    const auto caller_address = text(value.caller_address.get());
    const auto zone = text(value.zone.get());
    return fb::CreateMemberUpdate(m_builder, address, value.id.incarnation.get(), caller_address,
                                  zone, static_cast<std::uint8_t>(value.state), value.counter);
}

flatbuffers::Offset<fb::RegionSummary> encoder::region(const fleet::region_summary& value)
{
    const auto name = text(value.region.get());
    const auto entry_points = list<fb::EntryPoint>(
        value.entry_points,
        [this](const fleet::entry_point& item)
        {
            const auto peer = text(item.peer.get());
            return fb::CreateEntryPoint(m_builder, peer, text(item.caller.get()));
        });
    std::vector<fb::ServiceLoad> loads;
    loads.reserve(value.services.size());
    for (const fleet::service_load& item : value.services)
    {
        loads.emplace_back(item.service_key, item.running, item.waiting, item.upstreams);
    }
    const auto services = loads.empty() ? 0 : m_builder.CreateVectorOfStructs(loads);
    return fb::CreateRegionSummary(m_builder, name, value.issuer, value.sequence, value.age_ms,
                                   value.live_nodes, entry_points, services);
}

encoder::body encoder::operator()(const fleet::gossip& value)
{
    const auto target = text(value.target.get());
    const auto sender = member(value.sender);
    const auto sender_region = text(value.sender_region.get());
    const auto members = list<fb::MemberUpdate>(
        value.members, [this](const fleet::member_update& item) { return member(item); });
    std::vector<fb::UpstreamLoad> loads;
    loads.reserve(value.loads.size());
    for (const fleet::upstream_load& item : value.loads)
    {
        loads.emplace_back(item.upstream_key, item.prober, item.sequence, item.running,
                           item.waiting, item.cache_permille, item.age_centis);
    }
    std::vector<fb::UpstreamLeaving> leaving;
    leaving.reserve(value.leaving.size());
    for (const fleet::upstream_leaving& item : value.leaving)
    {
        leaving.emplace_back(item.upstream_key, item.age_ms);
    }
    std::vector<fb::PromptCrash> crashes;
    crashes.reserve(value.prompt_crashes.size());
    for (const fleet::prompt_crash& item : value.prompt_crashes)
    {
        crashes.emplace_back(item.part_key, item.upstream_key, item.sent_ms_ago, item.ms_ago,
                             item.position);
    }
    std::vector<fb::PromptAnswer> answers;
    answers.reserve(value.prompt_answers.size());
    for (const fleet::prompt_answer& item : value.prompt_answers)
    {
        answers.emplace_back(item.part_key, item.ms_ago);
    }
    std::vector<fb::UpstreamLimit> limits;
    limits.reserve(value.limits.size());
    for (const fleet::upstream_limit& item : value.limits)
    {
        limits.emplace_back(item.upstream_key, item.limit_millis, item.age_ms);
    }
    const std::vector<fb::StreamOrigin> origins = to_structs(value.stream_origins);
    const std::vector<fb::StreamOrigin> wanted = to_structs(value.wanted_origins);
    const auto origin_structs = origins.empty() ? 0 : m_builder.CreateVectorOfStructs(origins);
    const auto wanted_structs = wanted.empty() ? 0 : m_builder.CreateVectorOfStructs(wanted);
    const auto limit_structs = limits.empty() ? 0 : m_builder.CreateVectorOfStructs(limits);
    const auto crash_structs = crashes.empty() ? 0 : m_builder.CreateVectorOfStructs(crashes);
    const auto answer_structs = answers.empty() ? 0 : m_builder.CreateVectorOfStructs(answers);
    const auto load_structs = loads.empty() ? 0 : m_builder.CreateVectorOfStructs(loads);
    const auto leaving_structs = leaving.empty() ? 0 : m_builder.CreateVectorOfStructs(leaving);
    const auto regions = list<fb::RegionSummary>(
        value.regions, [this](const fleet::region_summary& item) { return region(item); });

    const auto change_of = [](const fleet::state_change& change)
    { return fb::StateChange(change.era, change.revision); };
    const fb::StateChange configuration = change_of(value.configuration_change);
    const fb::StateChange evacuations = change_of(value.evacuations_change);

    const std::string raw = sha256_from_hex(value.digest.manifest_hash);
    fb::Sha256 sha256;
    std::memcpy(&sha256, raw.data(), raw.size());
    const auto hash_text = raw.empty() ? text(value.digest.manifest_hash) : 0;
    const auto table = fb::CreateGossip(
        m_builder, static_cast<std::uint8_t>(value.kind), value.sequence, target, sender,
        sender_region, value.digest.version.get(), raw.empty() ? nullptr : &sha256, hash_text,
        value.digest.in_force, value.wants_members, members, load_structs, leaving_structs, regions,
        crash_structs, answer_structs, limit_structs, value.nodes_in_fleet, value.nodes_in_region,
        origin_structs, wanted_structs,
        value.configuration_change.revision > 0 ? &configuration : nullptr,
        value.evacuations_change.revision > 0 ? &evacuations : nullptr);
    return {fb::Body::Gossip, table.Union()};
}

encoder::body encoder::operator()(const fleet::config_request& value)
{
    const auto items =
        list<fb::ConfigItem>(value.items,
                             [this](const fleet::config_request::item& item)
                             {
                                 const auto hash = text(item.hash);
                                 return fb::CreateConfigItem(m_builder, hash, text(item.base_hash));
                             });
    return {fb::Body::ConfigRequest, fb::CreateConfigRequest(m_builder, items).Union()};
}

encoder::body encoder::operator()(const fleet::config_reply& value)
{
    const auto hash = text(value.hash);
    const auto whole = text(value.text);
    const auto base_hash = text(value.base_hash);
    const auto delta =
        list<fb::DeltaStep>(value.delta,
                            [this](const fleet::delta_step& step) {
                                return fb::CreateDeltaStep(m_builder, step.copy_from,
                                                           step.copy_count, text(step.append));
                            });
    const auto table = fb::CreateConfigReply(m_builder, hash, value.found, whole, base_hash, delta);
    return {fb::Body::ConfigReply, table.Union()};
}

} // namespace snipeplank::wire
