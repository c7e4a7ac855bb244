/// @file
/// Conversion of messages to FlatBuffers tables.

#ifndef SNIPEPLANK_WIRE_SRC_ENCODER_HPP
#define SNIPEPLANK_WIRE_SRC_ENCODER_HPP

#include <snipeplank/wire/generated/frame_generated.h>
#include <snipeplank/wire/messages.hpp>

#include <string>

namespace snipeplank::wire
{

/// @brief Builds the body of one frame. Each overload returns the union member and its kind.
class encoder
{
  public:
    struct body
    {
        fb::Body kind;
        flatbuffers::Offset<void> table;
    };

    explicit encoder(flatbuffers::FlatBufferBuilder& builder) : m_builder(builder) {}

    body operator()(const hello& value);
    body operator()(const heartbeat& value);
    body operator()(const fleet::gossip& value);
    body operator()(const fleet::config_request& value);
    body operator()(const fleet::config_reply& value);
    body operator()(const call& value);
    body operator()(const call_head& value);
    body operator()(const call_chunk& value);
    body operator()(const call_end& value);
    body operator()(const call_refused& value);
    body operator()(const cancel& value);
    body operator()(const reserve& value);
    body operator()(const reserved& value);
    body operator()(const commit& value);
    body operator()(const outcome_request& value);
    body operator()(const outcome& value);
    body operator()(const handover& value);
    body operator()(const handover_ack& value);
    body operator()(const policy::quota_message& value);

  private:
    template <typename Table>
    using offset = flatbuffers::Offset<Table>;
    template <typename Table>
    using table_list = offset<flatbuffers::Vector<offset<Table>>>;

    /// Omits an empty string.
    offset<flatbuffers::String> text(const std::string& value);
    offset<fb::Node> node(const core::node_id& value);
    offset<fb::Refusal> refusal(const policy::refusal& value);
    offset<fb::CallOutcome> call_outcome(const policy::call_outcome& value);
    offset<fb::CallRequest> request(const call_request& value);
    offset<fb::MemberUpdate> member(const fleet::member_update& value);
    offset<fb::RegionSummary> region(const fleet::region_summary& value);
    table_list<fb::Header> headers(const policy::header_list& value);
    table_list<fb::Hop> path(const std::vector<hop>& value);

    /// Creates a vector with one table for each item. Omits an empty list.
    template <typename Table, typename Items, typename Encode>
    table_list<Table> list(const Items& items, Encode encode_item)
    {
        if (items.empty())
        {
            return 0;
        }
        std::vector<offset<Table>> tables;
        tables.reserve(items.size());
        for (const auto& item : items)
        {
            tables.push_back(encode_item(item));
        }
        return m_builder.CreateVector(tables);
    }

    flatbuffers::FlatBufferBuilder& m_builder;
};

} // namespace snipeplank::wire

#endif
