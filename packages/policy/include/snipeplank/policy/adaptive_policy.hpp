/// @file
/// Routing policy with a weighted score and prompt prefix affinity.

#ifndef SNIPEPLANK_POLICY_ADAPTIVE_POLICY_HPP
#define SNIPEPLANK_POLICY_ADAPTIVE_POLICY_HPP

#include <snipeplank/policy/routing_policy.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <memory>

namespace snipeplank::policy
{

/// @brief Score of an upstream without its prefix bonus; lower is better. O(1).
///
/// latency weight x predicted seconds + cost weight x cost + `away` weight in another region.
double routing_score(const settings::routing_weights& weights, const upstream_view& upstream);

/// @brief Rendezvous score of an upstream for a prompt prefix; the highest score owns it. O(1).
std::uint64_t prefix_score(std::uint64_t prefix, const core::address& upstream);

/// @brief Makes a policy that ranks by score, with a bonus for the prefix's owner, whose cache is
/// probably warm. Stateless.
///
/// The owner is the first upstream in the prefix's rendezvous order with a load of at most 1.25
/// times the mean load plus one.
std::unique_ptr<routing_policy> make_adaptive(const settings::routing_weights& weights);

} // namespace snipeplank::policy

#endif
