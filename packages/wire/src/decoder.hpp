/// @file
/// Conversion of verified FlatBuffers tables to messages.

#ifndef SNIPEPLANK_WIRE_SRC_DECODER_HPP
#define SNIPEPLANK_WIRE_SRC_DECODER_HPP

#include <snipeplank/wire/codec.hpp>
#include <snipeplank/wire/generated/frame_generated.h>
#include <snipeplank/wire/messages.hpp>

#include <cstddef>
#include <string>

namespace snipeplank::wire
{

/// @brief Copies one verified frame into a message.
///
/// Several offsets of a verified buffer may refer to the same table or string, so a small frame
/// could expand to gigabytes. Every copied byte is therefore charged to a budget of the size of the
/// frame, which a buffer without shared objects never exceeds.
class decoder
{
  public:
    explicit decoder(std::size_t frame_size) : m_budget(frame_size) {}

    /// @brief The message. Valid only if `is_valid` returns true afterwards.
    message decode_body(const fb::Frame& frame);

    /// @brief False after a missing table, a value out of range or an exhausted budget.
    bool is_valid() const { return m_is_valid; }

  private:
    hello decode(const fb::Hello& from);
    heartbeat decode(const fb::Heartbeat& from);
    fleet::gossip decode(const fb::Gossip& from);
    fleet::config_request decode(const fb::ConfigRequest& from);
    fleet::config_reply decode(const fb::ConfigReply& from);
    call decode(const fb::Call& from);
    call_head decode(const fb::CallHead& from);
    call_chunk decode(const fb::CallChunk& from);
    call_end decode(const fb::CallEnd& from);
    call_refused decode(const fb::CallRefused& from);
    cancel decode(const fb::Cancel& from);
    reserve decode(const fb::Reserve& from);
    reserved decode(const fb::Reserved& from);
    commit decode(const fb::Commit& from);
    outcome_request decode(const fb::OutcomeRequest& from);
    outcome decode(const fb::Outcome& from);
    handover decode(const fb::Handover& from);
    handover_ack decode(const fb::HandoverAck& from);
    policy::quota_message decode(const fb::QuotaMessage& from);

    core::node_id node(const fb::Node* from);
    policy::refusal refusal(const fb::Refusal* from);
    policy::header_list headers(const flatbuffers::Vector<flatbuffers::Offset<fb::Header>>* from);
    policy::call_outcome call_outcome(const fb::CallOutcome* from);
    call_request request(const fb::CallRequest* from);
    fleet::member_update member(const fb::MemberUpdate* from);
    fleet::region_summary region(const fb::RegionSummary* from);

    template <typename Table>
    message decode_as(const void* body)
    {
        return decode(*static_cast<const Table*>(body));
    }

    bool consume_budget(std::size_t bytes)
    {
        m_is_valid = m_is_valid && bytes <= m_budget;
        m_budget -= m_is_valid ? bytes : 0;
        return m_is_valid;
    }

    std::string text(const flatbuffers::String* from)
    {
        return from != nullptr && consume_budget(from->size()) ? from->str() : std::string();
    }

    core::milliseconds milliseconds(std::int64_t count)
    {
        m_is_valid = m_is_valid && count >= 0 && count <= max_duration.count();
        return core::milliseconds(m_is_valid ? count : 0);
    }

    template <typename Enum>
    Enum enumerator(std::uint8_t value, Enum last)
    {
        m_is_valid = m_is_valid && value <= static_cast<std::uint8_t>(last);
        return m_is_valid ? static_cast<Enum>(value) : Enum{};
    }

    /// Calls `append` for every item and charges `item_bytes` to the budget for it.
    template <typename List, typename Append>
    void for_each_item(const List* from, std::size_t item_bytes, Append append)
    {
        if (from == nullptr)
        {
            return;
        }
        for (const auto* item : *from)
        {
            if (!consume_budget(item_bytes))
            {
                return;
            }
            append(item);
        }
    }

    /// Minimum size of a table in a list: its offset in the list and its offset to the vtable.
    static constexpr std::size_t min_table_bytes = 2 * sizeof(flatbuffers::uoffset_t);

    std::size_t m_budget;
    bool m_is_valid = true;
};

} // namespace snipeplank::wire

#endif
