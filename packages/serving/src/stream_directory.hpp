/// @file
/// Finds the software version that began a stream, with the other nodes. No clock, no network.

#ifndef SNIPEPLANK_SERVING_SRC_STREAM_DIRECTORY_HPP
#define SNIPEPLANK_SERVING_SRC_STREAM_DIRECTORY_HPP

#include <snipeplank/fleet/messages.hpp>
#include <snipeplank/policy/stream_keepers.hpp>
#include <snipeplank/policy/stream_origins.hpp>
#include <snipeplank/policy/version_history.hpp>
#include <snipeplank/serving/state_timing.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "entry_points.hpp"

namespace snipeplank::serving
{

/// Origins wait this long, so that one message tells several.
constexpr core::milliseconds local_tell_interval{50};
/// Bytes between regions are dear, and a record there is needed only when a region is lost.
constexpr core::milliseconds remote_tell_interval{250};
/// Questions wait this long, so that one message asks several.
constexpr core::milliseconds ask_interval{5};
/// A list of upstreams that was confirmed to be the newest one longer ago shows nothing about the
/// versions that serve by now.
constexpr core::milliseconds max_list_age{4'000};
/// How long a version has to be listed before streams that may be taken up begin at it, while
/// another one can take them: every node knows of it by then, or knows that its own list is too
/// old. Clocks differ in their rate.
constexpr core::milliseconds new_version_wait = max_list_age + core::milliseconds{100};
static_assert(max_list_age >= state_timing::max_follower_delay);
static_assert(max_list_age >= state_timing::max_watcher_delay);
/// With fewer nodes of its region to ask, a node asks one of each other region, too.
constexpr std::size_t min_local_nodes_asked = 2;
/// Origins, or questions, in one message.
constexpr std::size_t max_origins_per_message = 40;
/// Messages to one node at a time; the rest waits.
constexpr std::size_t max_messages_per_node = 8;

/// @brief Where the origin of a stream that is taken up is known from.
enum class origin_source
{
    unknown,
    record,            ///< a record of this node
    told,              ///< a record of another node
    only_version,      ///< no other can have begun it, as this node saw
    told_only_version, ///< no other can have begun it, as another node saw
    ambiguous,         ///< records name different versions
};

constexpr std::size_t origin_source_count = static_cast<std::size_t>(origin_source::ambiguous) + 1;

std::string_view to_string(origin_source source);

/// @brief Origin of a stream that a caller takes up.
struct found_origin
{
    policy::software_version_key version; ///< 0: not known
    origin_source source = origin_source::unknown;
    std::size_t asked = 0;    ///< other nodes
    std::size_t answered = 0; ///< of those
};

/// @brief A stream that a caller takes up.
struct taken_up_stream
{
    policy::stream_key stream; ///< 0: the caller does not name it
    core::service_id service;
};

/// @brief Sends origins and questions to other nodes.
class origin_network
{
  public:
    virtual ~origin_network() = default;

    virtual void send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                              std::vector<fleet::stream_origin> wanted) = 0;

    /// @brief Asks for a call of `stream_directory::send_due` after this time, or earlier.
    virtual void wake_in(core::milliseconds span) = 0;
};

/// @brief Nodes to which a question goes.
struct asked_nodes
{
    std::set<core::address> local;
    std::set<core::address> remote;
    bool needs_remote = true; ///< the answers of the region alone do not settle the question
};

/// @brief A question to other nodes. Settled when a record was found, or when all have answered
/// whose answer is needed.
class origin_question
{
  public:
    origin_question(taken_up_stream about, asked_nodes asked)
        : m_about(std::move(about)), m_asked(asked.local.size() + asked.remote.size()),
          m_asks_far(!asked.remote.empty()), m_open(std::move(asked))
    {
    }

    /// @brief Sets what is called once, when the question is settled.
    void on_settled(std::function<void()> action) { m_on_settled = std::move(action); }

    bool is_settled() const
    {
        return m_has_record || (m_open.local.empty() && (m_open.remote.empty() || has_enough()));
    }

    bool asks_far() const { return m_asks_far; }

  private:
    friend class stream_directory;

    void on_answer(const core::address& from, const fleet::stream_origin& answer);
    std::size_t answered() const { return m_asked - m_open.local.size() - m_open.remote.size(); }
    bool has_enough() const { return !m_open.needs_remote && answered() > 0; }

