#include "decoder.hpp"

namespace snipeplank::wire
{

core::node_id decoder::node(const fb::Node* from)
{
    if (from == nullptr)
    {
        return {};
    }
    return {core::address{text(from->address())}, core::incarnation{from->incarnation()}};
}

policy::refusal decoder::refusal(const fb::Refusal* from)
{
    if (from == nullptr)
    {
        m_is_valid = false;
        return {};
    }
    policy::refusal to;
    to.reason = enumerator(from->reason(), policy::last_refusal_reason);
    to.executed = enumerator(from->executed(), policy::execution::yes);
    to.remedy = text(from->remedy());
    to.retry_after = milliseconds(from->retry_after_ms());
    to.has_reached_upstream = from->has_reached_upstream();
    return to;
}

policy::header_list
decoder::headers(const flatbuffers::Vector<flatbuffers::Offset<fb::Header>>* from)
{
    policy::header_list to;
    for_each_item(from, min_table_bytes,
                  [&](const fb::Header* header)
                  {
                      std::string name = text(header->name());
                      std::string value = text(header->value());
                      to.emplace_back(std::move(name), std::move(value));
                  });
    return to;
}

policy::call_outcome decoder::call_outcome(const fb::CallOutcome* from)
{
    if (from == nullptr || from->answer() == nullptr)
    {
        m_is_valid = false;
        return {};
    }
    policy::call_outcome to;
    to.kind = enumerator(from->kind(), policy::outcome_kind::unknown);
    to.settled_through = policy::reservation_number{from->settled_through()};
    to.why = refusal(from->why());
    to.answer.status = from->answer()->status();
    to.answer.headers = headers(from->answer()->headers());
    to.answer.body = text(from->answer()->body());
    return to;
}

call_request decoder::request(const fb::CallRequest* from)
{
    if (from == nullptr)
    {
        m_is_valid = false;
        return {};
    }
    call_request to;
    to.service = core::service_id{text(from->service())};
    to.account = core::account_id{text(from->account())};
    to.home = core::region_id{text(from->home())};
    to.residency = enumerator(from->residency(), settings::residency::free);
    to.is_interactive = from->is_interactive();
    to.request_id = text(from->request_id());
    to.remaining = milliseconds(from->remaining_ms());
    for_each_item(from->path(), min_table_bytes,
                  [&](const fb::Hop* item)
                  {
                      to.path.push_back({core::region_id{text(item->region())},
                                         core::zone_id{text(item->zone())}, node(item->node())});
                  });
    to.method = text(from->method());
    to.target = text(from->target());
    to.headers = headers(from->headers());
    to.body = text(from->body());
    to.software_version = policy::software_version_key{from->software_version()};
    to.config_version = core::config_version{from->config_version()};
    return to;
}

hello decoder::decode(const fb::Hello& from)
{
    hello to;
    to.protocol = from.protocol();
    to.node = node(from.node());
    to.region = core::region_id{text(from.region())};
    to.zone = core::zone_id{text(from.zone())};
    to.nonce = text(from.nonce());
    to.proof = text(from.proof());
    return to;
}

heartbeat decoder::decode(const fb::Heartbeat& /*from*/)
{
    return {};
}

call decoder::decode(const fb::Call& from)
{
    return {core::call_number{from.number()}, request(from.request())};
}

call_head decoder::decode(const fb::CallHead& from)
{
    return {core::call_number{from.number()}, from.status(), headers(from.headers()),
            policy::software_version_key{from.software_version()}};
}

call_chunk decoder::decode(const fb::CallChunk& from)
{
    return {core::call_number{from.number()}, from.offset(), text(from.data())};
}

call_end decoder::decode(const fb::CallEnd& from)
{
    return {core::call_number{from.number()}, from.length(), from.checksum()};
}

call_refused decoder::decode(const fb::CallRefused& from)
{
    return {core::call_number{from.number()}, refusal(from.why())};
}

cancel decoder::decode(const fb::Cancel& from)
{
    return {core::call_number{from.number()}, text(from.ticket())};
}

reserve decoder::decode(const fb::Reserve& from)
{
    reserve to;
    to.number = core::call_number{from.number()};
    to.ticket = text(from.ticket());
    to.body_hash = text(from.body_hash());
    to.remaining = milliseconds(from.remaining_ms());
    return to;
}

reserved decoder::decode(const fb::Reserved& from)
{
    return {core::call_number{from.number()}, policy::reservation_number{from.reservation()}};
}

commit decoder::decode(const fb::Commit& from)
{
    commit to;
    to.number = core::call_number{from.number()};
    to.reservation = policy::reservation_number{from.reservation()};
    to.ticket = text(from.ticket());
    to.request = request(from.request());
    return to;
}

outcome_request decoder::decode(const fb::OutcomeRequest& from)
{
    return {core::call_number{from.number()}, core::incarnation{from.issuer()},
            text(from.ticket())};
}

outcome decoder::decode(const fb::Outcome& from)
{
    return {core::call_number{from.number()}, call_outcome(from.result())};
}

handover decoder::decode(const fb::Handover& from)
{
    handover to;
    to.former = node(from.former());
    m_is_valid = m_is_valid && from.frozen_at_ms() >= 0 && from.part() < from.parts();
    to.frozen_at = core::milliseconds(from.frozen_at_ms());
    to.part = from.part();
    to.parts = from.parts();
    for_each_item(
        from.records(), min_table_bytes,
        [&](const fb::OutcomeRecord* record)
        {
            std::string id = text(record->ticket_id());
            std::string hash = text(record->body_hash());
            to.records.push_back({std::move(id), std::move(hash), call_outcome(record->outcome())});
        });
    return to;
}

handover_ack decoder::decode(const fb::HandoverAck& from)
{
    return {node(from.former()), from.part()};
}

policy::quota_message decoder::decode(const fb::QuotaMessage& from)
{
    policy::quota_message to;
    to.asker = from.asker();
    for_each_item(from.asks(), sizeof(fb::QuotaAsk),
                  [&](const fb::QuotaAsk* item)
                  {
                      to.asks.push_back({policy::quota_key{item->account()},
                                         enumerator(item->kind(), policy::last_quota_ask_kind),
                                         item->asked_at_ms(), item->needed(), item->wait_ms()});
                  });
    for_each_item(from.grants(), sizeof(fb::QuotaGrant),
                  [&](const fb::QuotaGrant* item)
                  {
                      to.grants.push_back({policy::quota_key{item->account()}, item->asked_at_ms(),
                                           item->age_ms(), item->units(), item->has_prospect()});
                  });
    return to;
}

message decoder::decode_body(const fb::Frame& frame)
{
    const void* body = frame.body();
    switch (frame.body_type())
    {
    case fb::Body::Hello:
        return decode_as<fb::Hello>(body);
    case fb::Body::Gossip:
        return decode_as<fb::Gossip>(body);
    case fb::Body::ConfigRequest:
        return decode_as<fb::ConfigRequest>(body);
    case fb::Body::ConfigReply:
        return decode_as<fb::ConfigReply>(body);
    case fb::Body::Call:
        return decode_as<fb::Call>(body);
    case fb::Body::CallHead:
        return decode_as<fb::CallHead>(body);
    case fb::Body::CallChunk:
        return decode_as<fb::CallChunk>(body);
    case fb::Body::CallEnd:
        return decode_as<fb::CallEnd>(body);
    case fb::Body::CallRefused:
        return decode_as<fb::CallRefused>(body);
    case fb::Body::Cancel:
        return decode_as<fb::Cancel>(body);
    case fb::Body::Reserve:
        return decode_as<fb::Reserve>(body);
    case fb::Body::Reserved:
        return decode_as<fb::Reserved>(body);
    case fb::Body::Commit:
        return decode_as<fb::Commit>(body);
    case fb::Body::OutcomeRequest:
        return decode_as<fb::OutcomeRequest>(body);
    case fb::Body::Outcome:
        return decode_as<fb::Outcome>(body);
    case fb::Body::Handover:
        return decode_as<fb::Handover>(body);
    case fb::Body::HandoverAck:
        return decode_as<fb::HandoverAck>(body);
    case fb::Body::QuotaMessage:
        return decode_as<fb::QuotaMessage>(body);
    case fb::Body::Heartbeat:
    case fb::Body::NONE:
        break;
    }
    return heartbeat{};
}

core::result<message> decode(std::string_view payload)
{
    const auto verification_failure = [](const std::string& detail)
    {
        return core::fail(core::error_code::frame_unverified, detail,
                          "check that the peer runs snipeplank and that nothing alters its bytes");
    };
    const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier envelope_verifier(data, payload.size());
    if (!envelope_verifier.VerifyBuffer<fb::Envelope>(nullptr))
    {
        return verification_failure("a frame has no readable protocol version");
    }
    const auto version = flatbuffers::GetRoot<fb::Envelope>(data)->protocol();
    if (version != protocol_version)
    {
        return core::fail(core::error_code::frame_wrong_version,
                          "a frame has protocol version " + std::to_string(version) +
                              ", this node uses version " + std::to_string(protocol_version),
                          "run the same release on both nodes");
    }
    flatbuffers::Verifier frame_verifier(data, payload.size());
    if (!fb::VerifyFrameBuffer(frame_verifier))
    {
        return verification_failure("a frame failed FlatBuffers verification");
    }
    const fb::Frame& frame = *fb::GetFrame(data);
    if (frame.body_type() > fb::Body::MAX)
    {
        return core::fail(core::error_code::frame_unknown_message,
                          "a frame has the unknown message kind " +
                              std::to_string(static_cast<unsigned>(frame.body_type())),
                          "run the same release on both nodes");
    }
    if (frame.body_type() == fb::Body::NONE || frame.body() == nullptr)
    {
        return verification_failure("a frame has no message");
    }
    decoder reader(payload.size());
    message read = reader.decode_body(frame);
    if (!reader.is_valid())
    {
        return verification_failure(
            "a frame has a missing field, a value out of range, or more data than its size");
    }
    return read;
}

} // namespace snipeplank::wire
