/// @file
/// The published configuration of one node: how documents are fetched, validated and put in force.
///
/// Every node applies the same rules to the same documents:
/// - versions lower than the one in force and invalid documents are ignored;
/// - a new version waits for `activation_delay`; of two contents seen in that time the one with the
///   lower manifest hash wins, except that a content that a peer has in force takes precedence;
/// - the content in force is never replaced by another one under the same version; that raises an
///   alarm instead.
///
/// Texts are identified by their SHA-256, so any peer can supply them without being trusted.

#ifndef SNIPEPLANK_FLEET_CONFIG_STORE_HPP
#define SNIPEPLANK_FLEET_CONFIG_STORE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/actions.hpp>
#include <snipeplank/fleet/detail/service_reads.hpp>
#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/fleet/timing.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::fleet
{

/// @brief Parsers of the documents. Both must be deterministic functions of the texts.
struct config_documents
{
    std::function<core::result<settings::manifest>(const std::string& text)> parse;
    std::function<core::result<std::shared_ptr<const settings::published_config>>(
        const settings::manifest& index, const std::map<std::string, std::string>& sections)>
        build;
};

/// @brief Network distance of a peer; nearer peers are asked first.
enum class peer_distance
{
    same_zone,
    same_region,
    other_region,
};

/// @brief State machine that distributes and activates the configuration. Not thread-safe.
///
/// @code
/// config_store store{documents, random};
/// store.start(now);
/// store.on_digest(peer, peer_distance::same_zone, digest, now);
/// perform(store.take_actions());
/// @endcode
class config_store
{
  public:
    config_store(config_documents documents, core::random_source& random);

    void start(core::time_point now);

    /// @brief Fetches missing texts and puts versions in force whose activation delay is over.
    void on_tick(core::time_point now);

    /// @brief Handles the digest of a gossip message.
    void on_digest(const core::address& from, peer_distance distance, const config_digest& digest,
                   core::time_point now);

    void on_service_manifest(const std::string& text, core::time_point now);

    /// @brief The configuration service did not answer a manifest read.
    void on_service_failure(core::time_point now);

    /// @brief Handles a section text from any source. O(length).
    void on_section(const std::string& text, core::time_point now);

    void on_request(const core::address& from, const config_request& request);
    void on_reply(const core::address& from, const config_reply& reply, core::time_point now);

    void set_watcher(bool watcher, core::time_point now) { m_reads.set_watcher(watcher, now); }

    /// @brief The digest to send to peers: the newest complete version, even if not yet in force.
    config_digest digest() const;

    /// @brief The digest in force; version 0 when none is.
    const config_digest& in_force() const { return m_in_force; }

    /// @brief The configuration in force, or null.
    std::shared_ptr<const settings::published_config> config() const { return m_config; }

    /// @brief Whether a new digest must be pushed at once; resets the flag.
    bool take_urgent() { return std::exchange(m_urgent, false); }

    action_list take_actions() { return std::exchange(m_actions, {}); }

  private:
    struct source
    {
        core::address peer;
        peer_distance distance;
    };

    /// One content that may be put in force.
    struct candidate
    {
        core::time_point first_seen;
        core::time_point progress; ///< when its last text arrived
        std::optional<settings::manifest> index;
        std::shared_ptr<const settings::published_config> config; ///< set when complete
        std::vector<source> sources;                              ///< nearest first
        bool in_force_at_peer = false;
        core::time_point service_after; ///< earliest section read from the service by a watcher
    };

    /// A text that was requested from a peer or the service.
    struct fetch
    {
        core::time_point until; ///< when the request times out
        unsigned tries = 0;
        core::address asked;
    };

    using candidate_key = std::pair<core::config_version, std::string>;
    using candidate_map = std::map<candidate_key, candidate>;

    candidate* find_or_add(const candidate_key& key, core::time_point now);
    void add_source(candidate& wanted, const source& peer);
    void accept_manifest(const std::string& hash, const std::string& text, core::time_point now);
    void accept_text(const std::string& hash, const std::string& text, core::time_point now);
    void reject(const std::string& hash, const std::string& message);
    void report_conflict(const config_digest& other);
    void complete_candidates(core::time_point now);
    bool has_sections(const settings::manifest& index) const;
    void drop_stale_candidates(core::time_point now);
    void activate_due_version(core::time_point now);
    bool has_start_sources(core::time_point now) const;
    const candidate_key* best_of_version(core::config_version version) const;
    bool is_due(const candidate_key& key, core::time_point now) const;
    bool is_due_at_start(const candidate_key& key, core::time_point now) const;
    void put_in_force(const candidate_key& key);
    void remove_unused_texts();
    void fetch_missing(core::time_point now);
    void fetch_texts(const candidate_key& key, const candidate& wanted, core::time_point now);
    std::vector<config_request::item> missing_items(const candidate_key& key,
                                                    const candidate& wanted) const;
    bool may_read_service(const candidate& wanted, const fetch& state, core::time_point now);
    std::string base_for(const std::string& section_name) const;
    const std::string* find_text(const std::string& hash) const;

    config_documents m_documents;
    detail::service_reads m_reads;
    candidate_map m_candidates;
    std::map<std::string, fetch> m_fetches;
    std::map<std::string, std::string> m_manifests;
    std::map<std::string, std::string> m_sections;
    std::deque<settings::manifest> m_history;     ///< manifests that were in force, newest first
    std::deque<std::string> m_retained_manifests; ///< hashes of these manifests, newest first
    std::set<std::string> m_rejected;
    std::set<std::string> m_conflicts;
    std::set<core::address> m_answered_peers;
    config_digest m_in_force;
    std::shared_ptr<const settings::published_config> m_config;
    core::time_point m_started;
    action_list m_actions;
    bool m_urgent = false;
};

} // namespace snipeplank::fleet

#endif