    taken_up_stream m_about;
    std::size_t m_asked;
    bool m_asks_far;
    asked_nodes m_open;                                ///< those that have not answered yet
    std::set<policy::software_version_key> m_inferred; ///< answers without a record
    bool m_has_record = false;
    std::function<void()> m_on_settled;
};

/// @brief Counters for metrics.
struct directory_counters
{
    std::uint64_t told = 0;     ///< origins sent to keepers
    std::uint64_t asked = 0;    ///< questions sent
    std::uint64_t answered = 0; ///< answers sent
    std::uint64_t messages = 0; ///< that carried them
    std::array<std::uint64_t, origin_source_count> take_ups{};
};

/// @brief Knows which software version began each stream that may still be taken up.
///
/// Origins are told to a few other nodes unless every node can infer them: while a node knows only
/// one version that can have begun a stream, it tells nothing, and tells what it holds when another
/// version appears. Not thread-safe.
class stream_directory
{
  public:
    /// @param network outlives the object
    /// @param list_age time since the list of upstreams was confirmed to be the newest one,
    /// suspended time included; nothing if it does not follow the published state
    stream_directory(core::region_id region, origin_network& network,
                     std::function<std::optional<core::milliseconds>()> list_age);

    /// @brief Sets the other nodes that answer.
    void set_nodes(const std::vector<live_node>& others, core::time_point now);

    /// @brief Sets the longest time for which a client may wait for a stream, by the routes.
    void set_longest_stream(core::milliseconds longest) { m_longest_by_routes = longest; }

    /// @brief Sets the list of upstreams of all regions. O(upstreams).
    void set_upstreams(const upstream_map& upstreams, core::time_point now);

    /// @brief Whether a stream that may be taken up should begin at this version, if others can
    /// take it, too.
    bool may_begin_at(const core::service_id& service, policy::software_version_key version,
                      core::time_point now) const;

    /// @brief Records which software version began a stream, before its first event is sent to the
    /// caller.
    /// @param left how long the stream may still be taken up
    void on_begun(const taken_up_stream& begun, policy::software_version_key version,
                  core::milliseconds left, core::time_point now);

    /// @brief The version that began a stream if this node knows it without asking.
    found_origin find(const taken_up_stream& wanted, core::time_point now) const;

    /// @brief Asks the nodes that may know. The answers are used when `conclude` is called, and
    /// none after the question was destroyed.
    std::shared_ptr<origin_question> ask(const taken_up_stream& wanted, core::time_point now);

    /// @brief What the answers to a question, and this node's own list, say. Counts the take-up.
    found_origin conclude(const origin_question& asked, core::time_point now);

    /// @brief Counts a take-up that needed no question.
    void count(const found_origin& found);

    /// @brief Handles origins, answers and questions of another node.
    void on_received(const fleet::gossip& received, core::time_point now);

    /// @brief Records that the list of upstreams may have been an old one until now.
    void interrupt(core::time_point now) { m_history.interrupt(now); }

    /// @brief Tells what is held of a service of which other versions may serve by now. Called now
    /// and then: the list of upstreams may cease to be current without any other event.
    void check_versions(core::time_point now);

    /// @brief Sends what is due. Called after `origin_network::wake_in`.
    void send_due(core::time_point now);

    /// @brief Sends all that waits, before the node ends.
    void send_all(core::time_point now);

    const directory_counters& counters() const { return m_counters; }
    std::size_t held(core::time_point now) const { return m_origins.size(now); }

  private:
    /// What waits to be sent to a node.
    struct queue
    {
        core::time_point due{};
        std::vector<fleet::stream_origin> origins;
        std::vector<fleet::stream_origin> wanted;
    };

    bool is_list_current() const;
    bool knows_what_others_knew(core::time_point now) const;
    std::optional<policy::software_version_key> only_version(policy::service_key service,
                                                             core::time_point now) const;
    core::milliseconds lifetime() const;
    void tell(const policy::held_stream& held, core::time_point now);
    void tell_keeper(const core::address& keeper, const policy::held_stream& held,
                     core::time_point now);
    /// Tells the nodes that have come to be keepers since the other nodes were last compared.
    /// O(held streams x nodes) when they differ.
    void tell_new_keepers(core::time_point now);
    /// Whether every node can infer the version, so that origins with it are not told.
    bool is_untold(policy::software_version_key version) const;
    void enqueue(const core::address& to, core::milliseconds wait, core::time_point now,
                 std::vector<fleet::stream_origin> queue::*list, const fleet::stream_origin& item);
    fleet::stream_origin answer_to(const fleet::stream_origin& question,
                                   core::time_point now) const;
    void send(const core::address& to, queue& waiting);
    core::region_id m_region;
    origin_network& m_network;
    std::function<std::optional<core::milliseconds>()> m_list_age;
    policy::other_nodes m_nodes;
    std::optional<core::time_point> m_alone_since; ///< when the last other node went
    policy::other_nodes m_told_nodes;              ///< those among which keepers were last chosen
    policy::version_history m_history;
    policy::stream_origins m_origins;
    core::milliseconds m_longest_by_routes{0};
    core::milliseconds m_longest_begun{0}; ///< longest time for which a stream could be taken up
    /// Services of which origins are not told, with the only version, when last checked.
    std::map<policy::service_key, policy::software_version_key> m_untold;
    core::time_point m_checked_at{};
    std::map<core::address, queue> m_queues;
    std::multimap<policy::stream_key, std::weak_ptr<origin_question>> m_questions;
    directory_counters m_counters;
};

} // namespace snipeplank::serving

#endif
