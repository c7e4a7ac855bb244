#include <snipeplank/core/hash.hpp>
#include <snipeplank/fleet/config_store.hpp>
#include <snipeplank/fleet/detail/text_delta.hpp>

#include <algorithm>

namespace snipeplank::fleet
{

namespace
{

constexpr std::size_t max_candidates = 8;
constexpr std::size_t max_sources = 8;
/// Bounds the memory for hashes of rejected documents; a document whose hash was dropped is
/// validated again.
constexpr std::size_t max_rejected = 256;

} // namespace

config_store::config_store(config_documents documents, core::random_source& random)
    : m_documents(std::move(documents)), m_reads(random)
{
}

void config_store::start(core::time_point now)
{
    m_started = now;
    m_reads.start(now);
}

void config_store::on_tick(core::time_point now)
{
    drop_stale_candidates(now);
    fetch_missing(now);
    activate_due_version(now);
    if (const auto due = m_reads.take_due(now))
        m_actions.emplace_back(*due);
}

config_store::candidate* config_store::find_or_add(const candidate_key& key, core::time_point now)
{
    const auto known = m_candidates.find(key);
    if (known != m_candidates.end())
        return &known->second;
    if (m_candidates.size() >= max_candidates)
    {
        if (m_candidates.begin()->first > key)
            return nullptr;
        m_candidates.erase(m_candidates.begin());
    }
    candidate& added = m_candidates[key];
    added.first_seen = now;
    added.progress = now;
    const core::milliseconds max_delay = m_config ? max_section_read_delay : core::milliseconds{1};
    added.service_after = now + m_reads.random_delay(max_delay);
    return &added;
}

void config_store::add_source(candidate& wanted, const source& peer)
{
    std::erase_if(wanted.sources, [&](const source& known) { return known.peer == peer.peer; });
    const auto place =
        std::find_if(wanted.sources.begin(), wanted.sources.end(),
                     [&](const source& known) { return known.distance >= peer.distance; });
    wanted.sources.insert(place, peer);
    if (wanted.sources.size() > max_sources)
        wanted.sources.pop_back();
}

void config_store::on_digest(const core::address& from, peer_distance distance,
                             const config_digest& digest, core::time_point now)
{
    if (m_config == nullptr)
        m_answered_peers.insert(from);
    if (digest.version < m_in_force.version || digest.manifest_hash == m_in_force.manifest_hash)
        return;
    if (digest.version.get() == 0 || m_rejected.contains(digest.manifest_hash))
        return;
    if (digest.version == m_in_force.version)
    {
        report_conflict(digest);
        return;
    }
    candidate* wanted = find_or_add({digest.version, digest.manifest_hash}, now);
    if (wanted == nullptr)
        return;
    add_source(*wanted, {from, distance});
    wanted->in_force_at_peer = wanted->in_force_at_peer || digest.in_force;
    if (!wanted->index)
        fetch_missing(now);
}

void config_store::report_conflict(const config_digest& other)
{
    if (m_conflicts.size() >= max_rejected || !m_conflicts.insert(other.manifest_hash).second)
        return;
    m_actions.emplace_back(alarm{alarm_kind::config_conflict,
                                 "version " + std::to_string(other.version.get()) +
                                     " is in force with a different content than manifest " +
                                     other.manifest_hash,
                                 "publish the next version"});
}

void config_store::on_service_manifest(const std::string& text, core::time_point now)
{
    m_reads.on_answer(now);
    const std::string hash = core::sha256_hex(text);
    if (hash != m_in_force.manifest_hash && !m_rejected.contains(hash))
        accept_manifest(hash, text, now);
    on_tick(now);
}

void config_store::on_service_failure(core::time_point now)
{
    m_reads.on_failure(now);
}

void config_store::accept_manifest(const std::string& hash, const std::string& text,
                                   core::time_point now)
{
    core::result<settings::manifest> parsed = m_documents.parse(text);
    if (!parsed)
    {
        reject(hash, parsed.error().to_string());
        return;
    }
    const core::config_version version = parsed.value().version;
    // A digest may have announced this text under another version; the text is authoritative.
    std::erase_if(m_candidates, [&](const auto& entry)
                  { return entry.first.second == hash && entry.first.first != version; });
    if (version < m_in_force.version)
        return;
    if (version == m_in_force.version)
    {
        report_conflict({version, hash, false});
        return;
    }
    candidate* wanted = find_or_add({version, hash}, now);
    if (wanted == nullptr || wanted->index)
        return;
    wanted->index = std::move(parsed).value();
    wanted->progress = now;
    m_manifests[hash] = text;
    complete_candidates(now);
    fetch_missing(now);
}

void config_store::accept_text(const std::string& hash, const std::string& text,
                               core::time_point now)
{
    m_fetches.erase(hash);
    for (auto& [key, wanted] : m_candidates)
    {
        if (key.second == hash && !wanted.index)
        {
            accept_manifest(hash, text, now);
            return;
        }
        if (!wanted.index)
            continue;
        const auto& refs = wanted.index->sections;
        const bool needed = std::any_of(refs.begin(), refs.end(),
                                        [&](const auto& ref) { return ref.sha256 == hash; });
        if (!needed)
            continue;
        m_sections.emplace(hash, text);
        wanted.progress = now;
        complete_candidates(now);
        return;
    }
}

void config_store::on_section(const std::string& text, core::time_point now)
{
    accept_text(core::sha256_hex(text), text, now);
    activate_due_version(now);
}

void config_store::on_request(const core::address& from, const config_request& request)
{
    constexpr std::size_t max_items = 16;
    std::size_t served = 0;
    for (const config_request::item& item : request.items)
    {
        if (++served > max_items)
            return;
        config_reply reply;
        reply.hash = item.hash;
        const std::string* text = find_text(item.hash);
        const std::string* base = find_text(item.base_hash);
        reply.found = text != nullptr;
        if (text != nullptr && base != nullptr)
        {
            reply.delta = detail::make_delta(*base, *text);
            reply.base_hash = item.base_hash;
            if (2 * estimated_size(reply) > text->size())
                reply.delta.clear();
        }
        if (text != nullptr && reply.delta.empty())
        {
            reply.text = *text;
            reply.base_hash.clear();
        }
        m_actions.emplace_back(send_message{from, std::move(reply)});
    }
}

void config_store::on_reply(const core::address& from, const config_reply& reply,
                            core::time_point now)
{
    const auto asked = m_fetches.find(reply.hash);
    if (asked == m_fetches.end())
        return;
    std::string text = reply.text;
    if (!reply.delta.empty())
    {
        const std::string* base = find_text(reply.base_hash);
        const auto rebuilt =
            base == nullptr ? std::nullopt : detail::apply_delta(*base, reply.delta);
        text = rebuilt.value_or(std::string{});
    }
    const bool intact = reply.found && core::sha256_hex(text) == reply.hash;
    if (!intact)
    {
        if (reply.found)
            m_actions.emplace_back(
                alarm{alarm_kind::config_corrupt,
                      "text from " + from.get() + " does not match hash " + reply.hash,
                      "check that peer; the text is fetched from another source"});
        if (asked->second.asked == from)
            asked->second.until = now;
        return;
    }
    accept_text(reply.hash, text, now);
    activate_due_version(now);
}

void config_store::reject(const std::string& hash, const std::string& message)
{
    if (m_rejected.size() >= max_rejected)
        m_rejected.clear();
    m_rejected.insert(hash);
    std::erase_if(m_candidates, [&](const auto& entry) { return entry.first.second == hash; });
    m_actions.emplace_back(alarm{alarm_kind::config_invalid, "manifest " + hash + ": " + message,
                                 "publish a corrected configuration as the next version"});
}

bool config_store::has_sections(const settings::manifest& index) const
{
    return std::all_of(index.sections.begin(), index.sections.end(),
                       [&](const auto& ref) { return m_sections.contains(ref.sha256); });
}

void config_store::complete_candidates(core::time_point now)
{
    std::vector<std::pair<std::string, std::string>> invalid;
    for (auto& [key, wanted] : m_candidates)
    {
        if (wanted.config != nullptr || !wanted.index || !has_sections(*wanted.index))
            continue;
        auto built = m_documents.build(*wanted.index, m_sections);
        if (!built)
        {
            invalid.emplace_back(key.second, built.error().to_string());
            continue;
        }
        wanted.config = std::move(built).value();
        m_urgent = true;
    }
    for (const auto& [hash, message] : invalid)
        reject(hash, message);
    activate_due_version(now);
}

const std::string* config_store::find_text(const std::string& hash) const
{
    if (const auto found = m_manifests.find(hash); found != m_manifests.end())
        return &found->second;
    const auto found = m_sections.find(hash);
    return found == m_sections.end() ? nullptr : &found->second;
}

config_digest config_store::digest() const
{
    for (auto entry = m_candidates.rbegin(); entry != m_candidates.rend(); ++entry)
    {
        if (entry->second.config == nullptr)
            continue;
        const candidate_key* best = best_of_version(entry->first.first);
        return {best->first, best->second, false};
    }
    return m_in_force;
}

} // namespace snipeplank::fleet
