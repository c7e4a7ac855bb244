/// @file
/// Intervals, timeouts and limits of the fleet protocols.

#ifndef SNIPEPLANK_FLEET_TIMING_HPP
#define SNIPEPLANK_FLEET_TIMING_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>

namespace snipeplank::fleet
{

/// Maximum time between two calls of `on_tick`.
constexpr core::milliseconds tick_interval{100};

constexpr core::milliseconds ping_interval{1'000};
/// Without an answer for this long, other members are asked to ping.
constexpr core::milliseconds direct_ping_timeout{500};
/// Without an answer for this long, directly or through others, the member is suspected.
constexpr core::milliseconds ping_timeout{1'000};
constexpr core::milliseconds suspicion_time{3'000};
/// A quorum check precedes the decision by this much, so that its answers arrive in time.
constexpr core::milliseconds quorum_check_time{1'000};
/// A longer gap between two events means that the process was paused.
constexpr core::milliseconds pause_threshold{2'000};
/// Maximum time between two decisions on the same suspect. A partition may last an hour, and a
/// quorum check of the whole region every few seconds would cost ten times the traffic budget.
constexpr core::milliseconds max_suspicion_time{60'000};
/// Time for probes to be answered after a start or a pause, before the node takes roles.
constexpr core::milliseconds reprobe_time{1'000};
/// A listed host that does not answer is pinged again after this long.
constexpr core::milliseconds candidate_interval{5'000};
/// The same interval for a node that knows no other member yet.
constexpr core::milliseconds lone_candidate_interval{1'000};
/// Deaths within this time count as one event when the node decides whether to suspect its link.
constexpr core::milliseconds recent_death_window{10'000};
/// A suspected member that has been missing from the host list for this long is declared dead.
constexpr core::milliseconds unlisted_time{10'000};
/// A leaving member stays in the table for this long, so that its tickets can be routed to it.
constexpr core::milliseconds leaving_member_time{900'000};
constexpr std::size_t indirect_pings = 2;
constexpr std::size_t push_fanout = 3;

constexpr core::milliseconds load_lifetime{10'000};
/// A prober gossips a sample of each upstream this often. With 162 upstreams in a region of 38
/// nodes, reports at shorter intervals exceed the gossip budget and displace each other.
constexpr core::milliseconds load_report_interval{8'000};
/// An upstream reported as leaving gets no new work for at least this long.
constexpr core::milliseconds leaving_lifetime{60'000};
/// Minimum time between two renewals of the fact that an upstream is leaving.
constexpr core::milliseconds leaving_renewal_interval{15'000};

constexpr core::milliseconds summary_lifetime{30'000};
constexpr core::milliseconds exchange_interval{3'000};
/// A region renews its own summary this often: twice in a lifetime, and rarely enough that the
/// summaries of 20 regions leave space for loads in the gossip of each region.
constexpr core::milliseconds summary_interval{12'000};

/// A new version waits this long before it is put in force, so that conflicting contents are seen.
constexpr core::milliseconds activation_delay{2'000};
/// Maximum extra wait for an incomplete content of a lower hash seen during the activation delay.
constexpr core::milliseconds conflict_wait{2'000};
/// A starting node waits this long for the second of its two sources, peers and the service.
constexpr core::milliseconds start_wait{1'000};
/// A starting node that cannot complete the highest version accepts a lower one after this long.
constexpr core::milliseconds start_timeout{8'000};
constexpr core::milliseconds fetch_timeout{1'000};
constexpr core::milliseconds candidate_lifetime{30'000};
/// Wait time of a watcher's blocking read at the configuration service.
constexpr core::milliseconds watch_wait{30'000};
/// Watchers wait a random time up to this before they read a changed section, so that the others
/// can fetch a delta from the first one instead of the whole section from the service.
constexpr core::milliseconds max_section_read_delay{800};
/// A blocking read that has not returned after this long counts as failed and is repeated.
constexpr core::milliseconds watch_timeout{35'000};
constexpr core::milliseconds min_service_retry{1'000};
constexpr core::milliseconds max_service_retry_delay{1'000};
/// Every node reads the manifest this often, so that a region without watchers is updated too.
constexpr core::milliseconds slow_poll_interval{120'000};
/// A node that is not a watcher reads sections from the service when peers have not supplied them
/// for this long.
constexpr core::milliseconds service_fallback_delay{3'000};
/// Section reads from the service: 96 watchers at this rate use 768 of 2,000 reads a second.
constexpr double watcher_reads_per_second = 8;
/// 790 nodes at this rate use 790 of 2,000 reads a second.
constexpr double other_reads_per_second = 1;

} // namespace snipeplank::fleet

#endif
