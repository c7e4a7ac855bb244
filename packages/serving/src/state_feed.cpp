#include <snipeplank/core/base64.hpp>
#include <snipeplank/core/compression.hpp>
#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/json_text.hpp>
#include <snipeplank/core/printable.hpp>
#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/http/message.hpp>
#include <snipeplank/serving/state_feed.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <initializer_list>

namespace snipeplank::serving
{

namespace
{

using nlohmann::json;

constexpr char watcher_key[] = "state watchers";
constexpr char instance_name[] = "instance";
constexpr char wanted_name[] = "want";
constexpr char known_name[] = "known";
constexpr char base64_suffix[] = "_base64";
/// Values of at least this size are compressed.
constexpr std::size_t min_compressed_bytes = 4'096;
/// Largest value that a compressed one may give.
constexpr std::size_t max_value_bytes = 8'388'608;

auto invalid(const std::string& what)
{
    return core::fail(core::error_code::config_invalid, "the state of a peer: " + what,
                      "run the same release on all nodes");
}

std::uint64_t number_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool bool_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

/// Whether one of these fields is there and of another type than `is_valid` asks for. Unreadable is
/// not absent: a state of unknown age would count as new.
bool has_unreadable(const json& object, std::initializer_list<const char*> names,
                    bool (json::*is_valid)() const noexcept)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const char* name)
                       {
                           const auto found = object.find(name);
                           return found != object.end() && !((*found).*is_valid)();
                       });
}

/// Puts a text that may hold any bytes. Strings of JSON are UTF-8: other bytes go as base64, since
/// a text in which some were replaced is another one, which may be valid.
void put_bytes(json& object, const std::string& name, const std::string& bytes)
{
    if (core::is_utf8(bytes))
        object[name] = bytes;
    else
        object[name + base64_suffix] = core::encode_base64(bytes);
}

/// Reads a text that `put_bytes` has put.
/// @param[out] bytes the text; unchanged where the object has none
/// @return whether the text can be read, or is absent
bool take_bytes(const json& object, const std::string& name, std::optional<std::string>& bytes)
{
    const auto plain = object.find(name);
    const auto encoded = object.find(name + base64_suffix);
    if (plain != object.end())
    {
        if (!plain->is_string() || encoded != object.end())
            return false;
        bytes = plain->get<std::string>();
        return true;
    }
    if (encoded == object.end())
        return true;
    if (encoded->is_string())
        bytes = core::decode_base64(encoded->get<std::string>());
    return bytes.has_value();
}

/// Reads a value, compressed or not.
/// @param[out] value unchanged where the object has none
/// @return whether the value can be read, or is absent
bool take_value(const json& object, std::optional<std::string>& value)
{
    const auto compressed = object.find("value_zlib");
    if (compressed == object.end())
        return take_bytes(object, "value", value);
    const std::uint64_t size = number_of(object, "value_bytes");
    if (!compressed->is_string() || size > max_value_bytes || object.contains("value") ||
        object.contains(std::string("value") + base64_suffix))
        return false;
    const auto bytes = core::decode_base64(compressed->get<std::string>());
    value = bytes ? core::decompress(*bytes, size) : std::nullopt;
    return value.has_value();
}

/// Encodes a value that is long enough to be compressed; nothing for any other.
using value_encoder = std::function<const std::string*(const replica_event& event)>;

json to_json(const replica_changes& changes, const value_encoder& encode_long)
{
    json events = json::array();
    for (const replica_event& event : changes.events)
    {
        json each = {{"revision", event.revision}};
        put_bytes(each, "key", event.key);
        const std::string* compressed = encode_long(event);
        if (compressed != nullptr)
        {
            each["value_zlib"] = *compressed;
            each["value_bytes"] = event.value->size();
        }
        else if (event.value)
            put_bytes(each, "value", *event.value);
        events.push_back(std::move(each));
    }
    json pending = json::array();
    for (const pending_removal& removal : changes.pending)
    {
        json each = {{"revision", removal.revision}, {"remaining_ms", removal.remaining.count()}};
        put_bytes(each, "key", removal.key);
        pending.push_back(std::move(each));
    }
    return {{"complete", changes.is_complete},
            {"as_of", changes.as_of},
            {"era", changes.era},
            {"position", changes.position},
            {"events", std::move(events)},
            {"pending_removals", std::move(pending)}};
}

