#include "decoder.hpp"
#include "sha256_text.hpp"

namespace snipeplank::wire
{

fleet::member_update decoder::member(const fb::MemberUpdate* from)
{
    if (from == nullptr)
    {
        m_is_valid = false;
        return {};
    }
    fleet::member_update to;
    to.id.address = core::address{text(from->address())};
    to.id.incarnation = core::incarnation{from->incarnation()};
    to.caller_address = core::address{text(from->caller_address())};
    to.zone = core::zone_id{text(from->zone())};
    to.state = enumerator(from->state(), fleet::member_state::dead);
    to.counter = from->counter();
    return to;
}

fleet::region_summary decoder::region(const fb::RegionSummary* from)
{
    fleet::region_summary to;
    to.region = core::region_id{text(from->region())};
    to.issuer = from->issuer();
    to.sequence = from->sequence();
    to.age_ms = from->age_ms();
    to.live_nodes = from->live_nodes();
    for_each_item(from->entry_points(), min_table_bytes,
                  [&](const fb::EntryPoint* item)
                  {
                      to.entry_points.push_back(
                          {core::address{text(item->peer())}, core::address{text(item->caller())}});
                  });
    for_each_item(from->services(), sizeof(fb::ServiceLoad),
                  [&](const fb::ServiceLoad* item)
                  {
                      to.services.push_back({item->service_key(), item->upstreams(),
                                             item->running(), item->waiting()});
                  });
    return to;
}

fleet::gossip decoder::decode(const fb::Gossip& from)
{
    fleet::gossip to;
    to.kind = enumerator(from.kind(), fleet::gossip_kind::announce);
    to.sequence = from.sequence();
    to.target = core::address{text(from.target())};
    to.sender = member(from.sender());
    to.sender_region = core::region_id{text(from.sender_region())};
    to.digest.version = core::config_version{from.config_version()};
    to.digest.manifest_hash = text(from.manifest_hash());
    if (from.manifest_sha256() != nullptr)
    {
        const auto* raw = from.manifest_sha256()->bytes();
        to.digest.manifest_hash =
            hex_from_bytes({reinterpret_cast<const char*>(raw->data()), raw->size()});
    }
    to.digest.in_force = from.config_in_force();
    to.wants_members = from.wants_members();
    for_each_item(from.members(), min_table_bytes,
                  [&](const fb::MemberUpdate* item) { to.members.push_back(member(item)); });
    for_each_item(from.loads(), sizeof(fb::UpstreamLoad),
                  [&](const fb::UpstreamLoad* item)
                  {
                      to.loads.push_back({item->upstream_key(), item->prober(), item->sequence(),
                                          item->running(), item->waiting(), item->cache_permille(),
                                          item->age_centis()});
                  });
    for_each_item(from.leaving(), sizeof(fb::UpstreamLeaving),
                  [&](const fb::UpstreamLeaving* item) {
                      to.leaving.push_back({item->upstream_key(), item->age_ms()});
                  });
    for_each_item(from.prompt_crashes(), sizeof(fb::PromptCrash),
                  [&](const fb::PromptCrash* item)
                  {
                      to.prompt_crashes.push_back({item->part_key(), item->upstream_key(),
                                                   item->sent_ms_ago(), item->ms_ago(),
                                                   item->position()});
                  });
    for_each_item(from.prompt_answers(), sizeof(fb::PromptAnswer),
                  [&](const fb::PromptAnswer* item) {
                      to.prompt_answers.push_back({item->part_key(), item->ms_ago()});
                  });
    for_each_item(
        from.limits(), sizeof(fb::UpstreamLimit),
        [&](const fb::UpstreamLimit* item) {
            to.limits.push_back({item->upstream_key(), item->limit_millis(), item->age_ms()});
        });
    for (const auto& [items, list] : {std::pair{from.stream_origins(), &to.stream_origins},
                                      std::pair{from.wanted_origins(), &to.wanted_origins}})
    {
        for_each_item(
            items, sizeof(fb::StreamOrigin),
            [list = list](const fb::StreamOrigin* item) {
                list->push_back({item->stream_key(), item->version_key(), item->left_ms()});
            });
    }
    for_each_item(from.regions(), min_table_bytes,
                  [&](const fb::RegionSummary* item) { to.regions.push_back(region(item)); });
    to.nodes_in_fleet = from.nodes_in_fleet();
    to.nodes_in_region = from.nodes_in_region();
    for (const auto& [change, into] :
         {std::pair{from.configuration_change(), &to.configuration_change},
          std::pair{from.evacuations_change(), &to.evacuations_change}})
    {
        if (change != nullptr)
            *into = {change->era(), change->revision()};
    }
    return to;
}

fleet::config_request decoder::decode(const fb::ConfigRequest& from)
{
    fleet::config_request to;
    for_each_item(from.items(), min_table_bytes,
                  [&](const fb::ConfigItem* item) {
                      to.items.push_back({text(item->hash()), text(item->base_hash())});
                  });
    return to;
}

fleet::config_reply decoder::decode(const fb::ConfigReply& from)
{
    fleet::config_reply to;
    to.hash = text(from.hash());
    to.found = from.found();
    to.text = text(from.text());
    to.base_hash = text(from.base_hash());
    for_each_item(
        from.delta(), min_table_bytes,
        [&](const fb::DeltaStep* step) {
            to.delta.push_back({step->copy_from(), step->copy_count(), text(step->append())});
        });
    return to;
}

} // namespace snipeplank::wire
