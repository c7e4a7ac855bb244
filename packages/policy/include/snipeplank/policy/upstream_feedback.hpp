/// @file
/// What upstreams say of themselves in their answers, and what each node may send them for it.
/// Pure.
///
/// Handles these load patterns: an upstream in need that names how many requests a second it takes
/// from all nodes together, one that wants nothing from a node for a while, and one that leaves.
/// The nodes share a limit without counting together: a few of them, the same on every node, send
/// at an equal part of it each, and the others send nothing. So a limit of one request a second
/// holds among hundreds of nodes too, for which an equal part each would be no whole request.

#ifndef SNIPEPLANK_POLICY_UPSTREAM_FEEDBACK_HPP
#define SNIPEPLANK_POLICY_UPSTREAM_FEEDBACK_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/upstream_run_key.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace snipeplank::policy
{

/// @brief What one answer says of the upstream that sent it.
struct upstream_statement
{
    bool is_leaving = false; ///< it takes no new requests
    /// It wants nothing from this node for so long.
    std::optional<core::milliseconds> retry_after;
    /// Requests a second that it takes from all nodes together.
    std::optional<double> limit;
    std::optional<core::milliseconds> cold_for{}; ///< how long it stays cold
};

/// @brief A limit, or its end, as one node tells another.
struct told_limit
{
    upstream_run_key upstream;
    std::optional<double> limit; ///< nothing: it has a limit no longer
    core::milliseconds age{0};   ///< of the answer that said so

    friend bool operator==(const told_limit&, const told_limit&) = default;
};

/// @brief What upstreams said, as one node tells another.
struct told_feedback
{
    std::vector<upstream_run_key> leaving;
    std::vector<told_limit> limits;

    bool is_empty() const { return leaving.empty() && limits.empty(); }
};

/// @brief Decides what this node may send to each upstream that said something of itself. Not
/// thread-safe.
class upstream_feedback
{
  public:
    /// Fewest nodes that share a limit, so that one that ends does not take all of it along.
    static constexpr std::size_t min_senders = 2;
    /// A lower limit counts as this one: only an answer can say that the limit has ended.
    static constexpr double min_limit = 0.1;
    /// Time in which a node may send what it did not send before.
    static constexpr double burst_s = 0.5;
    /// A longer wish of an upstream to be left alone counts as this one.
    static constexpr core::milliseconds max_retry_after{600'000};
    /// How long other nodes are told of an upstream that said something.
    static constexpr core::seconds telling_time{300};

    /// @brief Sets the nodes that may send to the upstreams.
    /// @param nodes nodes of the region that may be running, this one included, in any order; empty
    /// while some may not be known: this node has no part of a limit then
    /// @param self this node's address in `nodes`
    void set_nodes(std::vector<core::address> nodes, core::address self, core::time_point now);

    /// @brief Records what an answer said. An answer without a limit ends one.
    /// @return whether it said something new
    bool on_answer(upstream_run_key upstream, const upstream_statement& said, core::time_point now);

    /// @brief Records what another node was told. O(items * log(upstreams)).
    void on_told(const told_feedback& told, core::time_point now);

    /// @brief Whether the upstream may be sent a request now. O(log(upstreams)).
    bool allows(upstream_run_key upstream, core::time_point now) const;

    /// @brief Counts a request that is about to be sent.
    /// @return whether it may be sent
    bool take(upstream_run_key upstream, core::time_point now);

    /// @brief Whether the upstream said that it leaves.
    bool is_leaving(upstream_run_key upstream) const;

    /// @brief When `allows` may be true again, at the earliest; nothing when this is not known.
    std::optional<core::time_point> allowed_at(upstream_run_key upstream,
                                               core::time_point now) const;

    /// @brief What to tell other nodes, of each kind the newest first. O(upstreams).
    told_feedback to_tell(std::size_t max_items, core::time_point now) const;

    /// @brief Forgets upstreams that said nothing for the telling time and are not listed.
    /// @param is_listed callable that returns whether an upstream is still published
    template <typename IsListed>
    void forget_unlisted(IsListed is_listed, core::time_point now)
    {
        std::erase_if(m_upstreams,
                      [&](const auto& each) {
                          return now - each.second.said_at > telling_time && !is_listed(each.first);
                      });
    }

  private:
    struct state
    {
        core::time_point said_at{};
        bool is_leaving = false;
        core::time_point quiet_until{};
        std::optional<double> limit;
        core::time_point limit_said_at{}; ///< also of the answer that ended it
        double rate = 0;                  ///< this node's part of the limit, requests a second
        double tokens = 0;                ///< requests that may be sent, as of `refilled_at`
        core::time_point refilled_at{};
    };

    void set_limit(upstream_run_key upstream, state& known, std::optional<double> limit,
                   core::time_point at, core::time_point now);
    double share_of(upstream_run_key upstream, double limit) const;
    static void set_rate(state& known, double rate, core::time_point now);
    static double tokens_at(const state& known, core::time_point now);

    std::vector<core::address> m_nodes;
    core::address m_self;
    std::map<upstream_run_key, state> m_upstreams;
};

} // namespace snipeplank::policy

#endif