/// A duration in milliseconds; one that no node can mean counts as the longest.
core::milliseconds duration_of(const json& object, const char* name)
{
    constexpr std::uint64_t max_ms = 3'600'000;
    return core::milliseconds{static_cast<long>(std::min(number_of(object, name), max_ms))};
}

core::result<std::vector<pending_removal>> to_pending(const json& object)
{
    std::vector<pending_removal> pending;
    const auto found = object.find("pending_removals");
    if (found == object.end())
        return pending;
    if (!found->is_array())
        return invalid("the pending removals are no list");
    for (const json& each : *found)
    {
        std::optional<std::string> key;
        if (!each.is_object() || !take_bytes(each, "key", key) || !key)
            return invalid("a pending removal lacks its key");
        if (has_unreadable(each, {"revision", "remaining_ms"}, &json::is_number_unsigned))
            return invalid("a pending removal has an unreadable number");
        pending.push_back(
            {std::move(*key), number_of(each, "revision"), duration_of(each, "remaining_ms")});
    }
    return pending;
}

core::result<replica_changes> to_changes(const json& object)
{
    const auto events = object.find("events");
    if (!object.is_object() || events == object.end() || !events->is_array())
        return invalid("a prefix lacks its events");
    if (has_unreadable(object, {"as_of", "position", "era"}, &json::is_number_unsigned) ||
        has_unreadable(object, {"complete"}, &json::is_boolean))
        return invalid("a prefix has an unreadable field");
    replica_changes changes;
    changes.is_complete = bool_of(object, "complete");
    changes.as_of = number_of(object, "as_of");
    changes.position = number_of(object, "position");
    changes.era = number_of(object, "era");
    for (const json& each : *events)
    {
        std::optional<std::string> key;
        if (!each.is_object() || !take_bytes(each, "key", key) || !key)
            return invalid("an event lacks its key");
        if (has_unreadable(each, {"revision"}, &json::is_number_unsigned))
            return invalid("an event has an unreadable revision");
        replica_event event{std::move(*key), std::nullopt, number_of(each, "revision")};
        if (!take_value(each, event.value))
            return invalid("the value of '" + event.key + "' is not text");
        changes.events.push_back(std::move(event));
    }
    auto pending = to_pending(object);
    if (!pending)
        return boost::outcome_v2::failure(pending.error());
    changes.pending = std::move(pending.value());
    return changes;
}

core::result<std::map<std::string, feed_summary>> to_summaries(const json& document)
{
    std::map<std::string, feed_summary> summaries;
    const auto found = document.find("left_out");
    if (found == document.end())
        return summaries;
    if (!found->is_object())
        return invalid("what is left out is not an object");
    for (const auto& [prefix, object] : found->items())
    {
        if (!object.is_object() || !object.contains("age_ms") ||
            has_unreadable(object, {"era", "changed", "age_ms"}, &json::is_number_unsigned))
            return invalid("a prefix that is left out has an unreadable field");
        summaries[prefix] = {{number_of(object, "era"), number_of(object, "changed")},
                             duration_of(object, "age_ms")};
    }
    return summaries;
}

constexpr std::array<std::pair<state_kind, const char*>, state_kind_count> age_names{{
    {state_kind::configuration, "confirmed_age_ms"},
    {state_kind::evacuations, "evacuations_age_ms"},
    {state_kind::upstreams, "upstreams_age_ms"},
}};

