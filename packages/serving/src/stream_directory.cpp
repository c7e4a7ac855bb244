#include "stream_directory.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeplank::serving
{

namespace
{

/// Clients may wait longer than the routes say.
constexpr core::milliseconds min_lifetime{10'000};

/// A node that did not check its list for longer did not run, and may still have an old one.
constexpr core::milliseconds max_check_gap{2'000};

policy::service_key key_of(const core::service_id& service)
{
    return policy::service_key{fleet::service_key(service)};
}

fleet::stream_origin to_wire(const policy::held_stream& held)
{
    return {held.stream.get(), held.origin.version.get(),
            static_cast<std::uint32_t>(held.origin.left.count())};
}

/// Moves items from the end of `from`.
std::vector<fleet::stream_origin> take(std::vector<fleet::stream_origin>& from, std::size_t count)
{
    const auto first = from.end() - static_cast<std::ptrdiff_t>(std::min(count, from.size()));
    std::vector<fleet::stream_origin> taken(first, from.end());
    from.erase(first, from.end());
    return taken;
}

} // namespace

std::string_view to_string(origin_source source)
{
    constexpr std::array<std::string_view, origin_source_count> names{
        "unknown", "record", "told", "only_version", "told_only_version", "ambiguous"};
    return names.at(static_cast<std::size_t>(source));
}

void origin_question::on_answer(const core::address& from, const fleet::stream_origin& answer)
{
    if (is_settled() || m_open.local.erase(from) + m_open.remote.erase(from) == 0)
        return;
    if (answer.left_ms > 0)
        m_has_record = true;
    else if (answer.version_key != 0)
        m_inferred.insert(policy::software_version_key{answer.version_key});
    if (is_settled() && m_on_settled)
        std::exchange(m_on_settled, nullptr)();
}

stream_directory::stream_directory(core::region_id region, origin_network& network,
                                   std::function<std::optional<core::milliseconds>()> list_age)
    : m_region(std::move(region)), m_network(network), m_list_age(std::move(list_age))
{
}

void stream_directory::set_nodes(const std::vector<live_node>& others, core::time_point now)
{
    const bool had_others = m_nodes != policy::other_nodes{};
    m_nodes = {};
    for (const live_node& each : others)
    {
        (each.region == m_region ? m_nodes.local : m_nodes.remote[each.region])
            .push_back(each.peer);
    }
    std::erase_if(m_queues,
                  [&](const auto& waiting)
                  {
                      return std::none_of(others.begin(), others.end(),
                                          [&](const live_node& each)
                                          { return each.peer == waiting.first; });
                  });
    if (had_others && others.empty())
        m_alone_since = now;
    const bool has_first = (m_told_nodes.local.empty() && !m_nodes.local.empty()) ||
                           (m_told_nodes.remote.empty() && !m_nodes.remote.empty());
    if (has_first)
        tell_new_keepers(now);
}

void stream_directory::tell_new_keepers(core::time_point now)
{
    if (m_told_nodes == m_nodes)
        return;
    const policy::other_nodes before = std::exchange(m_told_nodes, m_nodes);
    for (const policy::held_stream& each : m_origins.held(now))
    {
        if (is_untold(each.origin.version))
            continue;
        const std::vector<core::address> told = policy::keepers_to_tell(each.stream, before);
        for (const core::address& keeper : policy::keepers_to_tell(each.stream, m_nodes))
        {
            if (std::find(told.begin(), told.end(), keeper) == told.end())
                tell_keeper(keeper, each, now);
        }
    }
}

bool stream_directory::is_untold(policy::software_version_key version) const
{
    return std::any_of(m_untold.begin(), m_untold.end(),
                       [&](const auto& each) { return each.second == version; });
}

void stream_directory::set_upstreams(const upstream_map& upstreams, core::time_point now)
{
    policy::listed_versions listed;
    for (const auto& [id, known] : upstreams)
    {
        const auto version = policy::software_version_of(known.service, known.software_version);
        const auto [earliest, is_first] =
            listed[key_of(known.service)].try_emplace(version, known.started_ms);
        earliest->second = std::min(earliest->second, known.started_ms);
    }
    m_history.observe(listed, now);
    check_versions(now);
}

core::milliseconds stream_directory::lifetime() const
{
    return std::max({m_longest_by_routes, m_longest_begun, min_lifetime});
}

bool stream_directory::is_list_current() const
{
    const auto age = m_list_age();
    return age && *age <= max_list_age;
}

/// Whether a node that knows no other one has read the list since the last of them was there.
bool stream_directory::knows_what_others_knew(core::time_point now) const
{
    const auto age = m_list_age();
    return age && (!m_alone_since || now - *m_alone_since >= *age);
}

bool stream_directory::may_begin_at(const core::service_id& service,
                                    policy::software_version_key version,
                                    core::time_point now) const
{
    return m_history.is_known_for(key_of(service), version, new_version_wait, now);
}

std::optional<policy::software_version_key>
stream_directory::only_version(policy::service_key service, core::time_point now) const
{
    // Versions that are gone are not remembered for longer.
    if (!is_list_current() || lifetime() > policy::stream_origins::max_lifetime)
        return std::nullopt;
    return m_history.only_version(service, lifetime(), now);
}

void stream_directory::check_versions(core::time_point now)
{
    const core::time_point last_check = std::exchange(m_checked_at, now);
    if (!is_list_current() || now - last_check > max_check_gap)
        interrupt(now);
    tell_new_keepers(now);
    std::set<policy::software_version_key> begins_to_differ;
    for (const auto& [service, version] : m_untold)
    {
        if (only_version(service, now) != version)
            begins_to_differ.insert(version);
    }
    if (begins_to_differ.empty())
        return;
    std::erase_if(m_untold,
                  [&](const auto& each) { return begins_to_differ.contains(each.second); });
    for (const policy::held_stream& each : m_origins.held(now))
    {
        if (begins_to_differ.contains(each.origin.version))
            tell(each, now);
    }
}

void stream_directory::on_begun(const taken_up_stream& begun, policy::software_version_key version,
                                core::milliseconds left, core::time_point now)
{
    const auto known = m_origins.find(begun.stream, now);
    if (begun.stream == policy::stream_key{} || (known && known->version == version))
        return;
    m_longest_begun = std::max(m_longest_begun, left);
    const policy::held_stream held{begun.stream,
                                   {version, std::min(left, policy::stream_origins::max_lifetime)}};
    m_origins.record(held.stream, held.origin, now);
    const policy::service_key service = key_of(begun.service);
    if (only_version(service, now) == version)
        m_untold[service] = version;
    else
        tell(held, now);
}

void stream_directory::tell(const policy::held_stream& held, core::time_point now)
{
    for (const core::address& each : policy::keepers_to_tell(held.stream, m_nodes))
    {
        tell_keeper(each, held, now);
    }
}

void stream_directory::tell_keeper(const core::address& keeper, const policy::held_stream& held,
                                   core::time_point now)
{
    const bool is_local =
        std::find(m_nodes.local.begin(), m_nodes.local.end(), keeper) != m_nodes.local.end();
    enqueue(keeper, is_local ? local_tell_interval : remote_tell_interval, now, &queue::origins,
            to_wire(held));
}

void stream_directory::enqueue(const core::address& to, core::milliseconds wait,
                               core::time_point now, std::vector<fleet::stream_origin> queue::*list,
                               const fleet::stream_origin& item)
{
    queue& waiting = m_queues[to];
    const bool is_first = waiting.origins.empty() && waiting.wanted.empty();
    (waiting.*list).push_back(item);
    if (!is_first && waiting.due <= now + wait)
        return;
    waiting.due = now + wait;
    m_network.wake_in(wait);
}

found_origin stream_directory::find(const taken_up_stream& wanted, core::time_point now) const
{
    const auto known = m_origins.find(wanted.stream, now);
    if (!known)
        return {};
    const bool is_ambiguous = known->version == policy::software_version_key{};
    return {known->version, is_ambiguous ? origin_source::ambiguous : origin_source::record, 0, 0};
}

std::shared_ptr<origin_question> stream_directory::ask(const taken_up_stream& wanted,
                                                       core::time_point now)
{
    const policy::service_key service = key_of(wanted.service);
    const std::vector<core::address> local = policy::local_keepers_to_ask(wanted.stream, m_nodes);
    asked_nodes asked;
    asked.local = {local.begin(), local.end()};
    // What a node can infer is checked against the nodes near by only, if there is a record to find
    // and one of them answers.
    const bool is_named = wanted.stream != policy::stream_key{};
    asked.needs_remote = !is_named || !only_version(service, now);
    if (asked.needs_remote || asked.local.size() < min_local_nodes_asked)
    {
        const auto remote = policy::remote_keepers_to_ask(wanted.stream, m_nodes);
        asked.remote = {remote.begin(), remote.end()};
    }
    for (const std::set<core::address>* nodes : {&asked.local, &asked.remote})
    {
        for (const core::address& each : *nodes)
        {
            ++m_counters.asked;
            enqueue(each, ask_interval, now, &queue::wanted,
                    {wanted.stream.get(), service.get(), 0});
        }
    }
    auto question = std::make_shared<origin_question>(wanted, std::move(asked));
    std::erase_if(m_questions, [](const auto& each) { return each.second.expired(); });
    m_questions.emplace(wanted.stream, question);
    return question;
}

found_origin stream_directory::conclude(const origin_question& asked, core::time_point now)
{
    found_origin found = find(asked.m_about, now);
    found.asked = asked.m_asked;
    found.answered = asked.answered();
    if (found.source == origin_source::record && asked.m_has_record)
        found.source = origin_source::told;
    if (found.source != origin_source::unknown)
    {
        count(found);
        return found;
    }
    const policy::service_key service = key_of(asked.m_about.service);
    // This node may be out of step: where others exist, one of them at least has to answer.
    const bool is_confirmed =
        found.answered > 0 || (found.asked == 0 && knows_what_others_knew(now));
    const auto own = only_version(service, now);
    const bool is_agreed =
        asked.m_inferred.empty() ||
        (asked.m_inferred.size() == 1 && !asked.m_inferred.contains(policy::several_versions));
    if (is_agreed && is_confirmed && own &&
        (asked.m_inferred.empty() || asked.m_inferred.contains(*own)))
    {
        found.version = *own;
        found.source = origin_source::only_version;
    }
    else if (is_agreed && !asked.m_inferred.empty() &&
             lifetime() <= policy::stream_origins::max_lifetime &&
             !m_history.has_other(service, *asked.m_inferred.begin(), lifetime(), now))
    {
        found.version = *asked.m_inferred.begin();
        found.source = origin_source::told_only_version;
    }
    count(found);
    return found;
}

void stream_directory::count(const found_origin& found)
{
    ++m_counters.take_ups.at(static_cast<std::size_t>(found.source));
}

fleet::stream_origin stream_directory::answer_to(const fleet::stream_origin& question,
                                                 core::time_point now) const
{
    const policy::stream_key stream{question.stream_key};
    if (const auto known = m_origins.find(stream, now); known && known->left.count() > 0)
        return to_wire({stream, *known});
    const policy::service_key service{question.version_key};
    policy::software_version_key inferred;
    if (m_history.has_several(service, lifetime(), now))
        inferred = policy::several_versions;
    else if (const auto only = only_version(service, now))
        inferred = *only;
    return {question.stream_key, inferred.get(), 0};
}

void stream_directory::on_received(const fleet::gossip& received, core::time_point now)
{
    const core::address& from = received.sender.id.address;
    for (const fleet::stream_origin& each : received.stream_origins)
    {
        const policy::stream_key stream{each.stream_key};
        if (each.left_ms > 0)
            m_origins.record(
                stream,
                {policy::software_version_key{each.version_key},
                 std::min(core::milliseconds{each.left_ms}, policy::stream_origins::max_lifetime)},
                now);
        std::vector<std::shared_ptr<origin_question>> open;
        const auto [first, last] = m_questions.equal_range(stream);
        for (auto question = first; question != last; ++question)
        {
            if (auto waiting = question->second.lock())
                open.push_back(std::move(waiting));
        }
        for (const auto& question : open)
        {
            question->on_answer(from, each);
        }
    }
    queue answers;
    for (const fleet::stream_origin& each : received.wanted_origins)
    {
        if (answers.origins.size() == max_origins_per_message * max_messages_per_node)
            break;
        answers.origins.push_back(answer_to(each, now));
        ++m_counters.answered;
    }
    send(from, answers);
}

void stream_directory::send(const core::address& to, queue& waiting)
{
    for (std::size_t sent = 0; sent < max_messages_per_node; ++sent)
    {
        if (waiting.origins.empty() && waiting.wanted.empty())
            return;
        std::vector<fleet::stream_origin> wanted = take(waiting.wanted, max_origins_per_message);
        std::vector<fleet::stream_origin> origins =
            take(waiting.origins, max_origins_per_message - wanted.size());
        ++m_counters.messages;
        m_network.send_origins(to, std::move(origins), std::move(wanted));
    }
}

void stream_directory::send_due(core::time_point now)
{
    std::optional<core::time_point> next;
    for (auto& [to, waiting] : m_queues)
    {
        if (now >= waiting.due)
        {
            m_counters.told += waiting.origins.size();
            send(to, waiting);
            m_counters.told -= waiting.origins.size();
            waiting.due = now + local_tell_interval;
        }
        if (!waiting.origins.empty() || !waiting.wanted.empty())
            next = std::min(next.value_or(waiting.due), waiting.due);
    }
    std::erase_if(m_queues, [](const auto& each)
                  { return each.second.origins.empty() && each.second.wanted.empty(); });
    if (next)
        m_network.wake_in(
            std::max(core::milliseconds{1}, std::chrono::ceil<core::milliseconds>(*next - now)));
}

void stream_directory::send_all(core::time_point now)
{
    for (auto& [to, waiting] : m_queues)
    {
        waiting.due = now;
    }
    send_due(now);
}

} // namespace snipeplank::serving
