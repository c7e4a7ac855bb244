/// @file
/// Copies of the published state between nodes of a region. Pure.
///
/// Handles this load pattern: hundreds of nodes that each watch the same small state make the load
/// on its source grow with the fleet. In each region a few nodes watch the source and the others
/// follow one of them. A follower whose node stops answering, or answers with old state, reads the
/// source itself, so no node depends on another.

#ifndef SNIPEPLANK_SERVING_STATE_FEED_HPP
#define SNIPEPLANK_SERVING_STATE_FEED_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/http/request_target.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/state_kind.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeplank::serving
{

/// @brief What a node knows below a prefix of which it sends no changes: they were not asked for,
/// or there are none since the revision that the other node has.
struct feed_summary
{
    store_revision changed;    ///< the newest change
    core::milliseconds age{0}; ///< since the source last answered

    friend bool operator==(const feed_summary&, const feed_summary&) = default;
};

/// @brief Answer of a node to another that copies its state.
struct state_feed
{
    std::uint64_t instance = 0; ///< identifies the process; positions are valid for one process
    core::milliseconds age{0};  ///< since the source last answered for what is in `prefixes`
    std::map<std::string, replica_changes> prefixes; ///< by key prefix; without unknown ones
    bool is_source_reachable = true;                 ///< the last read of the source succeeded
    /// Since the answering node's configuration was confirmed; nothing: it vouches for nothing.
    std::optional<core::milliseconds> confirmed_age = std::nullopt;
    /// The same for its list of upstreams.
    std::optional<core::milliseconds> upstreams_age = std::nullopt;
    /// The same for its evacuations.
    std::optional<core::milliseconds> evacuations_age = std::nullopt;
    std::map<std::string, feed_summary> left_out = {}; ///< by key prefix

    /// @brief Since the answering node's state of a kind was confirmed.
    std::optional<core::milliseconds>& confirmed_age_of(state_kind kind);
    std::optional<core::milliseconds> confirmed_age_of(state_kind kind) const;
};

/// @brief What a node asks of another one, and what it has already.
struct feed_position
{
    std::uint64_t instance = 0;
    std::map<std::string, std::uint64_t> prefixes; ///< position by key prefix
    std::set<std::string> wanted = {};             ///< key prefixes to send; empty: all
    /// Revision of the own state, by key prefix: nothing is to be sent that is not newer.
    std::map<std::string, store_revision> known = {};

    /// @brief Whether the changes below a prefix are to be sent.
    /// @param changed the newest change there
    bool wants(const std::string& prefix, store_revision changed) const;
};

/// @brief Encodes feeds as JSON. Keys and values keep their bytes: those that are not UTF-8 go as
/// base64. Long values are compressed, each revision once for all nodes that ask. Not thread-safe.
class feed_encoder
{
  public:
    std::string encode(const state_feed& feed);

  private:
    struct encoded_value
    {
        std::uint64_t hash = 0; ///< of the value
        std::string text;
    };

    std::map<std::string, encoded_value> m_values; ///< the long ones, by key
};

/// @brief Encodes one feed.
std::string encode_feed(const state_feed& feed);

/// @brief Decodes a feed.
/// @return the feed, or an error that names the invalid field
core::result<state_feed> decode_feed(const std::string& text);

/// Path at which a node answers with its state.
constexpr char state_path[] = "/v1/state";

/// @brief Target of a request for the changes after a position.
http::request_target encode_position(const feed_position& position);

/// @brief Decodes the query of a request; an unknown or damaged one gives the empty position.
feed_position decode_position(std::string_view query);

/// @brief Chooses the node that a node follows. Not thread-safe.
class feed_selector
{
  public:
    /// Nodes of a region that watch the source.
    static constexpr std::size_t watchers_per_region = 2;
    /// In a region of at most this many nodes each one watches the source.
    static constexpr std::size_t max_nodes_without_followers = 3;
    /// A node that failed is not followed again for this long.
    static constexpr core::milliseconds failure_backoff{3'000};

    /// @param self how the nodes of the region address this node
    explicit feed_selector(core::address self) : m_self(std::move(self)) {}

    /// @brief The node to follow, or nothing when this node reads the source itself.
    /// @param region_nodes live nodes of the region without this one, in any order
    std::optional<core::address> choose(const std::vector<core::address>& region_nodes,
                                        core::time_point now) const;

    /// @brief Records that a node did not answer, or answered with old state.
    void on_failed(const core::address& node, core::time_point now);

  private:
    core::address m_self;
    std::map<core::address, core::time_point> m_failed; ///< with the end of the backoff
};

/// @brief Decides whether a node follows another, and what it accepts from it. Not thread-safe.
class feed_follower
{
  public:
    /// A node whose own state is older than this is not followed.
    static constexpr core::milliseconds max_age{2'500};
    /// The same for a document, which takes longer to read.
    static constexpr core::milliseconds max_document_age{4'000};
    /// A node reads the source itself once what it received is older than this.
    static constexpr core::milliseconds max_state_age{3'200};

    /// @param self how the nodes of the region address this node
    /// @param prefixes key prefixes whose changes a feed must have
    /// @param documents key prefixes that it must at least tell of
    feed_follower(core::address self, std::vector<std::string> prefixes,
                  std::vector<std::string> documents = {})
        : m_selector(std::move(self)), m_prefixes(std::move(prefixes)),
          m_documents(std::move(documents))
    {
    }

    /// @brief The node to ask for changes, or nothing when this node reads the source itself.
    /// @param region_nodes live nodes of the region without this one, in any order
    std::optional<core::address> choose(const std::vector<core::address>& region_nodes,
                                        core::time_point now) const
    {
        return m_selector.choose(region_nodes, now);
    }

    /// @brief Records a node's answer. One that is too old or incomplete, or comes from a node that
    /// cannot read the source, counts as a failure.
    /// @return whether its changes are to be applied
    bool on_feed(const core::address& node, const state_feed& feed, core::time_point now);

    /// @brief Records that a node did not answer.
    void on_failed(const core::address& node, core::time_point now)
    {
        m_selector.on_failed(node, now);
    }

    /// @brief Whether this node received recent changes and need not read the source itself.
    bool is_following(core::time_point now) const { return now < m_following_until; }

    /// @brief What was received so far, for the next request. Empty for a prefix whose state here
    /// is not what the followed node had: it may have removed items that it never knew.
    /// @param as_of revisions of this node's state, by prefix
    feed_position position(const std::map<std::string, store_revision>& as_of) const;

  private:
    bool is_usable(const state_feed& feed) const;

    feed_selector m_selector;
    std::vector<std::string> m_prefixes;
    std::vector<std::string> m_documents;
    feed_position m_position;
    std::map<std::string, store_revision> m_as_of; ///< of the followed node, by prefix
    core::time_point m_following_until{};
};

} // namespace snipeplank::serving

#endif