/// Reads the revision of a prefix, written as ERA.REVISION.PREFIX; one that is damaged is left out.
void take_known(std::string_view text, std::map<std::string, store_revision>& known)
{
    const std::size_t first = text.find('.');
    const std::size_t second = text.find('.', first == text.npos ? first : first + 1);
    if (second == text.npos)
        return;
    const auto era = http::parse_number(text.substr(0, first));
    const auto revision = http::parse_number(text.substr(first + 1, second - first - 1));
    if (era && revision)
        known[std::string(text.substr(second + 1))] = {*era, *revision};
}

} // namespace

std::optional<core::milliseconds>& state_feed::confirmed_age_of(state_kind kind)
{
    if (kind == state_kind::configuration)
        return confirmed_age;
    return kind == state_kind::evacuations ? evacuations_age : upstreams_age;
}

std::optional<core::milliseconds> state_feed::confirmed_age_of(state_kind kind) const
{
    return const_cast<state_feed*>(this)->confirmed_age_of(kind); // NOLINT: only read
}

bool feed_position::wants(const std::string& prefix, store_revision changed) const
{
    if (!wanted.empty() && !wanted.contains(prefix))
        return false;
    const auto own = known.find(prefix);
    return own == known.end() || own->second < changed;
}

std::string feed_encoder::encode(const state_feed& feed)
{
    const auto encode_long = [this](const replica_event& event) -> const std::string*
    {
        if (!event.value || event.value->size() < min_compressed_bytes)
            return nullptr;
        const std::uint64_t hash = core::hash64(*event.value);
        encoded_value& known = m_values[event.key];
        if (known.text.empty() || known.hash != hash)
            known = {hash, core::encode_base64(core::compress(*event.value))};
        return &known.text;
    };
    json prefixes = json::object();
    for (const auto& [prefix, changes] : feed.prefixes)
    {
        prefixes[prefix] = to_json(changes, encode_long);
    }
    json left_out = json::object();
    for (const auto& [prefix, summary] : feed.left_out)
    {
        left_out[prefix] = {{"era", summary.changed.era},
                            {"changed", summary.changed.revision},
                            {"age_ms", summary.age.count()}};
    }
    json document = {{"instance", feed.instance},
                     {"age_ms", feed.age.count()},
                     {"reachable", feed.is_source_reachable},
                     {"prefixes", std::move(prefixes)},
                     {"left_out", std::move(left_out)}};
    for (const auto& [kind, name] : age_names)
    {
        if (const auto age = feed.confirmed_age_of(kind))
            document[name] = age->count();
    }
    return core::json_text(document);
}

std::string encode_feed(const state_feed& feed)
{
    return feed_encoder().encode(feed);
}

core::result<state_feed> decode_feed(const std::string& text)
{
    const json document = json::parse(text, nullptr, false);
    const auto prefixes = document.is_object() ? document.find("prefixes") : document.end();
    if (!document.is_object() || prefixes == document.end() || !prefixes->is_object())
        return invalid("not an object with prefixes");
    if (!document.contains("age_ms") ||
        has_unreadable(
            document,
            {"instance", "age_ms", "confirmed_age_ms", "evacuations_age_ms", "upstreams_age_ms"},
            &json::is_number_unsigned) ||
        has_unreadable(document, {"reachable"}, &json::is_boolean))
        return invalid("it lacks its age, or has an unreadable field");
    state_feed feed;
    feed.instance = number_of(document, "instance");
    feed.age = duration_of(document, "age_ms");
    feed.is_source_reachable = bool_of(document, "reachable");
    for (const auto& [kind, name] : age_names)
    {
        if (document.contains(name))
            feed.confirmed_age_of(kind) = duration_of(document, name);
    }
    auto summaries = to_summaries(document);
    if (!summaries)
        return boost::outcome_v2::failure(summaries.error());
    feed.left_out = std::move(summaries.value());
    for (const auto& [prefix, object] : prefixes->items())
    {
        auto changes = to_changes(object);
        if (!changes)
            return boost::outcome_v2::failure(changes.error());
        feed.prefixes[prefix] = std::move(changes.value());
    }
    return feed;
}

