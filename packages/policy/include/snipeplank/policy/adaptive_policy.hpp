/// @file
/// Routing policy by weighted score and prompt prefix.

#ifndef SNIPEPLANK_POLICY_ADAPTIVE_POLICY_HPP
#define SNIPEPLANK_POLICY_ADAPTIVE_POLICY_HPP

#include <snipeplank/policy/routing_policy.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <memory>

namespace snipeplank::policy
{

/// @brief Score of an upstream without regard to the prefix; lower is better. O(1).
///
/// latency weight x predicted seconds + cost weight x cost + away weight when in another region.
double routing_score(const settings::routing_weights& weights, const upstream_view& upstream);

/// @brief Rendezvous score of an upstream for a prompt prefix; the highest one owns it. O(1).
std::uint64_t prefix_score(std::uint64_t prefix, const core::address& upstream);

/// @brief Lowest score first; the prefix's owner gets a bonus for its warm cache.
///
/// The owner is the first upstream in rendezvous order of the prefix whose load is within the
/// bound: 1.25 times the mean load plus one. Stateless.
std::unique_ptr<routing_policy> make_adaptive(const settings::routing_weights& weights);

} // namespace snipeplank::policy

#endif
