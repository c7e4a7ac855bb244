/// @file
/// Simple routing policies, as baselines for comparison with the adaptive policy.

#ifndef SNIPEPLANK_POLICY_BASELINES_HPP
#define SNIPEPLANK_POLICY_BASELINES_HPP

#include <snipeplank/policy/routing_policy.hpp>

#include <memory>

namespace snipeplank::policy
{

/// @brief Each upstream in turn. Safe to call from several threads.
std::unique_ptr<routing_policy> make_round_robin();

/// @brief The upstream with the fewest own calls in flight. Stateless.
std::unique_ptr<routing_policy> make_least_outstanding();

/// @brief The less loaded of two random upstreams. Stateless.
std::unique_ptr<routing_policy> make_random_of_two();

} // namespace snipeplank::policy

#endif