http::request_target encode_position(const feed_position& position)
{
    http::request_target target(state_path);
    target.add(instance_name, position.instance);
    for (const auto& [prefix, since] : position.prefixes)
    {
        target.add(prefix, since);
    }
    for (const std::string& prefix : position.wanted)
    {
        target.add(wanted_name, prefix);
    }
    for (const auto& [prefix, own] : position.known)
    {
        target.add(known_name,
                   std::to_string(own.era) + "." + std::to_string(own.revision) + "." + prefix);
    }
    return target;
}

feed_position decode_position(std::string_view query)
{
    feed_position position;
    for (const auto& [name, text] : http::query_parameters(query))
    {
        const std::uint64_t value = http::parse_number(text).value_or(0);
        if (name == instance_name)
            position.instance = value;
        else if (name == wanted_name)
            position.wanted.insert(text);
        else if (name == known_name)
            take_known(text, position.known);
        else
            position.prefixes[name] = value;
    }
    return position;
}

std::optional<core::address> feed_selector::choose(const std::vector<core::address>& region_nodes,
                                                   core::time_point now) const
{
    if (region_nodes.size() + 1 <= max_nodes_without_followers)
        return std::nullopt;
    std::vector<core::address> nodes = region_nodes;
    nodes.push_back(m_self);
    const auto by_score = [](const std::string& key)
    {
        return [key](const core::address& a, const core::address& b)
        { return core::rendezvous_score(key, a.get()) > core::rendezvous_score(key, b.get()); };
    };
    std::partial_sort(nodes.begin(), nodes.begin() + watchers_per_region, nodes.end(),
                      by_score(watcher_key));
    nodes.resize(watchers_per_region);
    if (std::find(nodes.begin(), nodes.end(), m_self) != nodes.end())
        return std::nullopt;
    std::sort(nodes.begin(), nodes.end(), by_score(m_self.get()));
    for (const core::address& each : nodes)
    {
        const auto failed = m_failed.find(each);
        if (failed == m_failed.end() || failed->second <= now)
            return each;
    }
    return std::nullopt;
}

void feed_selector::on_failed(const core::address& node, core::time_point now)
{
    std::erase_if(m_failed, [&](const auto& each) { return each.second <= now; });
    m_failed[node] = now + failure_backoff;
}

bool feed_follower::is_usable(const state_feed& feed) const
{
    const auto is_told_of = [&](const std::string& document)
    {
        const auto summary = feed.left_out.find(document);
        return summary != feed.left_out.end() && summary->second.age <= max_document_age;
    };
    return feed.is_source_reachable && feed.age <= max_age &&
           std::all_of(m_prefixes.begin(), m_prefixes.end(),
                       [&](const std::string& prefix) { return feed.prefixes.contains(prefix); }) &&
           std::all_of(m_documents.begin(), m_documents.end(), is_told_of);
}

bool feed_follower::on_feed(const core::address& node, const state_feed& feed, core::time_point now)
{
    if (!is_usable(feed))
    {
        on_failed(node, now);
        return false;
    }
    // Positions are those of one process.
    if (m_position.instance != feed.instance)
    {
        m_position = {feed.instance, {}};
        m_as_of.clear();
    }
    for (const auto& [prefix, changes] : feed.prefixes)
    {
        m_position.prefixes[prefix] = changes.position;
        m_as_of[prefix] = {changes.era, changes.as_of};
    }
    m_following_until = now - feed.age + max_state_age;
    return true;
}

feed_position feed_follower::position(const std::map<std::string, store_revision>& as_of) const
{
    feed_position position = m_position;
    std::erase_if(position.prefixes,
                  [&](const auto& each)
                  {
                      const auto own = as_of.find(each.first);
                      return own == as_of.end() || own->second != m_as_of.at(each.first);
                  });
    return position;
}

} // namespace snipeplank::serving
