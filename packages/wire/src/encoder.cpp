#include "encoder.hpp"

#include <snipeplank/wire/codec.hpp>

#include <array>

namespace snipeplank::wire
{

flatbuffers::Offset<flatbuffers::String> encoder::text(const std::string& value)
{
    return value.empty() ? 0 : m_builder.CreateString(value);
}

flatbuffers::Offset<fb::Node> encoder::node(const core::node_id& value)
{
    return fb::CreateNode(m_builder, text(value.address.get()), value.incarnation.get());
}

flatbuffers::Offset<fb::Refusal> encoder::refusal(const policy::refusal& value)
{
    return fb::CreateRefusal(m_builder, static_cast<std::uint8_t>(value.reason),
                             static_cast<std::uint8_t>(value.executed), text(value.remedy),
                             value.retry_after.count(), value.has_reached_upstream);
}

encoder::table_list<fb::Header> encoder::headers(const policy::header_list& value)
{
    return list<fb::Header>(value,
                            [this](const auto& header)
                            {
                                const auto name = text(header.first);
                                const auto content = text(header.second);
                                return fb::CreateHeader(m_builder, name, content);
                            });
}

encoder::table_list<fb::Hop> encoder::path(const std::vector<hop>& value)
{
    return list<fb::Hop>(value,
                         [this](const hop& item)
                         {
                             const auto region = text(item.region.get());
                             const auto zone = text(item.zone.get());
                             return fb::CreateHop(m_builder, region, zone, node(item.node));
                         });
}

flatbuffers::Offset<fb::CallOutcome> encoder::call_outcome(const policy::call_outcome& value)
{
    const auto why = refusal(value.why);
    const auto body = text(value.answer.body);
    const auto answer =
        fb::CreateAnswer(m_builder, value.answer.status, headers(value.answer.headers), body);
    return fb::CreateCallOutcome(m_builder, static_cast<std::uint8_t>(value.kind),
                                 value.settled_through.get(), why, answer);
}

flatbuffers::Offset<fb::CallRequest> encoder::request(const call_request& value)
{
    const auto service = text(value.service.get());
    const auto account = text(value.account.get());
    const auto home = text(value.home.get());
    const auto request_id = text(value.request_id);
    const auto hops = path(value.path);
    const auto method = text(value.method);
    const auto target = text(value.target);
    const auto header_tables = headers(value.headers);
    const auto body = text(value.body);
    return fb::CreateCallRequest(
        m_builder, service, account, home, static_cast<std::uint8_t>(value.residency),
        value.is_interactive, request_id, value.remaining.count(), hops, method, target,
        header_tables, body, value.software_version.get(), value.config_version.get());
}

encoder::body encoder::operator()(const hello& value)
{
    const auto self = node(value.node);
    const auto region = text(value.region.get());
    const auto zone = text(value.zone.get());
    const auto nonce = text(value.nonce);
    const auto proof = text(value.proof);
    const auto table = fb::CreateHello(m_builder, value.protocol, self, region, zone, nonce, proof);
    return {fb::Body::Hello, table.Union()};
}

encoder::body encoder::operator()(const heartbeat& /*value*/)
{
    return {fb::Body::Heartbeat, fb::CreateHeartbeat(m_builder).Union()};
}

encoder::body encoder::operator()(const call& value)
{
    const auto table = fb::CreateCall(m_builder, value.number.get(), request(value.request));
    return {fb::Body::Call, table.Union()};
}

encoder::body encoder::operator()(const call_head& value)
{
    const auto table = fb::CreateCallHead(m_builder, value.number.get(), value.status,
                                          headers(value.headers), value.software_version.get());
    return {fb::Body::CallHead, table.Union()};
}

encoder::body encoder::operator()(const call_chunk& value)
{
    const auto table =
        fb::CreateCallChunk(m_builder, value.number.get(), value.offset, text(value.data));
    return {fb::Body::CallChunk, table.Union()};
}

encoder::body encoder::operator()(const call_end& value)
{
    const auto table =
        fb::CreateCallEnd(m_builder, value.number.get(), value.length, value.checksum);
    return {fb::Body::CallEnd, table.Union()};
}

encoder::body encoder::operator()(const call_refused& value)
{
    const auto table = fb::CreateCallRefused(m_builder, value.number.get(), refusal(value.why));
    return {fb::Body::CallRefused, table.Union()};
}

encoder::body encoder::operator()(const cancel& value)
{
    const auto table = fb::CreateCancel(m_builder, value.number.get(), text(value.ticket));
    return {fb::Body::Cancel, table.Union()};
}

encoder::body encoder::operator()(const reserve& value)
{
    const auto ticket = text(value.ticket);
    const auto table = fb::CreateReserve(m_builder, value.number.get(), ticket,
                                         text(value.body_hash), value.remaining.count());
    return {fb::Body::Reserve, table.Union()};
}

encoder::body encoder::operator()(const reserved& value)
{
    const auto table = fb::CreateReserved(m_builder, value.number.get(), value.reservation.get());
    return {fb::Body::Reserved, table.Union()};
}

encoder::body encoder::operator()(const commit& value)
{
    const auto ticket = text(value.ticket);
    const auto table = fb::CreateCommit(m_builder, value.number.get(), value.reservation.get(),
                                        ticket, request(value.request));
    return {fb::Body::Commit, table.Union()};
}

encoder::body encoder::operator()(const outcome_request& value)
{
    const auto table = fb::CreateOutcomeRequest(m_builder, value.number.get(), value.issuer.get(),
                                                text(value.ticket));
    return {fb::Body::OutcomeRequest, table.Union()};
}

encoder::body encoder::operator()(const outcome& value)
{
    const auto table = fb::CreateOutcome(m_builder, value.number.get(), call_outcome(value.result));
    return {fb::Body::Outcome, table.Union()};
}

encoder::body encoder::operator()(const handover& value)
{
    const auto former = node(value.former);
    const auto records = list<fb::OutcomeRecord>(
        value.records,
        [this](const policy::outcome_record& record)
        {
            const auto id = text(record.ticket_id);
            const auto hash = text(record.body_hash);
            return fb::CreateOutcomeRecord(m_builder, id, hash, call_outcome(record.outcome));
        });
    const auto table = fb::CreateHandover(m_builder, former, value.frozen_at.count(), value.part,
                                          value.parts, records);
    return {fb::Body::Handover, table.Union()};
}

encoder::body encoder::operator()(const handover_ack& value)
{
    const auto table = fb::CreateHandoverAck(m_builder, node(value.former), value.part);
    return {fb::Body::HandoverAck, table.Union()};
}

encoder::body encoder::operator()(const policy::quota_message& value)
{
    std::vector<fb::QuotaAsk> asks;
    asks.reserve(value.asks.size());
    for (const policy::quota_ask& item : value.asks)
    {
        asks.emplace_back(item.account.get(), item.needed, item.asked_at_ms, item.wait_ms,
                          static_cast<std::uint8_t>(item.kind));
    }
    std::vector<fb::QuotaGrant> grants;
    grants.reserve(value.grants.size());
    for (const policy::quota_grant& item : value.grants)
    {
        grants.emplace_back(item.account.get(), item.units, item.asked_at_ms, item.age_ms,
                            item.has_prospect);
    }
    const auto ask_structs = asks.empty() ? 0 : m_builder.CreateVectorOfStructs(asks);
    const auto grant_structs = grants.empty() ? 0 : m_builder.CreateVectorOfStructs(grants);
    const auto table = fb::CreateQuotaMessage(m_builder, value.asker, ask_structs, grant_structs);
    return {fb::Body::QuotaMessage, table.Union()};
}

core::result<std::string> encode(const message& msg)
{
    flatbuffers::FlatBufferBuilder builder;
    const encoder::body body = std::visit(encoder(builder), msg);
    fb::FinishFrameBuffer(builder,
                          fb::CreateFrame(builder, protocol_version, body.kind, body.table));
    const std::size_t size = builder.GetSize();
    if (size > max_frame_bytes)
    {
        return core::fail(core::error_code::frame_too_large,
                          "a message of kind " + std::string(kind_name(msg)) + " takes " +
                              std::to_string(size) + " bytes, above the limit of " +
                              std::to_string(max_frame_bytes),
                          "send a smaller body or lower max_body");
    }
    std::string frame;
    frame.reserve(length_bytes + size);
    constexpr unsigned bits_in_byte = 8;
    for (unsigned i = 0; i < length_bytes; ++i)
    {
        frame += static_cast<char>(size >> (i * bits_in_byte));
    }
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    return frame;
}

std::string_view kind_name(const message& msg)
{
    static constexpr std::array<std::string_view, std::variant_size_v<message>> names = {
        "hello",   "heartbeat", "gossip",       "config_request", "config_reply",
        "call",    "call_head", "call_chunk",   "call_end",       "call_refused",
        "cancel",  "reserve",   "reserved",     "commit",         "outcome_request",
        "outcome", "handover",  "handover_ack", "quota_message"};
    return names[msg.index()];
}

} // namespace snipeplank::wire
