/// @file
/// Intervals and timeouts of reading the published state, and the delays that follow from them.

#ifndef SNIPEPLANK_SERVING_STATE_TIMING_HPP
#define SNIPEPLANK_SERVING_STATE_TIMING_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/configuration_lease.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/state_feed.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace snipeplank::serving::state_timing
{

constexpr core::milliseconds connect_timeout{500};
/// Time for the head of an answer that is due at once.
constexpr core::milliseconds read_timeout{2'000};
/// Time without a further byte of an answer that has begun.
constexpr core::milliseconds progress_timeout{2'000};
/// Time for the whole of an answer that has begun: a document of 1 MB, in base64, at 1 Mbit/s.
constexpr core::milliseconds transfer_timeout{12'000};
/// How long the store may hold a watch open. A connection that has gone silent is detected only
/// after this time, and a configuration must be in force 4 s after its confirmation to the
/// operator.
constexpr core::milliseconds watch_wait{1'500};
/// Part of the time in which a revocation binds for which a watch of the configuration is held
/// open. The lease of a node counts from the question: with two watches, two copies from other
/// nodes on the way and one of them late it holds still.
constexpr int watches_per_revocation = 7;

/// @brief How long the store may hold a watch of the configuration open.
constexpr core::milliseconds operator_watch_wait(const lease_terms& terms)
{
    return terms.is_strict ? std::min(watch_wait, terms.limit / watches_per_revocation)
                           : watch_wait;
}

/// Further time for the answer to a watch to arrive before the watch fails.
constexpr core::milliseconds watch_response_margin{1'200};
/// Minimum time between the starts of two watches, per node of the fleet. Servers renew their
/// entries continuously, and one watch returns all renewals since the one before. The interval
/// grows with the fleet, so that the load on the store does not.
constexpr core::milliseconds watch_interval_per_node{10};
constexpr core::milliseconds min_watch_interval{250};
constexpr core::milliseconds max_watch_interval{1'000};
constexpr core::milliseconds retry_delay{200};
/// The same after an answer that was of no use.
constexpr core::milliseconds refused_retry_delay{400};
/// State that was confirmed longer ago is read as a whole: the changes in between grow with time,
/// and only the last one of each item counts.
constexpr core::milliseconds max_history_age{3'000};
/// A document takes up at most this part of the time of a node, inverse.
constexpr int document_time_part = 4;
constexpr core::milliseconds tick_interval{200};
/// Interval at which the state is copied from a peer while the store fails.
constexpr core::milliseconds peer_copy_interval{1'000};
/// The same for a node that has no state yet and refuses every request.
constexpr core::milliseconds initial_copy_interval{250};
/// @brief Interval at which the state is copied from a peer while the store fails. Shorter in the
/// second half of a lease: a copy from a node that has no newer confirmation does not extend it.
/// @param age of the confirmation of the configuration
constexpr core::milliseconds copy_interval(const lease_terms& terms,
                                           std::optional<core::milliseconds> age)
{
    const bool is_ending = terms.is_strict && age && *age > terms.limit / 2 && *age <= terms.limit;
    return is_ending ? initial_copy_interval : peer_copy_interval;
}

/// A document whose transfer has taken this long is copied from another node.
constexpr core::milliseconds slow_transfer{1'000};
/// How long reads of the store must have failed before the state is copied from a peer.
constexpr core::milliseconds peer_copy_delay{500};
/// Interval at which a follower asks its node for changes.
constexpr core::milliseconds follow_interval{700};
/// Time for the head of the answer to a follower.
constexpr core::milliseconds follow_timeout{600};
/// Least time between two copies of other nodes.
constexpr core::milliseconds min_copy_interval{100};
/// A document that another node has named is copied from there once this node's own was confirmed
/// longer ago: until then its usual path is about to bring it.
constexpr core::milliseconds late_document_age{1'500};

/// Longest time from the confirmation of a change until a node that watches the store has applied
/// it: its connection went silent just before, and is replaced.
constexpr core::milliseconds max_watcher_delay =
    watch_wait + watch_response_margin + retry_delay + connect_timeout;

/// The same for a follower: the node that it follows got no further answer and then stopped
/// answering itself.
constexpr core::milliseconds max_follower_delay =
    feed_follower::max_state_age + tick_interval + connect_timeout;

/// The same for a node that the store turns away while another node that it copies is up to date.
constexpr core::milliseconds max_copy_delay =
    max_follower_delay + peer_copy_delay + peer_copy_interval + connect_timeout + read_timeout;

/// What the link and the loop of a node add to a read, beside its timeouts.
struct read_stages
{
    core::milliseconds transfer{0}; ///< bytes of the answer over the link
    core::milliseconds loop{0};     ///< wait for the thread, decoding and application
};

/// @brief Interval between two watches of a kind that changes all the time.
/// @param nodes of the fleet
constexpr core::milliseconds watch_interval_for(std::size_t nodes)
{
    return std::clamp(watch_interval_per_node * static_cast<long>(nodes), min_watch_interval,
                      max_watch_interval);
}

/// @brief Longest time from the confirmation of a change until a node that watches the store has
/// applied it, with what the link and the loop take: its connection went silent just before, and
/// the state is listed anew.
/// @param interval between two watches
constexpr core::milliseconds max_watcher_delay_with(core::milliseconds interval, read_stages read)
{
    return interval + max_watcher_delay + read.transfer + read.loop;
}

/// @brief The same for a node that is told of the change by another one that has it: a document
/// waits until its usual path is late, and comes compressed.
constexpr core::milliseconds max_told_delay_with(read_stages read)
{
    return late_document_age + min_copy_interval + peer_copy_interval + connect_timeout +
           read.transfer + read.loop;
}

/// Added to the delay of a removal that a node learns of shortly after an outage of the store.
constexpr core::milliseconds max_removal_grace = replica::recovery_grace + tick_interval;

} // namespace snipeplank::serving::state_timing

#endif
