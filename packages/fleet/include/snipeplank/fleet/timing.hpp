/// @file
/// Intervals and bounds of the fleet protocols.

#ifndef SNIPEPLANK_FLEET_TIMING_HPP
#define SNIPEPLANK_FLEET_TIMING_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>

namespace snipeplank::fleet
{

/// Longest time between two calls of `on_tick` that a driver should allow.
constexpr core::milliseconds tick_interval{100};

constexpr core::milliseconds ping_interval{1'000};
/// Without an answer for this long, other members are asked to ping.
constexpr core::milliseconds direct_ping_timeout{500};
/// Without an answer for this long, directly or through others, the member is suspected.
constexpr core::milliseconds ping_timeout{1'000};
constexpr core::milliseconds suspicion_time{3'000};
/// A roll call precedes the verdict by this much, so that its answers are in.
constexpr core::milliseconds roll_call_lead{1'000};
/// A longer gap between two events means that the process did not run.
constexpr core::milliseconds pause_threshold{2'000};
/// Longest wait between two verdicts on the same suspect. A partition lasts an hour, and a roll
/// call to the whole region every few seconds would cost ten times the budget.
constexpr core::milliseconds verdict_wait_max{60'000};
/// After a start or a freeze, time for probes to answer before roles are taken.
constexpr core::milliseconds probe_again_time{1'000};
/// A listed host that does not answer is tried again after this long.
constexpr core::milliseconds candidate_interval{5'000};
/// The same for a node that knows no other node yet.
constexpr core::milliseconds lone_candidate_interval{1'000};
/// Deaths within this time count as part of the same event for the own-link rule.
constexpr core::milliseconds recent_death_time{10'000};
/// A suspected member that the host list has lacked for this long is declared dead.
constexpr core::milliseconds unlisted_time{10'000};
/// How long a leaving member stays known, so that its tickets can be routed to it.
constexpr core::milliseconds leaving_member_time{900'000};
constexpr std::size_t indirect_pings = 2;
constexpr std::size_t push_fanout = 3;

constexpr core::milliseconds load_lifetime{10'000};
/// A prober's readings are spread this often. With 162 upstreams in a region of 38 nodes, shorter
/// intervals do not fit into the gossip and only displace each other.
constexpr core::milliseconds load_report_interval{8'000};
/// An upstream called leaving gets no new work for at least this long.
constexpr core::milliseconds leaving_hold{60'000};
/// A source that repeats that an upstream is leaving renews the fact this often.
constexpr core::milliseconds leaving_renewal{15'000};

constexpr core::milliseconds summary_lifetime{30'000};
constexpr core::milliseconds exchange_interval{3'000};
/// A region's own summary is renewed this often: twice in a lifetime, and seldom enough that the
/// summaries of 20 regions leave room for loads in the gossip of each region.
constexpr core::milliseconds summary_interval{12'000};

constexpr core::milliseconds activation_delay{2'000};
/// Longest extra wait for the content of a lower hash that was seen while a version settled.
constexpr core::milliseconds conflict_wait{2'000};
/// A starting node waits this long for the second of its two sources.
constexpr core::milliseconds start_wait{1'000};
/// A starting node that cannot complete the highest version takes a lower one after this.
constexpr core::milliseconds start_patience{8'000};
constexpr core::milliseconds fetch_timeout{1'000};
constexpr core::milliseconds candidate_lifetime{30'000};
/// Wait of a watcher's blocking read at the configuration service.
constexpr core::milliseconds watch_wait{30'000};
/// Watchers wait a random time up to this before they read a changed section, so that the first
/// one's peers take a delta from it instead of the whole section from the service.
constexpr core::milliseconds section_read_spread{800};
/// A blocking read that has not returned by then is given up and started anew.
constexpr core::milliseconds watch_timeout{35'000};
constexpr core::milliseconds service_retry_min{1'000};
constexpr core::milliseconds service_retry_spread{1'000};
/// Every node reads the manifest this often, so that a region without watchers still moves on.
constexpr core::milliseconds slow_poll{120'000};
/// A node that is no watcher reads a section from the service after this long without a peer.
constexpr core::milliseconds service_fallback{3'000};
/// Section reads from the service: 96 watchers at this rate use 768 of 2,000 reads a second.
constexpr double watcher_reads_per_second = 8;
/// 790 nodes at this rate use 790 of 2,000 reads a second.
constexpr double other_reads_per_second = 1;

} // namespace snipeplank::fleet

#endif
